"""An httpx transport with a connection pool for one server.

httpx's own transport supports any number of servers and protocols. It enters a cancel scope for
each read, passes each part of a body through five iterators, and checks every idle connection for
each request. On a node that relays streams this took a third of the processor time
(docs/CAPACITY.md, "Processor time of a node"). This transport uses h11, as httpx's own does,
directly on anyio's sockets.
"""

from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Protocol

import anyio
import httpx
from anyio.abc import ByteStream

from weirscale.ports.h11_connection import H11Connection, raw_socket
from weirscale.ports.running_timeout import SUSPENSION_THRESHOLD_S, run_within

SocketOption = tuple[int, int, int]
"""Level, name and value: the arguments of `socket.setsockopt`."""


CONNECTION_EXTENSION = "connection"
"""Extension of a response: the connection on which it arrived, for comparison only."""

BODY_TIMEOUT_EXTENSION = "body_timeout"
"""Extension of a request: how long reading the whole body of its answer may take, in seconds."""


class ConnectionSource(Protocol):
    """Opens the connections of a transport."""

    async def open(self, host: str, port: int) -> ByteStream:
        """Open a connection.

        Raises:
            OSError: The connection could not be opened.
        """
        ...

    def generation(self) -> int:
        """Return a number that changes when idle connections must not be used any more."""
        ...


class TcpSource:
    """Opens TCP connections."""

    async def open(self, host: str, port: int) -> ByteStream:
        """Open a connection."""
        return await anyio.connect_tcp(host, port)

    def generation(self) -> int:
        """Return the same number always."""
        return 0


TCP_SOURCE = TcpSource()


