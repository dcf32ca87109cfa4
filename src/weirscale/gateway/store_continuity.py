"""When the store last answered no node at all.

While the store is away nobody can bring new weights to the runners, so the grace of older ones
begins anew after an outage; and registrations lapse with it. That holds for an outage of all nodes
alone: one that stands still, loses its own connections or is turned away sees the same silence
while the store answers others, and would let older weights and back ends that are gone serve on
after everybody else has stopped. So a node's own silence is only a claim, and what other nodes have
proved meanwhile takes it back.
"""

from collections.abc import Callable

import msgspec

NEVER_S = float("-inf")

GAP_S = 2.0
"""Proofs that lie closer together are one span. A node whose reader is lost has a new proof after
1.6 s at most: 1.1 s of patience and the next round of queries."""

NUM_WITNESSES = 2
"""So many other nodes must have answered before a silence counts as one of the store: several nodes
may have stood still together."""

ALONE_S = 1.0
"""A node that no other one answers for so long decides alone: nobody else serves its callers."""


class Span(msgspec.Struct, frozen=True):
    """Time in which the store answered, with no longer pause than `GAP_S`.

    Attributes:
        began_s: Its first answer.
        proved_at_s: Its last answer so far.
    """

    began_s: float
    proved_at_s: float


class StoreContinuity:
    """Joins what this node and others have proved of the store; starts without any proof.

    Attributes:
        num_others: Returns how many other nodes there are to ask.
    """

    def __init__(self) -> None:
        self.num_others: Callable[[], int] = lambda: 0
        self._span: Span | None = None
        self._own_span: Span | None = None
        self._gap_from_s: float | None = None
        """Last answer before the gap that precedes the span, if there is one."""
        self._noticed_at_s = NEVER_S
        """When the silence after that answer was noticed."""
        self._noticed_gap_from_s = NEVER_S
        self._witnesses: set[str] = set()
        self._settled_s = NEVER_S
        """End of the last outage before that gap."""

    def prove(self, proved_at_s: float, now_s: float) -> None:
        """Learn that the store answered this node, directly or by way of a reader."""
        own = self._own_span
        if own is None or proved_at_s > own.proved_at_s + GAP_S:
            self._own_span = Span(proved_at_s, proved_at_s)
        elif proved_at_s > own.proved_at_s:
            self._own_span = Span(own.began_s, proved_at_s)
        self._join(Span(proved_at_s, proved_at_s), now_s)

    def hear(self, witness: str, span: Span, now_s: float) -> None:
        """Learn from another node in which time the store has answered it."""
        self._witnesses.add(witness)
        if self._span is not None:
            self._join(span, now_s)

    def own_span(self) -> Span | None:
        """Return what this node can tell others of its own knowledge."""
        return self._own_span

    def is_doubtful(self, now_s: float) -> bool:
        """Whether there is, or was just now, a silence that others may contradict."""
        return self._is_silent(now_s) or self._gap_from_s is not None

    def outage_ended_s(self, now_s: float) -> float:
        """Return when the last outage of the store ended; now, while there is one."""
        if not self.is_doubtful(now_s) or not self._is_agreed(now_s):
            return self._settled_s
        assert self._span is not None
        return now_s if self._is_silent(now_s) else self._span.began_s

    def forget_doubt(self, before_s: float) -> None:
        """Take a gap that ended before a time for settled: whoever was asked has answered."""
        if self._span is None or self._gap_from_s is None or self._span.began_s > before_s:
            return
        self._settled_s = self._span.began_s
        self._gap_from_s = None

    def _is_silent(self, now_s: float) -> bool:
        """Whether nobody has proved anything for too long; notes when that showed first."""
        if self._span is None or now_s <= self._span.proved_at_s + GAP_S:
            return False
        self._notice(self._span.proved_at_s, now_s)
        return True

    def _is_agreed(self, now_s: float) -> bool:
        has_witnesses = len(self._witnesses) >= min(NUM_WITNESSES, self.num_others())
        return has_witnesses or now_s >= self._noticed_at_s + ALONE_S

    def _notice(self, gap_from_s: float, now_s: float) -> None:
        if self._noticed_gap_from_s != gap_from_s:
            self._noticed_gap_from_s = gap_from_s
            self._noticed_at_s = now_s
            self._witnesses.clear()

    def _join(self, span: Span, now_s: float) -> None:
        known = self._span
        if known is None:
            self._span = span
        elif span.began_s > known.proved_at_s + GAP_S:
            self._begin_anew(known, span, now_s)
        else:
            self._join_overlapping(known, span)

    def _begin_anew(self, known: Span, span: Span, now_s: float) -> None:
        if self._gap_from_s is not None:
            self._settled_s = known.began_s
        self._notice(known.proved_at_s, now_s)
        self._gap_from_s = known.proved_at_s
        self._span = span

    def _join_overlapping(self, known: Span, span: Span) -> None:
        began_s = min(known.began_s, span.began_s)
        if self._gap_from_s is not None and span.began_s <= self._gap_from_s + GAP_S:
            # It begins before the gap: the store answered somebody at least at its beginning.
            began_s = known.began_s
            self._gap_from_s = max(self._gap_from_s, span.proved_at_s)
            if self._gap_from_s >= known.began_s - GAP_S:
                self._gap_from_s = None
        self._span = Span(began_s, max(known.proved_at_s, span.proved_at_s))
