"""Notices streams that have stalled, without a timer for each chunk."""

import anyio

from weirscale.domain.request.retry_policy import CHUNK_STALL_S

SWEEP_INTERVAL_S = 0.25
"""A stall is noticed at most this much before or after its time."""

PAUSE_S = 1.0
"""A look that comes this long after the one before finds a process that was paused or overloaded:
what has arrived meanwhile has not been read, so no stream can be called stalled yet."""


class WatchedPull:
    """One stream's waiting state; written by its task for each chunk, read by the watch.

    Attributes:
        scope: Around the task's pulls; cancelled on a stall.
        waiting_since_s: When the task began to wait for the next chunk, by the watch's `now_s`, or
            None while it does something else, for example sends to a slow caller.
        give_up_at_s: When waiting ends in any case.
    """

    __slots__ = ("give_up_at_s", "scope", "waiting_since_s")

    def __init__(self, scope: anyio.CancelScope, give_up_at_s: float) -> None:
        self.scope = scope
        self.give_up_at_s = give_up_at_s
        self.waiting_since_s: float | None = None


class StallWatch:
    """A task that cancels the pulls of stalled streams.

    A deadline for each chunk costs more than all other work on the chunk. Here a task that waits
    writes down since when, and one task looks at all of them a few times a second.

    Attributes:
        now_s: The time of the last look; reading it costs less than asking the clock.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._looked_at_s = 0.0
        self._pulls: set[WatchedPull] = set()
        self._has_pulls = anyio.Event()

    def add(self, pull: WatchedPull) -> None:
        """Watch a stream."""
        self.now_s = anyio.current_time()
        self._pulls.add(pull)
        self._has_pulls.set()

    def remove(self, pull: WatchedPull) -> None:
        """Watch a stream no more."""
        self._pulls.discard(pull)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await self._has_pulls.wait()
            self._sweep(anyio.current_time())
            if not self._pulls:
                self._has_pulls = anyio.Event()
                continue
            await anyio.sleep(SWEEP_INTERVAL_S)

    def _sweep(self, now_s: float) -> None:
        was_paused = now_s - self._looked_at_s > PAUSE_S
        self._looked_at_s = now_s
        self.now_s = now_s
        for pull in self._pulls:
            since_s = pull.waiting_since_s
            if since_s is None:
                continue
            if was_paused:
                pull.waiting_since_s = now_s
            elif now_s >= min(since_s + CHUNK_STALL_S, pull.give_up_at_s):
                pull.scope.cancel()
