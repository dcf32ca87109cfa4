"""Measures how long a test's process did not run, for tests with timeouts on real connections.

A timeout says nothing about the connection if the process could not read from it meanwhile.
"""

import gc
import time

import anyio

CHECK_INTERVAL_S = 0.01


class LoopWatch:
    """Keeps the longest pause of the event loop that occurred while `run` was running."""

    def __init__(self):
        self.longest_pause_s = 0.0
        self.processor_s = 0.0
        """Processor time that this process used in that pause; if low, it was not scheduled."""
        self.longest_collection_s = 0.0
        """Duration of the longest garbage collection."""
        self._collection_began_s = 0.0

    async def run(self):
        """Measure until cancelled."""
        gc.callbacks.append(self._record_collection)
        try:
            while True:
                began_s, processor_s = time.monotonic(), time.process_time()
                await anyio.sleep(CHECK_INTERVAL_S)
                gap_s = time.monotonic() - began_s - CHECK_INTERVAL_S
                if gap_s > self.longest_pause_s:
                    self.longest_pause_s = gap_s
                    self.processor_s = time.process_time() - processor_s
        finally:
            gc.callbacks.remove(self._record_collection)

    def _record_collection(self, phase, _info):
        if phase == "start":
            self._collection_began_s = time.monotonic()
        else:
            took_s = time.monotonic() - self._collection_began_s
            self.longest_collection_s = max(self.longest_collection_s, took_s)

    def __str__(self):
        return (
            f"longest pause of the event loop: {self.longest_pause_s:.3f} s, with "
            f"{self.processor_s:.3f} s of processor time; longest garbage collection: "
            f"{self.longest_collection_s:.3f} s"
        )
