"""An HTTP exchange between a caller and a node of a virtual fleet, without sockets.

The node's side has the interface that an ASGI server offers to its application, with
back-pressure: `send` returns when the caller has received the message. Whole requests can thus
run in virtual time.
"""

from collections.abc import Callable
from typing import Any, Protocol

import anyio
import msgspec
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

Message = dict[str, Any]


class HttpRequest(msgspec.Struct, frozen=True):
    """A request as a caller sends it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Pairs of a header name in lower case and its value.
        body: The whole body.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallerExchange(Protocol):
    """The caller's side of an exchange, in memory or on a socket.

    Attributes:
        was_connected: Whether a connection was established; valid after the first `next_message`.
    """

    was_connected: bool

    async def next_message(self) -> Message | None:
        """Return the node's next ASGI message; None when the connection is closed."""
        ...

    async def disconnect(self) -> None:
        """Close the connection from the caller's side."""
        ...


Connect = Callable[[HttpRequest], CallerExchange | None]
"""Opens an exchange; returns None if the connection is refused immediately."""


class Exchange:
    """An in-memory exchange: both the `CallerExchange` and the node's side."""

    was_connected = True

    def __init__(self, request: HttpRequest) -> None:
        streams = anyio.create_memory_object_stream[Message](0)
        self._send: MemoryObjectSendStream[Message] = streams[0]
        self._receive: MemoryObjectReceiveStream[Message] = streams[1]
        self._request = request
        self._is_body_read = False
        self._disconnected = anyio.Event()

    async def next_message(self) -> Message | None:
        """Return the node's next ASGI message; None when the connection is closed."""
        try:
            return await self._receive.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            return None

    async def disconnect(self) -> None:
        """Close the connection from the caller's side."""
        self._disconnected.set()
        self._receive.close()

    def break_off(self) -> None:
        """Close the connection from the node's side."""
        self._send.close()

    def scope(self) -> Message:
        """Return the ASGI scope."""
        request = self._request
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "scheme": "http",
            "method": request.method,
            "path": request.path,
            "raw_path": request.path.encode(),
            "query_string": request.query.encode(),
            "headers": [(name.encode(), value.encode()) for name, value in request.headers],
        }

    async def receive(self) -> Message:
        """Return the request body, then wait for the caller to disconnect and report that."""
        if not self._is_body_read:
            self._is_body_read = True
            return {"type": "http.request", "body": self._request.body, "more_body": False}
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Message) -> None:
        """Pass a message of the application to the caller; drop it if the connection is closed."""
        try:
            await self._send.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
