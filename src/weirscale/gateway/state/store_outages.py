"""Distinguishes a store outage for all nodes from a silence that only this node observed.

While the store is unavailable, engines cannot get new weights, so the grace period of older weights
restarts after an outage. Registrations lapse during an outage. Both are correct only if the store
answered no node. A node that is paused, loses its own connections or is refused observes the same
silence while the store answers others. If such a node assumed an outage, it would keep using older
weights and ended back ends after all other nodes have stopped.

A silence is therefore unconfirmed at first. It counts as an outage once other nodes (the witnesses)
report that they were awake and got no answer either. A report that the store answered any node
during that time shows that there was no outage. Time in which this node was paused is not a
silence, because it sent no queries. The reasoning is in docs/design/0021-ages-by-proof.md.
"""

from collections.abc import Callable

import msgspec

NEVER_S = float("-inf")
"""A time before all others, for events that have never happened."""

GAP_S = 2.0
"""Seconds; answers that are at most this far apart belong to one span. A node that loses its reader
gets a new answer after 1.6 s at most: 1.1 s until it abandons the reader, plus the next round of
queries."""

NUM_WITNESSES = 2
"""Number of other nodes that must have observed a silence before it counts as an outage; all of
them if there are fewer. A single witness may have lost its connections together with this node."""

SUSPENSION_S = 1.0
"""Seconds without a call of `update` after which the node counts as having been suspended. `update`
is called every 0.4 s."""


class AvailabilitySpan(msgspec.Struct, frozen=True):
    """A period in which the store answered, without a pause longer than `GAP_S`.

    Attributes:
        began_s: Time of the first answer.
        last_answer_s: Time of the last answer so far.
        silent_from_s: Time of the last answer before the span, if the silence in between was
            observed while awake; None otherwise.
    """

    began_s: float
    last_answer_s: float
    silent_from_s: float | None = None


