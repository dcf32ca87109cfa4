"""Back ends that state that they are brittle: too many refusals a second end their process.

Each such back end has places: requests that it may have at once. The places of a service are dealt
to the nodes in turn, in an order that all nodes derive alike, so that their sum holds without
messages and however late gossip is. While many places are known to be free, a node may go beyond
its own ones.
"""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from weirscale.gateway.model.back_ends import BackEnd, instance_of
from weirscale.gateway.model.identifiers import InstanceId, RunId
from weirscale.gateway.model.recent_runs import RecentRuns
from weirscale.gateway.peers.gossip_entries import BrittleGossip
from weirscale.ports.event_log import EventLog

STATEMENT_LIFE_S = 5.0
"""Seconds for which a statement holds; a brittle back end repeats it in all answers."""

REPEAT_INTERVAL_S = 2.0
"""Seconds after which a statement that still holds is passed on again."""

PLACES_SHARE = 0.9
"""Share of a back end's slots that are used as places; the rest is a margin for late news."""

REFUSAL_PAUSE_S = 1.0
"""Seconds without requests after a refusal, at all nodes that know of it."""

REGROWTH_S = 2.0
"""Seconds without a refusal after which more places are tried."""

REGROWTH_SHARE = 0.05
"""Share of all places that are tried then; one at least."""

MIN_LEARNED_SHARE = 0.25
"""A refusal at fewer requests than this share of the places has another cause than want of room,
such as a load of weights: it pauses the back end, and teaches no number of places."""

GOSSIP_DELAY_S = 0.5
"""Seconds for which other nodes may not know of a request."""

FREE_SHARE = 0.5
"""Share of the free places that all nodes together may take beyond their own ones in that time."""

DEAL_LIFE_S = 0.1
"""Seconds for which the division of places is kept."""


class _BrittleRun(msgspec.Struct):
    max_refusals: float
    stated_at_s: float
    passed_on_at_s: float
    learned_places: int | None = None
    learned_at_s: float = 0.0
    paused_until_s: float = 0.0
    sent_at_s: deque[float] = msgspec.field(default_factory=deque)
    """Times of the latest requests of this node."""

    def num_sent_since(self, since_s: float) -> int:
        """Return how many requests were sent since a time; forget earlier ones."""
        while self.sent_at_s and self.sent_at_s[0] < since_s:
            self.sent_at_s.popleft()
        return len(self.sent_at_s)


class NodeRank(msgspec.Struct, frozen=True):
    """Position of this node among all nodes."""

    index: int
    num_nodes: int


ONLY_NODE = NodeRank(0, 1)
"""Rank of a node without peers."""


