"""Applies changed settings while the process is running, on a signal and periodically."""

from collections.abc import Callable

import anyio
import msgspec

from weirscale.gateway.settings import GatewaySettings, SettingsError
from weirscale.ports.event_log import EventLog

READ_INTERVAL_S = 2.0
"""Seconds between two reads of the settings without a signal."""

LIVE_FIELDS = frozenset({"bounds", "retry_budget"})
"""Fields of `GatewaySettings` that take effect immediately; the others take effect at the next
start. The log event `settings_taken` lists changed fields by name, so renaming a field changes the
log."""


class SettingsWatch:
    """Reads the settings repeatedly and applies changes, while `run` is running.

    Args:
        settings: The settings in force.
        read: Reads the settings; raises `SettingsError` if they are missing or invalid.
        apply: Applies changed settings.
        event_log: Receives an event for each change and each new error.
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

    @property
    def settings(self) -> GatewaySettings:
        """The settings that were read last."""
        return self._settings

    def signal(self) -> None:
        """Request that the settings be read now."""
        self._signalled.set()

    async def run(self) -> None:
        """Read and apply the settings until cancelled."""
        while True:
            with anyio.move_on_after(READ_INTERVAL_S):
                await self._signalled.wait()
            self._signalled = anyio.Event()
            self.read_now()

    def read_now(self) -> None:
        """Read the settings, and apply what has changed."""
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
            in_force=",".join(sorted(changed & LIVE_FIELDS)),
            from_next_start=",".join(sorted(changed - LIVE_FIELDS)),
        )

    def _log_problem(self, problem: str) -> None:
        """Log a problem unless it was the last one; the last valid settings stay in force."""
        if problem != self._last_problem:
            self._event_log.event("settings_unreadable", problem=problem)
        self._last_problem = problem


def _changed_fields(before: GatewaySettings, after: GatewaySettings) -> set[str]:
    names = (field.name for field in msgspec.structs.fields(GatewaySettings))
    # The platform resets this field after the first start; it does not affect a running process.
    names = (name for name in names if name != "is_first_start")
    return {name for name in names if getattr(before, name) != getattr(after, name)}
