"""Tells an outage of the store for all nodes from a silence that only this node saw.

While the store is away nobody can bring new weights to engines, so the grace of older ones starts
anew after an outage; and registrations lapse during it. Both are right only if the store answered
no node. A node that is paused, loses its own connections or is refused sees the same silence
while the store answers others; if it took that for an outage, older weights and back ends that are
gone would serve on there after all other nodes have stopped using them.

So a silence is first in doubt. It counts as an outage once other nodes (the witnesses) report that
they were awake and got no answer either. A report that the store did answer somebody in that time
ends the doubt the other way. Time in which this node itself was paused is no silence: it asked
nothing. The reasoning is in docs/design/0021-ages-by-proof.md.
"""

from collections.abc import Callable

import msgspec

NEVER_S = float("-inf")
"""A time before all others: nothing is known."""

GAP_S = 2.0
"""Seconds; proofs that lie closer together are one span. A node whose reader is lost has a new
proof after 1.6 s at most: 1.1 s until it gives the reader up, and the next round of queries."""

NUM_WITNESSES = 2
"""Other nodes that must have seen a silence before it counts as an outage, or all where there are
fewer: one other may have lost its connections together with this node. Not measured."""

STANDSTILL_S = 1.0
"""Seconds; a node that has not looked at the time for so long was paused. It looks every 0.4 s."""


class AvailabilitySpan(msgspec.Struct, frozen=True):
    """Time in which the store answered, with no longer pause than `GAP_S`.

    Attributes:
        began_s: Its first answer.
        last_answer_s: Its last answer so far.
        silent_from_s: The answer before it, if a silence that was seen awake lies between.
    """

    began_s: float
    last_answer_s: float
    silent_from_s: float | None = None