class BrittleBackEnds:
    """Decides whether a brittle back end may be sent a request by this node.

    Args:
        rank: Returns this node's rank.
        num_requests: Returns this node's own requests at a back end, and those of all nodes.
        event_log: Logs when a back end begins and ceases to be brittle, and its refusals.
        random: Adds jitter to pauses.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        rank: Callable[[], NodeRank],
        num_requests: Callable[[InstanceId], tuple[int, int]],
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._rank = rank
        self._num_requests = num_requests
        self._event_log = event_log
        self._random = random
        self._clock = clock
        self._runs: RecentRuns[_BrittleRun] = RecentRuns()
        self._num_known = 0
        self._dealt: dict[RunId, int] = {}
        self._dealt_at_s = float("-inf")
        self._dealt_rank = ONLY_NODE

    def is_any_known(self) -> bool:
        """Return whether any back end has ever been brittle; a cheap check."""
        return self._num_known > 0

    def stated(self, run: RunId, max_refusals: float) -> BrittleGossip | None:
        """Record a back end's own statement; return it if other nodes should learn of it."""
        now_s = self._clock()
        brittle = self._current(run)
        if brittle is None:
            self._begin(run, max_refusals, "answer")
            return BrittleGossip(run, max_refusals)
        brittle.stated_at_s = now_s
        is_due = now_s - brittle.passed_on_at_s >= REPEAT_INTERVAL_S
        if brittle.max_refusals == max_refusals and not is_due:
            return None
        brittle.max_refusals, brittle.passed_on_at_s = max_refusals, now_s
        return BrittleGossip(run, max_refusals)

    def not_stated(self, run: RunId, request_sent_at_s: float) -> None:
        """Record a successful answer without the statement to a request sent at that time."""
        brittle = self._current(run)
        if brittle is not None and request_sent_at_s > brittle.stated_at_s:
            self._runs.pop(run)
            self._event_log.event("back_end_sound", instance=instance_of(run))

    def refused(self, back_end: BackEnd) -> BrittleGossip | None:
        """Record a refusal of this node's request; return it for other nodes if the run is brittle.

        The refused request must not be among this node's own ones any more.
        """
        run = back_end.run_id
        brittle = self._current(run)
        if brittle is None:
            return None
        _, num_present = self._num_requests(back_end.instance)
        is_full = num_present >= MIN_LEARNED_SHARE * _all_places(back_end)
        places = max(1, num_present) if is_full else None
        self._learn(run, brittle, places)
        return BrittleGossip(run, brittle.max_refusals, places, is_refusal=True)

    def told(self, gossip: BrittleGossip) -> None:
        """Record what another node knows."""
        run = RunId(gossip.run)
        brittle = self._current(run)
        if brittle is None:
            brittle = self._begin(run, gossip.max_refusals, "peer")
        brittle.stated_at_s = self._clock()
        brittle.max_refusals = gossip.max_refusals
        if gossip.is_refusal:
            self._learn(run, brittle, gossip.places)

    def admits(self, back_end: BackEnd, of_service: Iterable[BackEnd]) -> bool:
        """Return whether a back end may be sent a request by this node now.

        Args:
            back_end: The back end.
            of_service: All ready back ends of its service.
        """
        brittle = self._current(back_end.run_id)
        if brittle is None:
            return True
        now_s = self._clock()
        if brittle.paused_until_s > now_s:
            return False
        num_own, num_all = self._num_requests(back_end.instance)
        if num_own < self._own_places(back_end, of_service):
            return True
        num_unknown = brittle.num_sent_since(now_s - GOSSIP_DELAY_S)
        return num_unknown + 1 < self._max_extra(back_end, brittle, num_all)

    def request_sent(self, run: RunId) -> None:
        """Record that a request is being sent."""
        brittle = self._current(run)
        if brittle is not None:
            now_s = self._clock()
            brittle.num_sent_since(now_s - GOSSIP_DELAY_S)
            brittle.sent_at_s.append(now_s)

    def _begin(self, run: RunId, max_refusals: float, source: str) -> _BrittleRun:
        now_s = self._clock()
        brittle = _BrittleRun(max_refusals, now_s, now_s)
        self._runs.put(run, brittle)
        self._num_known += 1
        self._event_log.event(
            "back_end_brittle", instance=instance_of(run), refusals_per_s=max_refusals,
            source=source,
        )  # fmt: skip
        return brittle

    def _learn(self, run: RunId, brittle: _BrittleRun, places: int | None) -> None:
        now_s = self._clock()
        pause_s = REFUSAL_PAUSE_S * (1.0 + 0.5 * self._random.random())
        brittle.paused_until_s = now_s + pause_s
        if places is not None:
            brittle.learned_places, brittle.learned_at_s = places, now_s
        self._dealt_at_s = float("-inf")
        self._event_log.event(
            "back_end_full", instance=instance_of(run), places=places, pause_s=pause_s
        )

    def _current(self, run: RunId) -> _BrittleRun | None:
        if not self._num_known:
            return None
        brittle = self._runs.get(run)
        if brittle is None or self._clock() - brittle.stated_at_s > STATEMENT_LIFE_S:
            return None
        return brittle

    def _places(self, back_end: BackEnd, brittle: _BrittleRun) -> int:
        most = _all_places(back_end)
        if brittle.learned_places is None:
            return most
        num_steps = int((self._clock() - brittle.learned_at_s) / REGROWTH_S)
        step = max(1, int(REGROWTH_SHARE * most))
        return min(most, brittle.learned_places + num_steps * step)

    def _own_places(self, back_end: BackEnd, of_service: Iterable[BackEnd]) -> int:
        now_s = self._clock()
        if now_s - self._dealt_at_s > DEAL_LIFE_S:
            self._dealt, self._dealt_at_s, self._dealt_rank = {}, now_s, self._rank()
        if back_end.run_id not in self._dealt:
            self._deal(of_service)
        return self._dealt.get(back_end.run_id, 0)

    def _deal(self, of_service: Iterable[BackEnd]) -> None:
        """Deal the places of a service's brittle back ends to the nodes in turn."""
        rank, num_dealt = self._dealt_rank, 0
        for back_end in sorted(of_service, key=lambda one: one.instance):
            brittle = self._current(back_end.run_id)
            if brittle is None:
                continue
            places = self._places(back_end, brittle)
            first = (rank.index - num_dealt) % rank.num_nodes
            self._dealt[back_end.run_id] = len(range(first, places, rank.num_nodes))
            num_dealt += places

    def _max_extra(self, back_end: BackEnd, brittle: _BrittleRun, num_all: int) -> float:
        num_free = self._places(back_end, brittle) - num_all
        return FREE_SHARE * num_free / self._dealt_rank.num_nodes


def _all_places(back_end: BackEnd) -> int:
    """Return the places of a back end about whose room nothing else is known."""
    return max(1, int(PLACES_SHARE * back_end.slots))
