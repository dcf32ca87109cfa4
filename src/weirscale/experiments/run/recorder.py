"""Collects the records of an experiment run in memory."""

from collections.abc import Callable

from weirscale.experiments.history.records import AnyRecord


class Recorder:
    """Collects the records of callers, harness and stand-ins; all of them share an event loop.

    Attributes:
        records: All records, in the order in which they were added.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Create an empty recorder.

        Args:
            now: Clock for the times of records, in seconds.
        """
        self.records: list[AnyRecord] = []
        self.now = now

    def add(self, record: AnyRecord) -> None:
        """Add a record."""
        self.records.append(record)
