"""Planned stop of a node: refuse new requests, finish those that run."""

import anyio


class Drain:
    """Counts running requests and tells when the last one has ended."""

    def __init__(self) -> None:
        self.is_draining = False
        self.num_running = 0
        self._idle: anyio.Event | None = None

    def begin(self) -> None:
        """Refuse new requests from now on."""
        self.is_draining = True

    def enter(self) -> None:
        """A request has started."""
        self.num_running += 1

    def leave(self) -> None:
        """A request has ended, its answer sent."""
        self.num_running -= 1
        if self.num_running == 0 and self._idle is not None:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request runs."""
        while self.num_running > 0:
            self._idle = anyio.Event()
            await self._idle.wait()
