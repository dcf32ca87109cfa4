"""Keep-alive connections to one HTTP server, kept idle for as long as is safe.

A server closes idle connections. If it does so while a request is in flight, the request may have
run or not. The client therefore closes idle connections shortly before: after the time that the
server's answers state (`Keep-Alive: timeout=`, RFC 2068, 19.7.1.1), and earlier once a request was
reset.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import httpx

INITIAL_IDLE_TIMEOUT_S = 9.0
"""Seconds for which idle connections are kept at first. The time is reduced when an answer states a
shorter one or a request is reset. Connections that the server has closed are not reused."""

MIN_IDLE_TIMEOUT_S = 1.0
RESET_REDUCTION_FACTOR = 0.5
"""Each reset multiplies the idle timeout by this: a server may drop idle connections earlier than
it states."""

CLOSE_MARGIN_S = 1.0
"""Seconds before the server's idle timeout at which the client closes a connection."""

MIN_REDUCTION_S = 0.5
"""Smaller reductions, in seconds, of the time that answers state are ignored."""

KEEP_ALIVE_HEADER = b"keep-alive"
KEEP_ALIVE_TIMEOUT = "timeout"

MakeTransport = Callable[[float], httpx.AsyncBaseTransport]
"""Takes the idle timeout of connections in seconds."""


class _Pool:
    """Connections with the same idle timeout.

    Args:
        transport: Owner of the connections.
        idle_timeout_s: How long an idle connection is kept.
    """

    def __init__(self, transport: httpx.AsyncBaseTransport, idle_timeout_s: float) -> None:
        self.transport = transport
        self.idle_timeout_s = idle_timeout_s
        self._num_in_use = 0
        self._is_retired = False

    @asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncBaseTransport]:
        self._num_in_use += 1
        try:
            yield self.transport
        finally:
            self._num_in_use -= 1
            await self._close_if_done()

    async def retire(self) -> None:
        self._is_retired = True
        await self._close_if_done()

    async def _close_if_done(self) -> None:
        if self._is_retired and self._num_in_use == 0:
            with anyio.CancelScope(shield=True):
                await self.transport.aclose()


class KeptConnections:
    """The connections to one server.

    Args:
        make_transport: Creates the transport that owns the connections.
    """

    def __init__(self, make_transport: MakeTransport) -> None:
        self._make_transport = make_transport
        self._pool = self._new_pool(INITIAL_IDLE_TIMEOUT_S)

    def _new_pool(self, idle_timeout_s: float) -> _Pool:
        return _Pool(self._make_transport(idle_timeout_s), idle_timeout_s)

    @asynccontextmanager
    async def use(self) -> AsyncIterator[httpx.AsyncBaseTransport]:
        """Provide the current transport; a replaced transport is closed after its last use."""
        async with self._pool.use() as transport:
            yield transport

    async def observe_answer(self, response: httpx.Response) -> None:
        """Reduce the idle timeout if the answer states a shorter one."""
        server_timeout_s = _server_idle_timeout_s(response.headers.raw)
        if server_timeout_s is None:
            return
        idle_timeout_s = max(0.0, server_timeout_s - CLOSE_MARGIN_S)
        if idle_timeout_s <= self._pool.idle_timeout_s - MIN_REDUCTION_S:
            await self._replace_pool(idle_timeout_s)

    async def observe_failure(self, error: httpx.HTTPError) -> None:
        """Reduce the idle timeout after a reset, as the server may have dropped the connection."""
        was_reset = isinstance(error, httpx.ReadError | httpx.WriteError)
        idle_timeout_s = max(MIN_IDLE_TIMEOUT_S, RESET_REDUCTION_FACTOR * self._pool.idle_timeout_s)
        if was_reset and idle_timeout_s < self._pool.idle_timeout_s:
            await self._replace_pool(idle_timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.transport.aclose()

    async def _replace_pool(self, idle_timeout_s: float) -> None:
        retired, self._pool = self._pool, self._new_pool(idle_timeout_s)
        await retired.retire()


def _server_idle_timeout_s(raw: list[tuple[bytes, bytes]]) -> float | None:
    """Return how long the server keeps an idle connection; None if its answer does not state it."""
    header_value = next((value for name, value in raw if name.lower() == KEEP_ALIVE_HEADER), b"")
    for part in header_value.decode("latin-1").split(","):
        name, _, timeout = part.strip().lower().partition("=")
        if name == KEEP_ALIVE_TIMEOUT and timeout.isascii() and timeout.isdecimal():
            return float(timeout)
    return None
