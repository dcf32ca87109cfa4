"""Back ends whose registration ended without them: how long they are used without it."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.state.store_outages import StoreOutageDetector

LAPSE_S = 2.0
"""Seconds after an outage of the store within which the end of a registration is taken for a lapse:
the back end could not renew it."""

LAPSED_KEPT_S = 1.7
"""Seconds for which a lapsed back end is still used. Those that live register again within some two
seconds of the store's return; one that is gone must get no new work two seconds after its
registration ended, and the rest is for a change's way to this node."""


class LapsedBackEnds:
    """Keeps who has lapsed, and until when each is used.

    Args:
        store_outages: When the store was away for all nodes.
        clock: Monotonic seconds.
    """

    def __init__(self, store_outages: StoreOutageDetector, clock: Callable[[], float]) -> None:
        self._store_outages = store_outages
        self._clock = clock
        self._until_s: dict[InstanceId, float] = {}

    def __contains__(self, instance: InstanceId) -> bool:
        """Whether a back end has lapsed."""
        return instance in self._until_s

    def add(self, instance: InstanceId) -> None:
        """Take that a back end has lapsed now."""
        self._until_s[instance] = self._clock() + LAPSED_KEPT_S

    def discard(self, instance: InstanceId) -> None:
        """Take that a back end has registered again, or is gone."""
        self._until_s.pop(instance, None)

    def may_include(self, back_end: BackEnd) -> bool:
        """Whether the end of a registration now may be a lapse with an outage of the store."""
        return back_end.state is BackEndState.READY and self.outage_age_s() <= LAPSE_S

    def outage_age_s(self) -> float:
        """Return how long ago the last outage of the store ended."""
        now_s = self._clock()
        return now_s - self._store_outages.outage_ended_s(now_s)

    def overdue(self) -> list[InstanceId]:
        """Return those that have not registered again in time."""
        now_s = self._clock()
        return [instance for instance, until_s in self._until_s.items() if until_s <= now_s]
