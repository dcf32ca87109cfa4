"""Checks paths that may be lost, and lost ones that may work again."""

from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import ByteStream, TaskGroup

from weirscale.gateway.model.back_ends import BackEndDirectory
from weirscale.gateway.model.identifiers import Address
from weirscale.gateway.paths.path_state import CHECK_INTERVAL_S, PathState
from weirscale.gateway.ports.connections import BackEndDialer
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.unexpected_errors import UnexpectedErrors

INTERVAL_S = 0.1
"""Seconds between two rounds."""

MAX_CHECKS = 2
"""Maximum number of lost paths that are checked each `CHECK_INTERVAL_S`."""

MAX_CHECKS_AFTER_SUCCESS = 8
"""The same, after a path has been regained: the others probably work again too."""

MIN_CHECK_INTERVAL_S = 1.0
"""Minimum seconds between two requested checks of one path."""

SILENCE_S = 0.4
"""Seconds without anything from any back end after which the path to the one that a request waits
for is checked."""

OpenStream = Callable[[Address], Awaitable[ByteStream]]
"""Opens a connection to an address; raises OSError if it cannot."""


class TrafficWatch:
    """Records since when requests wait and when anything was last received from back ends.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: dict[int, tuple[Address, float]] = {}
        """Back end and begin of each attempt, in order."""
        self._heard_at_s = float("-inf")
        self._num_attempts = 0

    def attempt_began(self, address: Address) -> int:
        """Record the begin of an attempt, and return its key."""
        self._num_attempts += 1
        self._waiting[self._num_attempts] = (address, self._clock())
        return self._num_attempts

    def attempt_ended(self, key: int) -> None:
        """Record the end of an attempt."""
        self._waiting.pop(key, None)

    def heard(self) -> None:
        """Record that something was received from a back end."""
        self._heard_at_s = self._clock()

    def silent_back_end(self) -> Address | None:
        """Return a back end that a request waits for while all are silent; None otherwise."""
        if not self._waiting:
            return None
        address, since_s = next(iter(self._waiting.values()))
        if self._clock() - max(since_s, self._heard_at_s) < SILENCE_S:
            return None
        return address


class PathChecks:
    """Checks paths; `run` must be running.

    Args:
        state: State of this node's paths.
        dialer: Opens the connections that the checks need.
        traffic: Detects that all back ends are silent.
        directory: The registered back ends.
        random: Source of randomness.
        clock: Returns monotonic seconds.
        errors: Reports unexpected errors of checks.
    """

    def __init__(
        self,
        state: PathState,
        dialer: BackEndDialer,
        traffic: TrafficWatch,
        directory: BackEndDirectory,
        random: Random,
        clock: Callable[[], float],
        errors: UnexpectedErrors,
    ) -> None:
        self._state = state
        self._dialer = dialer
        self._traffic = traffic
        self._directory = directory
        self._random = random
        self._clock = clock
        self._errors = errors
        self._due_at_s = float("-inf")
        self._num_lost = 0
        """Number of lost paths at the last check."""
        self._requested: dict[Address, None] = {}
        self._checked_at_s: dict[Address, float] = {}

    def request(self, address: Address) -> None:
        """Request a check of the path to a back end whose connection broke or was silent."""
        if not self._state.is_lost(address):
            self._requested[address] = None

    async def run(self) -> None:
        """Check paths until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await sleep_to_tick(INTERVAL_S)
                silent = self._traffic.silent_back_end()
                if silent is not None:
                    self.request(silent)
                self._start_requested(tasks)
                self._start_due(tasks)

    def _start_requested(self, tasks: TaskGroup) -> None:
        now_s = self._clock()
        requested, self._requested = self._requested, {}
        self._checked_at_s = {
            address: at_s
            for address, at_s in self._checked_at_s.items()
            if now_s - at_s < MIN_CHECK_INTERVAL_S
        }
        for address in requested:
            if address not in self._checked_at_s and self._is_registered(address):
                self._checked_at_s[address] = now_s
                tasks.start_soon(self._check, self._dialer.open, address)

    def _start_due(self, tasks: TaskGroup) -> None:
        now_s, num_lost = self._clock(), self._state.num_lost()
        if now_s < self._due_at_s:
            return
        limit = MAX_CHECKS_AFTER_SUCCESS if num_lost < self._num_lost else MAX_CHECKS
        self._due_at_s, self._num_lost = now_s + CHECK_INTERVAL_S, num_lost
        for address in self._state.take_due(limit):
            if not self._is_registered(address):
                self._state.forget(address)
                continue
            tasks.start_soon(self._check, self._dialer.open_directly, address)
            if self._state.are_all_lost():
                other = self._random.choice(list(self._directory.all()))
                tasks.start_soon(self._check, self._dialer.open_directly, other.address)

    def _is_registered(self, address: Address) -> bool:
        return self._directory.at(address) is not None

    async def _check(self, open_stream: OpenStream, address: Address) -> None:
        """Open and close a connection; the dialer records what that proves."""
        try:
            stream = await open_stream(address)
        except OSError:
            return  # The dialer has recorded the failure.
        except Exception as error:
            self._errors.report("path_check", address, error)
            return
        await anyio.aclose_forcefully(stream)