class StoreOutageDetector:
    """Combines the times at which the store answered this node and others.

    Attributes:
        num_others: Returns how many other nodes can be queried.
    """

    def __init__(self) -> None:
        self.num_others: Callable[[], int] = lambda: 0
        self._span: AvailabilitySpan | None = None
        """The current span for all nodes; `silent_from_s` is set while the silence before it is
        unconfirmed."""
        self._own_span: AvailabilitySpan | None = None
        self._awake_at_s = NEVER_S
        self._noticed_at_s = NEVER_S
        self._noticed_from_s = NEVER_S
        """Time of the last answer before the most recently noticed silence."""
        self._witnesses: set[str] = set()
        self._confirmed_end_s = NEVER_S
        """End of the last confirmed outage."""

    def record_answer(self, answered_at_s: float, now_s: float) -> None:
        """Record that the store answered this node, directly or through a reader."""
        self.update(now_s)
        own = self._own_span
        if own is None:
            self._own_span = AvailabilitySpan(answered_at_s, answered_at_s)
        elif answered_at_s > own.last_answer_s + GAP_S:
            self._own_span = AvailabilitySpan(answered_at_s, answered_at_s, own.last_answer_s)
        elif answered_at_s > own.last_answer_s:
            self._own_span = msgspec.structs.replace(own, last_answer_s=answered_at_s)
        self._merge(AvailabilitySpan(answered_at_s, answered_at_s), now_s)

    def record_peer_span(
        self, witness: str, span: AvailabilitySpan, asked_at_s: float, now_s: float
    ) -> None:
        """Record another node's span, as reported in reply to a query sent at `asked_at_s`."""
        self.update(now_s)
        if self._span is None:
            return
        if asked_at_s >= self._noticed_at_s and self._has_seen_silence(span, asked_at_s):
            self._witnesses.add(witness)
        self._merge(span, now_s)

    def own_span(self) -> AvailabilitySpan | None:
        """Return the span in which the store answered this node; None if it never did."""
        return self._own_span

    def update(self, now_s: float) -> None:
        """Detect silences and suspensions of this node; call this several times a second."""
        self._exclude_suspension(now_s)
        if self._is_silent(now_s):
            assert self._span is not None
            self._start_silence(self._span.last_answer_s, now_s)

    def is_doubtful(self, now_s: float) -> bool:
        """Return whether there is, or has just been, a silence that others may contradict."""
        return self._is_silent(now_s) or self._silent_from_s() is not None

    def outage_ended_s(self, now_s: float) -> float:
        """Return when the last store outage ended; `now_s` during an outage."""
        if self._span is None:
            return self._confirmed_end_s
        if self._is_silent(now_s):
            is_noticed = self._noticed_from_s == self._span.last_answer_s
            is_awake = now_s <= self._awake_at_s + SUSPENSION_S
            return (
                now_s if is_noticed and is_awake and self._is_confirmed() else self._confirmed_end_s
            )
        if self._silent_from_s() is not None and self._is_confirmed():
            return self._span.began_s
        return self._confirmed_end_s

    def end_doubt(self, before_s: float) -> None:
        """Resolve a silence that ended before a time: by then, the queried nodes have answered."""
        if self._span is not None and self._span.began_s <= before_s:
            self._resolve()

    def _silent_from_s(self) -> float | None:
        return None if self._span is None else self._span.silent_from_s

    def _is_silent(self, now_s: float) -> bool:
        return self._span is not None and now_s > self._span.last_answer_s + GAP_S

    def _is_confirmed(self) -> bool:
        return len(self._witnesses) >= min(NUM_WITNESSES, self.num_others())

    def _has_seen_silence(self, span: AvailabilitySpan, asked_at_s: float) -> bool:
        """Return whether a node was awake in the unconfirmed silence and got no answer either."""
        is_silent = asked_at_s > span.last_answer_s + GAP_S
        was_silent = span.silent_from_s is not None and span.began_s > self._noticed_from_s
        return is_silent or was_silent

    def _exclude_suspension(self, now_s: float) -> None:
        was_suspended = now_s > self._awake_at_s + SUSPENSION_S
        if was_suspended and self._span is not None and not self._is_silent(self._awake_at_s):
            last_answer_s = max(self._span.last_answer_s, now_s)
            self._span = msgspec.structs.replace(self._span, last_answer_s=last_answer_s)
            self._own_span = None
        self._awake_at_s = max(self._awake_at_s, now_s)

    def _start_silence(self, silent_from_s: float, now_s: float) -> None:
        if 0.0 <= silent_from_s - self._noticed_from_s <= GAP_S:
            # This is the same silence: another node got one more answer before it began.
            self._noticed_from_s = silent_from_s
            return
        self._resolve()
        self._noticed_from_s = silent_from_s
        self._noticed_at_s = now_s
        self._witnesses.clear()

    def _resolve(self) -> None:
        """Decide whether the silence before the current span was an outage."""
        if self._span is None or self._span.silent_from_s is None:
            return
        if self._is_confirmed():
            self._confirmed_end_s = self._span.began_s
        self._span = msgspec.structs.replace(self._span, silent_from_s=None)

    def _merge(self, span: AvailabilitySpan, now_s: float) -> None:
        current = self._span
        if current is None:
            self._span = AvailabilitySpan(span.began_s, span.last_answer_s)
        elif span.began_s > current.last_answer_s + GAP_S:
            self._start_silence(current.last_answer_s, now_s)
            self._span = AvailabilitySpan(span.began_s, span.last_answer_s, current.last_answer_s)
        else:
            self._span = _merged(current, span)


def _merged(current: AvailabilitySpan, span: AvailabilitySpan) -> AvailabilitySpan:
    """Merge a span that overlaps the current one or the time before the silence preceding it."""
    last_answer_s = max(current.last_answer_s, span.last_answer_s)
    silent_from_s = current.silent_from_s
    if silent_from_s is None or span.began_s > silent_from_s + GAP_S:
        return AvailabilitySpan(min(current.began_s, span.began_s), last_answer_s, silent_from_s)
    # The span begins before the silence, so the store answered some node at least at that time.
    silent_from_s = max(silent_from_s, span.last_answer_s)
    if silent_from_s >= current.began_s - GAP_S:
        return AvailabilitySpan(current.began_s, last_answer_s)
    return AvailabilitySpan(current.began_s, last_answer_s, silent_from_s)
