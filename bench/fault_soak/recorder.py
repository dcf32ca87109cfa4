"""Collects the records of a soak test while it runs."""

import time

import anyio

from bench.fault_soak.history import AnyRecord, Disturbance, Disturbed

TICK_S = 0.05
MIN_DELAY_S = 0.15
"""A tick that is later by more than this shows that the soak test itself did not run meanwhile."""


class Recorder:
    """The history so far, on the monotonic clock."""

    def __init__(self) -> None:
        self.records: list[AnyRecord] = []

    def now_s(self) -> float:
        """Return the current time for a record, in seconds."""
        return time.monotonic()

    def record(self, record: AnyRecord) -> None:
        """Append a record to the history."""
        self.records.append(record)

    def record_disturbance(self, what: Disturbance, from_s: float) -> None:
        """Record a disturbance that lasted from `from_s` until now."""
        self.record(Disturbed(at_s=from_s, what=what, until_s=self.now_s()))

    async def watch_delays(self) -> None:
        """Record each period in which the soak test itself was delayed, until cancelled."""
        while True:
            previous_s = self.now_s()
            await anyio.sleep(TICK_S)
            if self.now_s() - previous_s > TICK_S + MIN_DELAY_S:
                self.record_disturbance(Disturbance.HARNESS, previous_s)
