"""Collects the records of a soak while it runs."""

import time

import anyio

from bench.fault_soak.history import AnyRecord, Disturbance, Disturbed

TICK_S = 0.05
LATE_S = 0.15
"""A tick that comes this much later shows that the soak itself did not run in between."""


class Recorder:
    """The history so far; its clock is the monotonic one."""

    def __init__(self) -> None:
        self.records: list[AnyRecord] = []

    def now_s(self) -> float:
        """Return the time of a record that is made now, in seconds."""
        return time.monotonic()

    def note(self, record: AnyRecord) -> None:
        """Keep a record."""
        self.records.append(record)

    def note_disturbed(self, what: Disturbance, from_s: float) -> None:
        """Note that something was disturbed from a time until now."""
        self.note(Disturbed(at_s=from_s, what=what, until_s=self.now_s()))

    async def watch_lateness(self) -> None:
        """Note each time in which the soak itself was late, until cancelled."""
        while True:
            before_s = self.now_s()
            await anyio.sleep(TICK_S)
            if self.now_s() - before_s > TICK_S + LATE_S:
                self.note_disturbed(Disturbance.HARNESS, before_s)
