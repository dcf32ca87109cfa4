"""Chooses the nodes through which connections are opened."""

from collections.abc import Callable, Collection
from random import Random

from weirscale.gateway.model.topology import Location
from weirscale.gateway.peers.registrations import RelayPeer

NUM_KNOWN_GOOD = 3
"""Number of relays that worked and are kept; one of them is chosen at random."""

RETRY_PAUSE_S = 0.5
"""Seconds for which a relay that failed is not chosen at all. If all nodes have lost their paths,
requests would otherwise ask them again and again."""

FAILURE_PAUSE_S = 2.0
"""Seconds for which a relay that failed is chosen last."""


class RelayChoice:
    """Orders the relays for one connection: those that worked, then the others at random.

    Args:
        location: Location of this node; relays in its region are preferred.
        relays: Returns the registered relays.
        random: Source of randomness.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        location: Location,
        relays: Callable[[], Collection[RelayPeer]],
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._location = location
        self._relays = relays
        self._random = random
        self._clock = clock
        self._good: list[str] = []
        self._failed_until_s: dict[str, float] = {}

    def has_any(self) -> bool:
        """Return whether any relay is registered."""
        return bool(self._relays())

    def candidates(self, limit: int) -> list[RelayPeer]:
        """Return the relays to try, in order; without those that have failed just now."""
        now_s = self._clock()
        relays = [relay for relay in self._relays() if not self._failed_within(relay, now_s)]
        self._random.shuffle(relays)
        relays.sort(key=lambda relay: self._rank(relay, now_s))
        return relays[:limit]

    def worked(self, relay: RelayPeer) -> None:
        """Record that a relay had a path."""
        self._failed_until_s.pop(relay.name, None)
        if relay.name not in self._good:
            self._good.append(relay.name)
            del self._good[:-NUM_KNOWN_GOOD]

    def failed(self, relay: RelayPeer) -> None:
        """Record that a relay had no path or could not be reached."""
        self._failed_until_s[relay.name] = self._clock() + FAILURE_PAUSE_S
        if relay.name in self._good:
            self._good.remove(relay.name)

    def _failed_within(self, relay: RelayPeer, now_s: float) -> bool:
        failed_at_s = self._failed_until_s.get(relay.name, 0.0) - FAILURE_PAUSE_S
        return now_s - failed_at_s < RETRY_PAUSE_S

    def _rank(self, relay: RelayPeer, now_s: float) -> tuple[bool, bool, bool]:
        has_failed = self._failed_until_s.get(relay.name, 0.0) > now_s
        is_unproved = len(self._good) == NUM_KNOWN_GOOD and relay.name not in self._good
        return has_failed, self._location.is_cross_region(relay.zone), is_unproved
