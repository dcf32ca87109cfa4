"""Applies a deployment by compare-and-swap and reports the true outcome.

Every stored value contains the id of its `apply` and a log of earlier ones. If an answer is lost,
the same swap is retried. It can succeed only once, because it names the revision that it replaces.
If it fails, the stored value shows whether an earlier attempt succeeded.
"""

from collections.abc import Awaitable, Callable
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.difference import (
    DeploymentChange,
    canonical,
    differences,
    digest,
    render_plan,
)
from weirscale.domain.configuration.encode import (
    MAX_LOGGED_CHANGES,
    AppliedChange,
    StoredConfiguration,
    decode_stored,
    encode_stored,
)
from weirscale.domain.configuration.model import Deployment
from weirscale.node.configuration.backoff import Backoff
from weirscale.node.configuration.outcome import Accepted, ApplyOutcome, Refused, Unknown
from weirscale.ports.key_value import (
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    KeyValuePort,
)

CONFIGURATION_KEY = "weirscale/configuration"
NO_REVISION = 0
"""Revision of a key that does not exist."""
MAX_SUMMARY_LINES = 8
PROVABLY_UNCHANGED = frozenset({KeyValueFailureKind.UNREACHABLE, KeyValueFailureKind.RATE_LIMITED})
"""Failures after which the store is certainly unchanged."""
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
DEFAULT_TIME_LIMIT_S = 30.0


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The stored configuration; revision 0 and None if there is none."""

    revision: int
    stored: StoredConfiguration | None


class Plan(msgspec.Struct, frozen=True):
    """What a file would change, and the revision that it was compared with."""

    revision: int
    changes: tuple[DeploymentChange, ...]


def find_configuration(values: tuple[KeyValue, ...]) -> KeyValue | None:
    """Return the entry of the configuration key among entries read by its prefix."""
    return next((value for value in values if value.key == CONFIGURATION_KEY), None)


async def read_current(port: KeyValuePort) -> Result[CurrentConfiguration, KeyValueFailure | str]:
    """Read the stored configuration; a text error means that the value cannot be decoded."""
    answer = await port.read(CONFIGURATION_KEY)
    if isinstance(answer, Err):
        return Err(answer.err_value)
    return _decode_current(find_configuration(answer.ok_value.values))


async def plan_deployment(port: KeyValuePort, deployment: Deployment) -> Result[Plan, str]:
    """Return what applying a file would change."""
    current = await read_current(port)
    if isinstance(current, Err):
        failure = current.err_value
        return Err(failure.detail if isinstance(failure, KeyValueFailure) else failure)
    stored = current.ok_value.stored
    before = stored.deployment if stored is not None else None
    return Ok(Plan(current.ok_value.revision, differences(before, canonical(deployment))))


class Applier:
    """One `apply` of one file.

    Args:
        port: The key-value service.
        deployment: The validated content of the file.
        made_from: Revision that the file was planned against; None if none is declared yet.
        apply_id: Unique id of this `apply`.
        random: Source of jitter for retries.
        time_limit_s: Time after which to give up.
        sleep: Sleep function; replaced in tests of paused processes.
    """

    def __init__(
        self,
        port: KeyValuePort,
        deployment: Deployment,
        made_from: int | None,
        apply_id: str,
        random: Random,
        time_limit_s: float = DEFAULT_TIME_LIMIT_S,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._port = port
        self._deployment = canonical(deployment)
        self._made_from = made_from
        self._apply_id = apply_id
        self._time_limit_s = time_limit_s
        self._sleep = sleep
        self._backoff = Backoff(random, FIRST_BACKOFF_S, MAX_BACKOFF_S)
        self._has_lost_answer = False
        self._is_swap_in_flight = False
        self._base_revision = NO_REVISION
        self._last_failure = "no answer in time"

    async def run(self) -> ApplyOutcome:
        """Apply the file, with retries until the time limit, and return the outcome."""
        with anyio.move_on_after(self._time_limit_s):
            return await self._apply()
        if self._has_lost_answer or self._is_swap_in_flight:
            message = f"the answer was lost, and the store cannot be read ({self._last_failure})"
            return Unknown(message, "run the same command again; that is safe")
        message = f"the store could not be reached ({self._last_failure}); nothing was changed"
        return Refused(message, "run the same command again later")

    async def _apply(self) -> ApplyOutcome:
        current = await self._read()
        if isinstance(current, Refused):
            return current
        settled = self._settle_without_write(current)
        if settled is not None:
            return settled
        self._base_revision = current.revision
        value = encode_stored(self._next_value(current))
        while True:
            self._is_swap_in_flight = True
            answer = await self._port.compare_and_swap(CONFIGURATION_KEY, current.revision, value)
            self._is_swap_in_flight = False
            if isinstance(answer, Ok):
                return self._settle_swap(answer.ok_value.succeeded, answer.ok_value.current)
            if answer.err_value.kind not in PROVABLY_UNCHANGED:
                self._has_lost_answer = True
            await self._wait(answer.err_value)

    async def _read(self) -> CurrentConfiguration | Refused:
        while True:
            current = await read_current(self._port)
            if isinstance(current, Ok):
                return current.ok_value
            failure = current.err_value
            if isinstance(failure, str):
                remedy = "use the version of weirscale that wrote it"
                return Refused(f"the stored configuration is unreadable: {failure}", remedy)
            await self._wait(failure)

    def _settle_without_write(self, current: CurrentConfiguration) -> Accepted | Refused | None:
        """Return the outcome if no write is needed or allowed; None if the swap is to be tried."""
        stored = current.stored
        if stored is not None and digest(stored.deployment) == digest(self._deployment):
            return Accepted(current.revision, was_in_place=True)
        if self._made_from is None and stored is not None:
            return Refused(
                f"revision {current.revision} is already declared, and --made_from was not given",
                f"run `weirscale plan`, then apply with --made_from={current.revision}",
                current.revision,
            )
        if (self._made_from or NO_REVISION) != current.revision:
            return self._refuse_outdated(current)
        return None

    def _settle_swap(self, succeeded: bool, current_value: KeyValue | None) -> ApplyOutcome:
        """Determine from the key after a swap whether this or an earlier attempt succeeded.

        A failed swap found a different revision from the one it names, so earlier copies of it that
        are still in flight cannot succeed either.
        """
        if succeeded and current_value is not None:
            return Accepted(current_value.mod_revision)
        current = _decode_current(current_value)
        if isinstance(current, Err):
            return Unknown(str(current.err_value), "run the same command again")
        revision = self._own_revision(current.ok_value)
        if revision is not None:
            return Accepted(revision)
        if self._has_lost_answer and not self._log_reaches_back(current.ok_value):
            message = (
                "the answer was lost, and the stored change log does not reach back far enough"
            )
            return Unknown(message, "run `weirscale plan`, then apply again")
        return self._refuse_outdated(current.ok_value)

    def _log_reaches_back(self, current: CurrentConfiguration) -> bool:
        """Return whether the log has every change since the revision that the swap names."""
        log = current.stored.log if current.stored is not None else ()
        return bool(log) and log[0].from_revision <= self._base_revision

    def _own_revision(self, current: CurrentConfiguration) -> int | None:
        """Return the revision that this apply made, or None if it is not in the log.

        The next change in the log names that revision.
        """
        log = current.stored.log if current.stored is not None else ()
        for index, change in enumerate(log):
            if change.apply_id == self._apply_id:
                is_newest = index == len(log) - 1
                return current.revision if is_newest else log[index + 1].from_revision
        return None

    def _refuse_outdated(self, current: CurrentConfiguration) -> Refused:
        made_from = self._made_from or NO_REVISION
        log = current.stored.log if current.stored is not None else ()
        changes_since = tuple(change for change in log if change.from_revision >= made_from)
        return Refused(
            f"the file was made from revision {made_from}, but the store is at {current.revision}",
            "merge the changes since then into the file, run `weirscale plan`, "
            f"then apply with --made_from={current.revision}",
            current.revision,
            changes_since,
        )

    def _next_value(self, current: CurrentConfiguration) -> StoredConfiguration:
        before = current.stored.deployment if current.stored is not None else None
        lines = render_plan(differences(before, self._deployment)).splitlines()
        if len(lines) > MAX_SUMMARY_LINES:
            num_omitted = len(lines) - MAX_SUMMARY_LINES
            lines = [*lines[:MAX_SUMMARY_LINES], f"and {num_omitted} more"]
        change = AppliedChange(self._apply_id, current.revision, "\n".join(lines))
        log = current.stored.log if current.stored is not None else ()
        return StoredConfiguration(self._deployment, (*log, change)[-MAX_LOGGED_CHANGES:])

    async def _wait(self, failure: KeyValueFailure) -> None:
        """Record a failure and wait before the next attempt."""
        self._last_failure = f"{failure.kind.value}: {failure.detail}"
        await self._sleep(self._backoff.next_s(failure.retry_after_s))


def _decode_current(
    current_value: KeyValue | None,
) -> Result[CurrentConfiguration, KeyValueFailure | str]:
    if current_value is None:
        return Ok(CurrentConfiguration(NO_REVISION, None))
    stored = decode_stored(current_value.value)
    if isinstance(stored, Err):
        return Err(stored.err_value.detail)
    return Ok(CurrentConfiguration(current_value.mod_revision, stored.ok_value))
