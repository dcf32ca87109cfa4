"""Watches how long a test's process stands still, for tests with time-outs on real connections.

A time-out that passes says nothing of the connection if the process could not look at it meanwhile.
"""

import gc
import time

import anyio

LOOK_INTERVAL_S = 0.01


class LoopWatch:
    """Keeps the longest time in which the event loop ran nothing; `run` must be running."""

    def __init__(self):
        self.stood_still_s = 0.0
        self.worked_s = 0.0
        """Processor time of this process in that time: little of it means that it was not run."""
        self.collected_s = 0.0
        """Longest collection of garbage."""
        self._collection_began_s = 0.0

    async def run(self):
        """Look until cancelled."""
        gc.callbacks.append(self._note_collection)
        try:
            while True:
                looked_s, worked_s = time.monotonic(), time.process_time()
                await anyio.sleep(LOOK_INTERVAL_S)
                gap_s = time.monotonic() - looked_s - LOOK_INTERVAL_S
                if gap_s > self.stood_still_s:
                    self.stood_still_s = gap_s
                    self.worked_s = time.process_time() - worked_s
        finally:
            gc.callbacks.remove(self._note_collection)

    def _note_collection(self, phase, _info):
        if phase == "start":
            self._collection_began_s = time.monotonic()
        else:
            took_s = time.monotonic() - self._collection_began_s
            self.collected_s = max(self.collected_s, took_s)

    def __str__(self):
        return (
            f"the event loop stood still for {self.stood_still_s:.3f} s at the most, with "
            f"{self.worked_s:.3f} s of processor time; garbage was collected for "
            f"{self.collected_s:.3f} s at the most"
        )
