"""The state of this node's network paths to the back ends.

A path is lost if another node has connected to a back end that this node could not connect to.
"""

from collections.abc import Callable

import msgspec

from weirscale.gateway.model.identifiers import Address
from weirscale.ports.event_log import EventLog

MIN_LOST_FOR_ALL = 2
"""Number of paths, lost without a direct connection since, from which all count as lost."""

CHECK_INTERVAL_S = 0.5
"""Seconds between two checks of lost paths, and at least between two of the same one."""

FLAPPING_S = 5.0
"""A path that is lost again within this time after it was regained is checked later."""

MIN_FLAPPING_HOLD_S = 1.0
MAX_FLAPPING_HOLD_S = 4.0
"""Limits of the time until a path that is lost again and again is checked; it doubles each time."""

CONFIRMATION_LIFE_S = 1.0
"""Seconds for which the word of another node that a back end is unreachable holds."""


class _LostPath(msgspec.Struct):
    since_s: float
    check_at_s: float
    hold_s: float


class _RegainedPath(msgspec.Struct, frozen=True):
    at_s: float
    hold_s: float


class PathState:
    """Records which paths are lost.

    Args:
        event_log: Logs when paths are lost and regained.
        clock: Returns monotonic seconds.
    """

    def __init__(self, event_log: EventLog, clock: Callable[[], float]) -> None:
        self._event_log = event_log
        self._clock = clock
        self._lost: dict[Address, _LostPath] = {}
        self._regained: dict[Address, _RegainedPath] = {}
        self._confirmed_s: dict[Address, float] = {}
        """By address: when another node last confirmed that the back end is unreachable."""
        self._generations: dict[Address, int] = {}
        self._generation = 0
        self._num_lost_since_connected = 0
        self._all_lost_since_s: float | None = None
        self._observers: list[Callable[[bool], None]] = []

    def observe_all_lost(self, observer: Callable[[bool], None]) -> None:
        """Register a function to call when all paths count as lost (True), and when they do not."""
        self._observers.append(observer)

    def connected(self, address: Address) -> None:
        """Record that this node opened a direct connection to a back end."""
        now_s = self._clock()
        self._num_lost_since_connected = 0
        self._confirmed_s.pop(address, None)
        lost = self._lost.pop(address, None)
        if lost is not None:
            self._regained[address] = _RegainedPath(now_s, lost.hold_s)
            self._advance(address)
            self._event_log.event(
                "path_regained", address=address, lasted_s=now_s - lost.since_s
            )  # fmt: skip
        if self._all_lost_since_s is not None:
            lasted_s = now_s - self._all_lost_since_s
            self._all_lost_since_s = None
            self._generation += 1
            self._event_log.event("all_paths_regained", lasted_s=lasted_s, lost=len(self._lost))
            self._notify(False)

    def relayed(self, address: Address, relay: str, reason: str) -> None:
        """Record that another node connected to a back end that this node could not connect to.

        Args:
            address: Address of the back end.
            relay: Name of the other node.
            reason: How the direct connection failed.
        """
        self._confirmed_s.pop(address, None)
        if address in self._lost:
            return
        now_s = self._clock()
        hold_s = self._hold_s(address, now_s)
        self._lost[address] = _LostPath(now_s, now_s + hold_s, hold_s)
        self._advance(address)
        self._num_lost_since_connected += 1
        self._event_log.event("path_lost", address=address, relay=relay, reason=reason)
        if self._all_lost_since_s is None and self._num_lost_since_connected >= MIN_LOST_FOR_ALL:
            self._all_lost_since_s = now_s
            self._generation += 1
            self._event_log.event("all_paths_lost", lost=len(self._lost))
            self._notify(True)

    def confirmed_unreachable(self, address: Address) -> None:
        """Record that another node with sound paths cannot connect to a back end either."""
        self._confirmed_s[address] = self._clock()

    def is_confirmed_unreachable(self, address: Address) -> bool:
        """Return whether another node has just confirmed that a back end is unreachable."""
        confirmed_s = self._confirmed_s.get(address)
        return confirmed_s is not None and self._clock() - confirmed_s <= CONFIRMATION_LIFE_S

    def is_lost(self, address: Address) -> bool:
        """Return whether the path to a back end counts as lost."""
        return self._all_lost_since_s is not None or address in self._lost

    def are_all_lost(self) -> bool:
        """Return whether the paths to all back ends count as lost."""
        return self._all_lost_since_s is not None

    def num_lost(self) -> int:
        """Return the number of back ends whose own path is known to be lost."""
        return len(self._lost)

    def generation(self, address: Address) -> int:
        """Return a number that changes when a path to a back end is lost or regained."""
        return self._generation + self._generations.get(address, 0)

    def take_due(self, limit: int) -> list[Address]:
        """Return lost paths that are due for a check, and schedule their next one."""
        now_s = self._clock()
        due = [address for address, lost in self._lost.items() if lost.check_at_s <= now_s]
        due.sort(key=lambda address: self._lost[address].check_at_s)
        for address in due[:limit]:
            self._lost[address].check_at_s = now_s + CHECK_INTERVAL_S
        return due[:limit]

    def forget(self, address: Address) -> None:
        """Drop the state of a back end that was removed."""
        for entries in (self._lost, self._regained, self._confirmed_s, self._generations):
            entries.pop(address, None)

    def _hold_s(self, address: Address, now_s: float) -> float:
        regained = self._regained.pop(address, None)
        if regained is None or now_s - regained.at_s > FLAPPING_S:
            return CHECK_INTERVAL_S
        return min(MAX_FLAPPING_HOLD_S, max(MIN_FLAPPING_HOLD_S, 2.0 * regained.hold_s))

    def _advance(self, address: Address) -> None:
        self._generations[address] = self._generations.get(address, 0) + 1

    def _notify(self, are_lost: bool) -> None:
        for observer in self._observers:
            observer(are_lost)
