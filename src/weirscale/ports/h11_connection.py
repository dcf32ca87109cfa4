"""One HTTP/1.1 connection to a server, on h11 and a socket of anyio's; errors are httpx's."""

import select
import socket

import anyio
import h11
import httpx
from anyio.abc import SocketAttribute, SocketStream

from weirscale.ports.running_timeout import run_within

READ_BYTES = 64 * 1024
"""Most bytes taken by one read; also the longest head of an answer."""


class H11Connection:
    """Carries one exchange after the other.

    Args:
        stream: The socket.

    Raises:
        ConnectionResetError: The server has reset the connection already.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
        self._poller = _poller(raw_socket(stream))
        self._has_body_ended = False
        self.unused_since_s = 0.0

    async def send(self, request: httpx.Request, timeout_s: float | None) -> None:
        """Send a whole request in one write.

        Args:
            request: The request; its body is in memory.
            timeout_s: How long the server may take to take it; None for as long as the caller
                waits.

        Raises:
            httpx.WriteTimeout: It was not taken in time.
        """
        data = self._encode(request)
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.send(data)
        except TimeoutError as error:
            raise httpx.WriteTimeout("the request was not taken in time") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # A server may answer before it closes. If it has not, reading the answer tells.
            return

    def _encode(self, request: httpx.Request) -> bytes:
        target = request.extensions.get("target", request.url.raw_path)
        head = h11.Request(method=request.method, target=target, headers=request.headers.raw)
        parts = [self._state.send(head)]
        if request.content:
            parts.append(self._state.send(h11.Data(data=request.content)))
        parts.append(self._state.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def read_head(self, timeout_s: float | None) -> h11.Response:
        """Wait for the head of the answer.

        Args:
            timeout_s: How long it may take; None for as long as the caller waits.

        Raises:
            httpx.ReadTimeout: It did not come in time.
            httpx.ReadError: The connection broke.
            httpx.RemoteProtocolError: What came, or the connection's end, is no answer.
        """
        try:
            return await run_within(timeout_s, self._read_head)
        except TimeoutError as error:
            raise httpx.ReadTimeout("no answer in time") from error

    async def _read_head(self) -> h11.Response:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                self._has_body_ended = False
                return event
            if event is h11.NEED_DATA:
                await self._read_more()
            elif not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError("the connection ended without an answer")

    async def read_body(self, timeout_s: float | None) -> bytes | None:
        """Wait for the next part of the body; None once it has ended.

        Args:
            timeout_s: How long the wait may take; None for as long as the caller waits.

        Raises:
            httpx.HTTPError: As for the head.
        """
        while True:
            part = self._take_body()
            if part or self._has_body_ended:
                return part or None
            await self._read_in_time(timeout_s)

    def _take_body(self) -> bytes:
        """Return what has arrived of the body and was not returned yet."""
        parts: list[bytes] = []
        while not self._has_body_ended:
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(event.data)
            elif event is h11.NEED_DATA:
                break
            else:
                self._has_body_ended = True
        return b"".join(parts)

    def _next_event(self) -> object:
        try:
            return self._state.next_event()
        except h11.RemoteProtocolError as error:
            raise httpx.RemoteProtocolError(str(error)) from error

    async def _read_in_time(self, timeout_s: float | None) -> None:
        if timeout_s is None:
            # A cancel scope for each part of a stream would cost more than the part.
            await self._read_more()
            return
        try:
            await run_within(timeout_s, self._read_more)
        except TimeoutError as error:
            raise httpx.ReadTimeout("no further part of the answer in time") from error

    async def _read_more(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise httpx.ReadError(str(error)) from error
        self._state.receive_data(data)

    def begin_anew(self, now_s: float) -> bool:
        """Make ready for the next exchange; False if the connection must not be used again.

        What a server sent beyond a whole answer belongs to no request.
        """
        state = self._state
        surplus, _ = state.trailing_data
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE or surplus:
            return False
        state.start_next_cycle()
        self.unused_since_s = now_s
        return True

    def has_input(self) -> bool:
        """Whether the server closed the connection, or sent anything, while it was unused."""
        return bool(self._poller.poll(0))

    async def close(self) -> None:
        """Close the connection, also while the caller is being cancelled."""
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()


def raw_socket(stream: SocketStream) -> socket.socket:
    """Return the socket under a stream.

    A server may reset a connection as it is made. The event loop has given its socket up then, and
    anyio asks None for the peer's name: unnoticed, that error ended the whole process.

    Raises:
        ConnectionResetError: There is none any more.
    """
    try:
        return stream.extra(SocketAttribute.raw_socket)
    except AttributeError as error:
        raise ConnectionResetError("reset as it was made") from error


def _poller(raw: socket.socket) -> select.poll:
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLIN)
    return poller
