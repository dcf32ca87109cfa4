"""One HTTP exchange between a caller and a node of a virtual fleet, without sockets.

The node's side is what an ASGI server offers its application, with back-pressure: `send` returns
when the caller has taken the message. So whole callers' paths run in virtual time.
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
        query: Query without the question mark.
        headers: Header names in lower case, and values.
        body: The whole body.
    """

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallerExchange(Protocol):
    """The caller's side of one exchange, in memory or on a socket.

    Attributes:
        was_connected: Whether a connection was made; known after the first message.
    """

    was_connected: bool

    async def next_message(self) -> Message | None:
        """Return the node's next ASGI message; None when the connection is closed."""
        ...

    async def disconnect(self) -> None:
        """Close the connection from the caller's side."""
        ...


Connect = Callable[[HttpRequest], CallerExchange | None]
"""Opens an exchange; None if the connection is refused at once."""


class Exchange:
    """An exchange in memory: a `CallerExchange`, and the node's side of it."""

    was_connected = True

    def __init__(self, request: HttpRequest) -> None:
        streams = anyio.create_memory_object_stream[Message](0)
        self._send: MemoryObjectSendStream[Message] = streams[0]
        self._receive: MemoryObjectReceiveStream[Message] = streams[1]
        self._request = request
        self._is_body_read = False
        self._has_left = anyio.Event()

    async def next_message(self) -> Message | None:
        """Return the node's next ASGI message; None when the connection is closed."""
        try:
            return await self._receive.receive()
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            return None

    async def disconnect(self) -> None:
        """Close the connection from the caller's side."""
        self._has_left.set()
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
        """Return the application's next message: the body, then the caller's leaving."""
        if not self._is_body_read:
            self._is_body_read = True
            return {"type": "http.request", "body": self._request.body, "more_body": False}
        await self._has_left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: Message) -> None:
        """Pass on a message of the application; ignored once the connection is closed."""
        try:
            await self._send.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
