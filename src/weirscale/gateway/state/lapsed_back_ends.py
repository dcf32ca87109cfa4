"""Back ends whose registration lapsed in a store outage, and how long they remain in use."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.state.store_outages import StoreOutageDetector

LAPSE_WINDOW_S = 2.0
"""Seconds after a store outage within which the end of a registration counts as a lapse: the back
end could not renew it."""

LAPSED_RETENTION_S = 1.7
"""Seconds for which a lapsed back end is still used. Live back ends register again within about 2 s
of the store's recovery. A back end that has ended must get no new requests 2 s after its
registration ended; the remaining 0.3 s allow for the delay until this node receives the change."""


class LapsedBackEnds:
    """Stores which back ends have lapsed and until when each may be used.

    Args:
        store_outages: Detects when the store was unavailable to all nodes.
        clock: Monotonic seconds.
    """

    def __init__(self, store_outages: StoreOutageDetector, clock: Callable[[], float]) -> None:
        self._store_outages = store_outages
        self._clock = clock
        self._until_s: dict[InstanceId, float] = {}

    def __contains__(self, instance: InstanceId) -> bool:
        """Return whether a back end has lapsed."""
        return instance in self._until_s

    def add(self, instance: InstanceId) -> None:
        """Record that a back end has lapsed now."""
        self._until_s[instance] = self._clock() + LAPSED_RETENTION_S

    def discard(self, instance: InstanceId) -> None:
        """Stop tracking a back end that has registered again or was removed."""
        self._until_s.pop(instance, None)

    def may_include(self, back_end: BackEnd) -> bool:
        """Return whether a registration that ends now may have lapsed due to a store outage."""
        return back_end.state is BackEndState.READY and self.outage_age_s() <= LAPSE_WINDOW_S

    def outage_age_s(self) -> float:
        """Return the seconds since the last store outage ended."""
        now_s = self._clock()
        return now_s - self._store_outages.outage_ended_s(now_s)

    def overdue(self) -> list[InstanceId]:
        """Return the back ends that have not registered again in time."""
        now_s = self._clock()
        return [instance for instance, until_s in self._until_s.items() if until_s <= now_s]
