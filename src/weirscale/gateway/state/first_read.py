"""Waits for a node's first full read of the platform's state."""

from collections.abc import Callable

import anyio


class FirstRead:
    """The first full read of a node that starts.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._created_at_s = clock()
        self._completed = anyio.Event()

    def complete(self) -> None:
        """Record that a full read has been completed."""
        self._completed.set()

    async def wait(self) -> None:
        """Wait until a full read has been completed."""
        await self._completed.wait()

    async def wait_within(self, timeout_s: float) -> None:
        """Wait for the read, at most until `timeout_s` after this object was created."""
        if self._completed.is_set():
            return
        left_s = self._created_at_s + timeout_s - self._clock()
        with anyio.move_on_after(max(0.0, left_s)):
            await self._completed.wait()