class StoreOutageDetector:
    """Joins the times at which the store answered this node and others; starts without any.

    Attributes:
        num_others: Returns how many other nodes there are to ask.
    """

    def __init__(self) -> None:
        self.num_others: Callable[[], int] = lambda: 0
        self._span: AvailabilitySpan | None = None
        """What is known of all nodes; `silent_from_s` where its beginning is in doubt."""
        self._own_span: AvailabilitySpan | None = None
        self._awake_at_s = NEVER_S
        self._noticed_at_s = NEVER_S
        self._noticed_from_s = NEVER_S
        """The last answer before the silence that was noticed last."""
        self._witnesses: set[str] = set()
        self._settled_s = NEVER_S
        """End of the last outage that is not in doubt any more."""

    def prove(self, proved_at_s: float, now_s: float) -> None:
        """Learn that the store answered this node, directly or by way of a reader."""
        self.look(now_s)
        own = self._own_span
        if own is None:
            self._own_span = AvailabilitySpan(proved_at_s, proved_at_s)
        elif proved_at_s > own.last_answer_s + GAP_S:
            self._own_span = AvailabilitySpan(proved_at_s, proved_at_s, own.last_answer_s)
        elif proved_at_s > own.last_answer_s:
            self._own_span = msgspec.structs.replace(own, last_answer_s=proved_at_s)
        self._join(AvailabilitySpan(proved_at_s, proved_at_s), now_s)

    def receive(
        self, witness: str, span: AvailabilitySpan, asked_at_s: float, now_s: float
    ) -> None:
        """Learn from another node, asked at a time, in which time the store has answered it."""
        self.look(now_s)
        if self._span is None:
            return
        if asked_at_s >= self._noticed_at_s and self._has_seen_silence(span, asked_at_s):
            self._witnesses.add(witness)
        self._join(span, now_s)

    def own_span(self) -> AvailabilitySpan | None:
        """Return when the store answered this node, for others; None if it never did."""
        return self._own_span

    def look(self, now_s: float) -> None:
        """Notice silences and standstills; to be called several times a second."""
        self._leave_out_standstill(now_s)
        if self._is_silent(now_s):
            assert self._span is not None
            self._notice(self._span.last_answer_s, now_s)

    def is_doubtful(self, now_s: float) -> bool:
        """Whether there is, or was just now, a silence that others may contradict."""
        return self._is_silent(now_s) or self._silent_from_s() is not None

    def outage_ended_s(self, now_s: float) -> float:
        """Return when the last outage of the store ended; now, while there is one."""
        if self._span is None:
            return self._settled_s
        if self._is_silent(now_s):
            is_noticed = self._noticed_from_s == self._span.last_answer_s
            is_awake = now_s <= self._awake_at_s + STANDSTILL_S
            return now_s if is_noticed and is_awake and self._is_agreed() else self._settled_s
        if self._silent_from_s() is not None and self._is_agreed():
            return self._span.began_s
        return self._settled_s

    def end_doubt(self, before_s: float) -> None:
        """End the doubt about a silence that ended before a time: those asked have answered."""
        if self._span is not None and self._span.began_s <= before_s:
            self._judge()

    def _silent_from_s(self) -> float | None:
        return None if self._span is None else self._span.silent_from_s

    def _is_silent(self, now_s: float) -> bool:
        return self._span is not None and now_s > self._span.last_answer_s + GAP_S

    def _is_agreed(self) -> bool:
        return len(self._witnesses) >= min(NUM_WITNESSES, self.num_others())

    def _has_seen_silence(self, span: AvailabilitySpan, asked_at_s: float) -> bool:
        """Whether a node was awake in the silence that is in doubt and got no answer either."""
        is_silent = asked_at_s > span.last_answer_s + GAP_S
        was_silent = span.silent_from_s is not None and span.began_s > self._noticed_from_s
        return is_silent or was_silent

    def _leave_out_standstill(self, now_s: float) -> None:
        stood_still = now_s > self._awake_at_s + STANDSTILL_S
        if stood_still and self._span is not None and not self._is_silent(self._awake_at_s):
            proved_at_s = max(self._span.last_answer_s, now_s)
            self._span = msgspec.structs.replace(self._span, last_answer_s=proved_at_s)
            self._own_span = None
        self._awake_at_s = max(self._awake_at_s, now_s)

    def _notice(self, silent_from_s: float, now_s: float) -> None:
        if 0.0 <= silent_from_s - self._noticed_from_s <= GAP_S:
            # The same silence: another node had one more answer before it.
            self._noticed_from_s = silent_from_s
            return
        self._judge()
        self._noticed_from_s = silent_from_s
        self._noticed_at_s = now_s
        self._witnesses.clear()

    def _judge(self) -> None:
        """End the doubt about the silence before the span."""
        if self._span is None or self._span.silent_from_s is None:
            return
        if self._is_agreed():
            self._settled_s = self._span.began_s
        self._span = msgspec.structs.replace(self._span, silent_from_s=None)

    def _join(self, span: AvailabilitySpan, now_s: float) -> None:
        known = self._span
        if known is None:
            self._span = AvailabilitySpan(span.began_s, span.last_answer_s)
        elif span.began_s > known.last_answer_s + GAP_S:
            self._notice(known.last_answer_s, now_s)
            self._span = AvailabilitySpan(span.began_s, span.last_answer_s, known.last_answer_s)
        else:
            self._span = _joined(known, span)


def _joined(known: AvailabilitySpan, span: AvailabilitySpan) -> AvailabilitySpan:
    """Join a span that overlaps a known one, or what was before the silence in front of it."""
    proved_at_s = max(known.last_answer_s, span.last_answer_s)
    silent_from_s = known.silent_from_s
    if silent_from_s is None or span.began_s > silent_from_s + GAP_S:
        return AvailabilitySpan(min(known.began_s, span.began_s), proved_at_s, silent_from_s)
    # It begins before the silence: the store answered somebody at least at its beginning.
    silent_from_s = max(silent_from_s, span.last_answer_s)
    if silent_from_s >= known.began_s - GAP_S:
        return AvailabilitySpan(known.began_s, proved_at_s)
    return AvailabilitySpan(known.began_s, proved_at_s, silent_from_s)
