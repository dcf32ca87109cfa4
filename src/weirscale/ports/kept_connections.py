"""Connections to one HTTP server that are kept while they are unused, for as long as is safe.

A server closes connections that rest, and a request that crosses the close may have run or not. So
they are closed a little before: by what the server's answers say (`Keep-Alive: timeout=`, RFC 2068,
19.7.1.1), and sooner once requests on them are reset.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import httpx

FIRST_IDLE_S = 9.0
"""Unused connections are kept this long, until an answer tells that the server keeps them for less
or a request on one of them is reset. One that the server has closed is not used."""

LEAST_IDLE_S = 1.0
RESET_FACTOR = 0.5
"""A server may forget connections sooner than it says: each reset shortens the time by this."""

MARGIN_S = 1.0
"""A connection is closed this long before the server would."""

STEP_S = 0.5
"""Smaller differences in what answers tell change nothing."""

KEEP_ALIVE = b"keep-alive"
KEEP_ALIVE_TIMEOUT = "timeout="

MakeTransport = Callable[[float], httpx.AsyncBaseTransport]
"""Takes how long an unused connection is kept, in seconds."""


class _Pool:
    """Connections that are kept for one idle time.

    Args:
        transport: Owns the connections.
        idle_s: How long an unused one is kept.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport, idle_s: float) -> None:
        self.transport = transport
        self.idle_s = idle_s
        self._num_running = 0
        self._is_retired = False

    @asynccontextmanager
    async def used(self) -> AsyncIterator[httpx.AsyncBaseTransport]:
        self._num_running += 1
        try:
            yield self.transport
        finally:
            self._num_running -= 1
            await self._close_if_done()

    async def retire(self) -> None:
        self._is_retired = True
        await self._close_if_done()

    async def _close_if_done(self) -> None:
        if self._is_retired and self._num_running == 0:
            with anyio.CancelScope(shield=True):
                await self.transport.aclose()


class KeptConnections:
    """The connections to one server.

    Args:
        make_transport: Makes the transport that owns them.
    """

    def __init__(self, make_transport: MakeTransport) -> None:
        self._make_transport = make_transport
        self._pool = self._new_pool(FIRST_IDLE_S)

    def _new_pool(self, idle_s: float) -> _Pool:
        return _Pool(self._make_transport(idle_s), idle_s)

    @asynccontextmanager
    async def used(self) -> AsyncIterator[httpx.AsyncBaseTransport]:
        """Use the connections; those that are kept no more close after their last use."""
        async with self._pool.used() as transport:
            yield transport

    async def heed_answer(self, response: httpx.Response) -> None:
        """Keep unused connections for less if the server says so."""
        told_s = _idle_time_s(response.headers.raw)
        if told_s is None:
            return
        idle_s = max(0.0, told_s - MARGIN_S)
        if idle_s <= self._pool.idle_s - STEP_S:
            await self._replace_pool(idle_s)

    async def heed_failure(self, error: httpx.HTTPError) -> None:
        """Keep unused connections for less after a reset: this one may have been forgotten."""
        was_reset = isinstance(error, httpx.ReadError | httpx.WriteError)
        idle_s = max(LEAST_IDLE_S, RESET_FACTOR * self._pool.idle_s)
        if was_reset and idle_s < self._pool.idle_s:
            await self._replace_pool(idle_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.transport.aclose()

    async def _replace_pool(self, idle_s: float) -> None:
        retired, self._pool = self._pool, self._new_pool(idle_s)
        await retired.retire()


def _idle_time_s(raw: list[tuple[bytes, bytes]]) -> float | None:
    """Return how long the server keeps an unused connection, if its answer tells."""
    told = next((value for name, value in raw if name.lower() == KEEP_ALIVE), b"")
    for part in told.decode("latin-1").split(","):
        text = part.strip().lower()
        if text.startswith(KEEP_ALIVE_TIMEOUT) and text[len(KEEP_ALIVE_TIMEOUT) :].isdigit():
            return float(text[len(KEEP_ALIVE_TIMEOUT) :])
    return None
