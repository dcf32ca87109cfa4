"""A transport of httpx that keeps connections to one server.

httpx's own transport serves any number of servers and protocols. It enters a cancel scope for each
read, passes each part of a body through five iterators and looks at every unused connection for
each request; on a node that relays streams this was a third of the processor time
(docs/CAPACITY.md, "Processor time of a node"). Here are h11, which that transport rests on too, and
anyio's sockets, and nothing between them and httpx's requests and answers.
"""

from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable

import anyio
import httpx
from anyio.abc import SocketStream

from weirscale.ports.h11_connection import H11Connection, raw_socket
from weirscale.ports.running_timeout import run_within

SocketOption = tuple[int, int, int]
"""Level, name and value, as `socket.setsockopt` takes them."""


class H11Transport(httpx.AsyncBaseTransport):
    """Sends requests to one server; requests name it in their URL.

    The time-outs `connect` and `pool` of a request's extensions must be there. `read` and `write`
    may be None: then whoever waits bounds the time, which saves a cancel scope for each part of an
    answer.

    Args:
        max_connections: Most connections in use at once.
        keepalive_s: How long an unused connection is kept.
        socket_options: Set on each connection.
        clock: Monotonic seconds, for how long a connection has been unused.
    """

    def __init__(
        self,
        max_connections: int,
        keepalive_s: float,
        socket_options: Iterable[SocketOption] = (),
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self._clock = clock
        self._keepalive_s = keepalive_s
        self._socket_options = tuple(socket_options)
        self._places = anyio.Semaphore(max_connections, fast_acquire=True)
        self._unused: deque[H11Connection] = deque()
        """The one used last stands at the end."""
        self._used: set[H11Connection] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the head of its answer.

        Raises:
            httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout: Nothing was sent.
            httpx.HTTPError: It may have been sent.
        """
        timeouts = request.extensions["timeout"]
        await self._take_place(timeouts["pool"])
        try:
            connection = await self._connection(request.url, timeouts["connect"])
        except BaseException:
            self._places.release()
            raise
        self._used.add(connection)
        try:
            await connection.send(request, timeouts["write"])
            head = await connection.read_head(timeouts["read"])
        except BaseException:
            await self._discard(connection)
            raise
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=_Body(self, connection, timeouts["read"]),
        )

    async def _take_place(self, timeout_s: float) -> None:
        try:
            self._places.acquire_nowait()
        except anyio.WouldBlock:
            try:
                await run_within(timeout_s, self._places.acquire)
            except TimeoutError as error:
                raise httpx.PoolTimeout("all connections are in use") from error

    async def _connection(self, url: httpx.URL, timeout_s: float) -> H11Connection:
        """Return an unused connection that still stands, or a new one."""
        await self._close_expired()
        while self._unused:
            connection = self._unused.pop()
            if not connection.has_input():
                return connection
            await connection.close()
        return await self._connect(url, timeout_s)

    async def _close_expired(self) -> None:
        since_s = self._clock() - self._keepalive_s
        while self._unused and self._unused[0].unused_since_s <= since_s:
            await self._unused.popleft().close()

    async def _connect(self, url: httpx.URL, timeout_s: float) -> H11Connection:
        async def connect() -> SocketStream:
            return await anyio.connect_tcp(url.host, url.port or 80)

        try:
            stream = await run_within(timeout_s, connect)
        except TimeoutError as error:
            raise httpx.ConnectTimeout("no connection in time") from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error
        try:
            return self._prepared(stream)
        except OSError as error:
            await anyio.aclose_forcefully(stream)
            raise httpx.ConnectError(str(error)) from error

    def _prepared(self, stream: SocketStream) -> H11Connection:
        raw = raw_socket(stream)
        for option in self._socket_options:
            raw.setsockopt(*option)
        return H11Connection(stream)

    async def leave(self, connection: H11Connection) -> None:
        """Take back a connection whose answer has been read, or is not wanted any more."""
        if connection not in self._used:
            return
        if connection.begin_anew(self._clock()):
            self._used.discard(connection)
            self._unused.append(connection)
            self._places.release()
        else:
            await self._discard(connection)

    async def _discard(self, connection: H11Connection) -> None:
        """Close a connection that is in use."""
        self._used.discard(connection)
        self._places.release()
        await connection.close()

    async def aclose(self) -> None:
        """Close all connections, those in use too."""
        connections = [*self._unused, *self._used]
        self._unused.clear()
        for connection in connections:
            await connection.close()


class _Body(httpx.AsyncByteStream):
    """The body of an answer as it comes; its connection is given back at the end.

    Args:
        transport: Owns the connection.
        connection: Carries the answer.
        timeout_s: How long each part may take; None for as long as the caller waits.
    """

    def __init__(
        self, transport: H11Transport, connection: H11Connection, timeout_s: float | None
    ) -> None:
        self._transport = transport
        self._connection = connection
        self._timeout_s = timeout_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while True:
            part = await self._connection.read_body(self._timeout_s)
            if part is None:
                await self._transport.leave(self._connection)
                return
            yield part

    async def aclose(self) -> None:
        """Give the connection back; one whose answer has not ended is closed."""
        await self._transport.leave(self._connection)
