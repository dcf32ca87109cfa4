"""Drain state of a node: new requests are refused while the running ones finish."""

import anyio


class Drain:
    """Counts the running requests and signals when the last one has ended."""

    def __init__(self) -> None:
        self.is_draining = False
        self.num_running = 0
        self._idle: anyio.Event | None = None

    def begin(self) -> None:
        """Start refusing new requests."""
        self.is_draining = True

    def record_start(self) -> None:
        """Record that a request has started."""
        self.num_running += 1

    def record_end(self) -> None:
        """Record that a request has ended and its answer has been sent."""
        self.num_running -= 1
        if self.num_running == 0 and self._idle is not None:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self.num_running > 0:
            self._idle = anyio.Event()
            await self._idle.wait()