class H11Transport(httpx.AsyncBaseTransport):
    """Sends requests to one server; the URL of each request must name that server.

    A request's extensions must contain the timeouts `connect` and `pool`. `read` and `write` may be
    None: the caller must then limit the time, which saves a cancel scope for each part of an
    answer. Otherwise `read` limits the head and each part of the body, and the extension
    `BODY_TIMEOUT_EXTENSION`, if there is one, the whole body.

    Args:
        max_connections: Maximum number of connections in use at once.
        keepalive_s: How long an idle connection is kept, in seconds.
        socket_options: Socket options to set on each connection.
        clock: Monotonic clock in seconds; measures how long a connection has been idle.
        source: Opens the connections.
    """

    def __init__(
        self,
        max_connections: int,
        keepalive_s: float,
        socket_options: Iterable[SocketOption] = (),
        clock: Callable[[], float] = anyio.current_time,
        source: ConnectionSource = TCP_SOURCE,
    ) -> None:
        self._clock = clock
        self._source = source
        self._keepalive_s = keepalive_s
        self._socket_options = tuple(socket_options)
        self._connection_slots = anyio.Semaphore(max_connections, fast_acquire=True)
        self._idle: deque[H11Connection] = deque()
        """Idle connections, the most recently used last."""
        self._in_use: set[H11Connection] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the head of its answer.

        Raises:
            httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout: Nothing was sent.
            httpx.HTTPError: The request may have been sent.
        """
        timeouts = request.extensions["timeout"]
        body_timeout_s = request.extensions.get(BODY_TIMEOUT_EXTENSION)
        await self._acquire_slot(timeouts["pool"])
        try:
            connection = await self._acquire_connection(request.url, timeouts["connect"])
        except BaseException:
            self._connection_slots.release()
            raise
        self._in_use.add(connection)
        try:
            await connection.send(request, timeouts["write"])
            head = await connection.read_head(timeouts["read"])
        except BaseException:
            await self._discard(connection)
            raise
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=_Body(self, connection, timeouts["read"], body_timeout_s),
            extensions={CONNECTION_EXTENSION: connection},
        )

    async def _acquire_slot(self, timeout_s: float) -> None:
        try:
            self._connection_slots.acquire_nowait()
        except anyio.WouldBlock:
            try:
                await run_within(timeout_s, self._connection_slots.acquire)
            except TimeoutError as error:
                raise httpx.PoolTimeout("all connections are in use") from error

    async def _acquire_connection(self, url: httpx.URL, timeout_s: float) -> H11Connection:
        """Return an idle connection that is still open, or a new one."""
        await self._close_expired()
        while self._idle:
            connection = self._idle.pop()
            is_current = connection.generation == self._source.generation()
            if is_current and not connection.has_pending_input():
                return connection
            await connection.close()
        return await self._connect(url, timeout_s)

    async def _close_expired(self) -> None:
        idle_cutoff_s = self._clock() - self._keepalive_s
        while self._idle and self._idle[0].idle_since_s <= idle_cutoff_s:
            await self._idle.popleft().close()

    async def _connect(self, url: httpx.URL, timeout_s: float) -> H11Connection:
        async def connect() -> ByteStream:
            return await self._source.open(url.host, url.port or 80)

        try:
            stream = await run_within(timeout_s, connect)
        except TimeoutError as error:
            raise httpx.ConnectTimeout("no connection could be opened in time") from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error
        try:
            return self._configure(stream)
        except OSError as error:
            await anyio.aclose_forcefully(stream)
            raise httpx.ConnectError(str(error)) from error

    def _configure(self, stream: ByteStream) -> H11Connection:
        raw = raw_socket(stream)
        for option in self._socket_options:
            raw.setsockopt(*option)
        return H11Connection(stream, self._source.generation())

    async def return_connection(self, connection: H11Connection) -> None:
        """Take back a connection whose answer has been read or abandoned; once for each answer."""
        if connection.prepare_for_reuse(self._clock()):
            self._in_use.discard(connection)
            self._idle.append(connection)
            self._connection_slots.release()
        else:
            await self._discard(connection)

    async def _discard(self, connection: H11Connection) -> None:
        """Close a connection that is in use."""
        self._in_use.discard(connection)
        self._connection_slots.release()
        await connection.close()

    async def aclose(self) -> None:
        """Close all connections, including those in use."""
        connections = [*self._idle, *self._in_use]
        self._idle.clear()
        for connection in connections:
            await connection.close()


class _Body(httpx.AsyncByteStream):
    """Stream of an answer's body; returns its connection to the transport once, at the end.

    The transport may give a returned connection to another request at once, so from then on this
    body neither reads from it nor returns it again.

    Args:
        transport: Owner of the connection.
        connection: The connection on which the answer arrives.
        timeout_s: How long reading each part may take; None for no limit.
        total_s: How long reading all parts may take; None for no limit.
    """

    def __init__(
        self,
        transport: H11Transport,
        connection: H11Connection,
        timeout_s: float | None,
        total_s: float | None,
    ) -> None:
        self._transport = transport
        self._connection = connection
        self._timeout_s = timeout_s
        self._left_s = total_s
        self._is_returned = False

    async def _return_connection(self) -> None:
        if not self._is_returned:
            self._is_returned = True
            await self._transport.return_connection(self._connection)

    async def _read_part(self) -> bytes | None:
        """Read the next part within the time that is left for the body.

        Raises:
            httpx.ReadTimeout: The time is over.
        """
        if self._left_s is None or self._timeout_s is None:
            return await self._connection.read_body(self._timeout_s)
        if self._left_s <= 0.0:
            raise httpx.ReadTimeout("the answer did not end in time")
        began_s = anyio.current_time()
        timeout_s = min(self._timeout_s, self._left_s)
        part = await self._connection.read_body(timeout_s)
        took_s = anyio.current_time() - began_s
        if took_s < timeout_s + SUSPENSION_THRESHOLD_S:
            # The time in which this process was suspended does not count.
            self._left_s -= took_s
        return part

    async def __aiter__(self) -> AsyncIterator[bytes]:
        while not self._is_returned:
            part = await self._read_part()
            if part is None:
                await self._return_connection()
                return
            yield part

    async def aclose(self) -> None:
        """Return the connection to the transport, which closes it if the answer has not ended."""
        await self._return_connection()
