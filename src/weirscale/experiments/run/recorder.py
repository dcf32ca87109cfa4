"""Gathers the records of a run in memory."""

from collections.abc import Callable

from weirscale.experiments.history.records import AnyRecord


class Recorder:
    """Takes records from callers, harness and stand-ins; all run in one event loop.

    Attributes:
        records: Everything recorded, in the order of recording.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        """Make an empty recorder.

        Args:
            now: The clock of all records.
        """
        self.records: list[AnyRecord] = []
        self.now = now

    def add(self, record: AnyRecord) -> None:
        """Keep one record."""
        self.records.append(record)
