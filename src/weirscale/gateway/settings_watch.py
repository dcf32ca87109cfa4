"""Takes over changed settings while the process runs, on a signal and without one."""

from collections.abc import Callable

import anyio
import msgspec

from weirscale.gateway.settings import GatewaySettings, SettingsError
from weirscale.ports.event_log import EventLog

READ_INTERVAL_S = 2.0
"""Seconds between two readings without a signal. Not measured."""

APPLIED = frozenset({"bounds", "retry_budget"})
"""Fields of `GatewaySettings` that are in force at once; the others count from the next start. The
log event `settings_taken` lists changed fields by their names, so a rename there changes a log."""


class SettingsWatch:
    """Reads the settings again and again; `run` must be running.

    Args:
        settings: What is in force.
        read: Reads the settings; raises `SettingsError`.
        apply: Puts changed settings in force.
        event_log: Where changes and faults are logged.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        read: Callable[[], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
        event_log: EventLog,
    ) -> None:
        self._settings = settings
        self._read = read
        self._apply = apply
        self._event_log = event_log
        self._signalled = anyio.Event()
        self._last_problem = ""

    def signal(self) -> None:
        """Read the settings now."""
        self._signalled.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            with anyio.move_on_after(READ_INTERVAL_S):
                await self._signalled.wait()
            self._signalled = anyio.Event()
            self._look()

    def _look(self) -> None:
        try:
            settings = self._read()
        except SettingsError as error:
            self._log_problem(str(error))
            return
        self._last_problem = ""
        changed = _changed_fields(self._settings, settings)
        if not changed:
            return
        self._settings = settings
        self._apply(settings)
        self._event_log.event(
            "settings_taken",
            in_force=",".join(sorted(changed & APPLIED)),
            from_next_start=",".join(sorted(changed - APPLIED)),
        )

    def _log_problem(self, problem: str) -> None:
        """The last good settings stay in force; the same problem is logged once."""
        if problem != self._last_problem:
            self._event_log.event("settings_unreadable", problem=problem)
        self._last_problem = problem


def _changed_fields(before: GatewaySettings, after: GatewaySettings) -> set[str]:
    names = (field.name for field in msgspec.structs.fields(GatewaySettings))
    # The platform takes this back after the first start; it says nothing of a running process.
    names = (name for name in names if name != "is_first_start")
    return {name for name in names if getattr(before, name) != getattr(after, name)}
