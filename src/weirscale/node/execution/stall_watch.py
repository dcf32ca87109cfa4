"""Detection of stalled streams, without a timer for each chunk."""

import anyio

from weirscale.domain.request.retry_policy import CHUNK_STALL_S

SWEEP_INTERVAL_S = 0.25
"""Interval of the sweeps; a stall is detected at most this much too early or too late."""

SUSPENSION_S = 1.0
"""A longer gap between two sweeps means that the process was suspended or overloaded. Chunks that
arrived meanwhile have not been read, so no stream counts as stalled yet."""


class WatchedStream:
    """State of a watched stream; updated by its task for each chunk, read by the watch.

    Attributes:
        scope: Scope around the reads of the stream's task; cancelled on a stall.
        waiting_since_s: When the task began to wait for the next chunk, in the watch's `now_s`, or
            None while the task does something else, such as sending to a slow caller.
        give_up_at_s: When the wait times out in any case.
    """

    __slots__ = ("give_up_at_s", "scope", "waiting_since_s")

    def __init__(self, scope: anyio.CancelScope, give_up_at_s: float) -> None:
        self.scope = scope
        self.give_up_at_s = give_up_at_s
        self.waiting_since_s: float | None = None


class StallWatch:
    """A task that cancels the reads of stalled streams.

    A deadline for each chunk costs more than all other work on the chunk. Instead, each waiting
    task stores when its wait began, and one task checks all of them a few times per second.

    Attributes:
        now_s: The time of the last sweep; reading it costs less than reading the clock.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._last_sweep_s = 0.0
        self._streams: set[WatchedStream] = set()
        self._has_streams = anyio.Event()

    def add(self, watched: WatchedStream) -> None:
        """Start watching a stream."""
        self.now_s = anyio.current_time()
        self._streams.add(watched)
        self._has_streams.set()

    def remove(self, watched: WatchedStream) -> None:
        """Stop watching a stream."""
        self._streams.discard(watched)

    async def run(self) -> None:
        """Sweep periodically until cancelled, while streams are watched."""
        while True:
            await self._has_streams.wait()
            self._sweep(anyio.current_time())
            if not self._streams:
                self._has_streams = anyio.Event()
                continue
            await anyio.sleep(SWEEP_INTERVAL_S)

    def _sweep(self, now_s: float) -> None:
        was_suspended = now_s - self._last_sweep_s > SUSPENSION_S
        self._last_sweep_s = now_s
        self.now_s = now_s
        for watched in self._streams:
            waiting_since_s = watched.waiting_since_s
            if waiting_since_s is None:
                continue
            if was_suspended:
                watched.waiting_since_s = now_s
            elif now_s >= min(waiting_since_s + CHUNK_STALL_S, watched.give_up_at_s):
                watched.scope.cancel()
