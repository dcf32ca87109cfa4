"""The quarantines in force at this node, begun and ended by its own count and by records."""

from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

from weirscale.gateway.quarantine.record import QUARANTINE_S, QuarantineRecords, SubjectT

ObservedT = TypeVar("ObservedT", contravariant=True)

RECORD_MARGIN_S = 5.0
"""Seconds by which a node's own timer for a quarantine exceeds the lifetime of its record. The end
of the record decides; the timer ends quarantines whose record could not be written."""

OBSERVER_HEAD_START_S = 1.0
"""Seconds for which the other nodes leave the write of a record to the node that saw the last
crash; the delay by rank is added."""


class QuarantineObserver(Protocol[ObservedT]):
    """Is told of the beginning and the end of quarantines."""

    def quarantine_begun(self, subject: ObservedT, source: str) -> None:
        """Handle the beginning; `source` is `own`, `peer` or `record`."""
        ...

    def quarantine_over(self, subject: ObservedT, reason: str) -> None:
        """Handle the end by time, or by the end of the record."""
        ...


class ActiveQuarantines(Generic[SubjectT]):
    """Quarantines in force, and their records in the store.

    Args:
        records: The records.
        delay_s: Returns the seconds for which this node leaves a write that any node can do to
            the others.
        observer: Is told of changes.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        records: QuarantineRecords[SubjectT],
        delay_s: Callable[[], float],
        observer: QuarantineObserver[SubjectT],
        clock: Callable[[], float],
    ) -> None:
        self.records = records
        self._delay_s = delay_s
        self._observer = observer
        self._clock = clock
        self._until_s: dict[SubjectT, float] = {}

    def __len__(self) -> int:
        return len(self._until_s)

    def __contains__(self, subject: object) -> bool:
        return subject in self._until_s

    def subjects(self) -> Iterable[SubjectT]:
        """Return the subjects that are refused."""
        return tuple(self._until_s)

    def remaining_s(self, subject: SubjectT) -> float | None:
        """Return for how many seconds a subject is still refused; None if it may be sent."""
        until_s = self._until_s.get(subject)
        if until_s is None:
            return None
        left_s = until_s - self._clock()
        if left_s > 0.0:
            return min(left_s, QUARANTINE_S)
        self._end(subject, "time_over")
        return None

    def begin(self, subject: SubjectT, source: str) -> None:
        """Begin a quarantine that this node concluded, unless it is in force, and record it."""
        if subject in self._until_s:
            return
        self._begin(subject, source)
        wait_s = 0.0 if source == "own" else OBSERVER_HEAD_START_S + self._delay_s()
        self.records.write_after(subject, wait_s)

    def _begin(self, subject: SubjectT, source: str) -> None:
        self._until_s[subject] = self._clock() + QUARANTINE_S + RECORD_MARGIN_S
        self._observer.quarantine_begun(subject, source)

    def release(self, subject: SubjectT) -> bool:
        """End a quarantine because its subject is not the cause; return whether it was in force."""
        self.records.cancel_write(subject)
        return self._until_s.pop(subject, None) is not None

    def _end(self, subject: SubjectT, reason: str) -> None:
        del self._until_s[subject]
        self.records.cancel_write(subject)
        self._observer.quarantine_over(subject, reason)

    def apply_record_changes(self) -> None:
        """Begin and end quarantines by the records added to and removed from the store."""
        changes = self.records.take_changes()
        for subject in changes.added:
            if subject not in self._until_s:
                self._begin(subject, "record")
        for subject in changes.removed:
            if subject in self._until_s:
                self._end(subject, "record_gone")
        for subject in changes.lost:
            if subject in self._until_s:
                self.records.write_after(subject, self._delay_s())
