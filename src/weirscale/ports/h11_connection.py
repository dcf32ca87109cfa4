"""One HTTP/1.1 client connection, built on h11 and an anyio socket; raises errors of httpx."""

import select
import socket

import anyio
import h11
import httpx
from anyio.abc import ByteStream, SocketAttribute

from weirscale.ports.running_timeout import run_within

READ_BYTES = 64 * 1024
"""Maximum bytes of one read; also the maximum size of an answer's head."""

MAX_BYTES_BEFORE_HEAD = 2 * READ_BYTES
"""Maximum bytes that are read before an answer's head is complete, informational answers included:
these may be followed by any number of others, and by none that ends the call."""

MAX_STATUS = 599
"""The highest status of HTTP (RFC 9110, section 15). h11 accepts 600 to 999 too, none below 100."""


class H11Connection:
    """Sends requests and reads their answers, one exchange after another.

    Args:
        stream: The connection.
        generation: Generation of the source when the connection was opened.

    Raises:
        ConnectionResetError: The server has already reset the connection.
    """

    def __init__(self, stream: ByteStream, generation: int = 0) -> None:
        self._stream = stream
        self.generation = generation
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)
        self._poller = _poller(raw_socket(stream))
        self._has_body_ended = False
        self._num_bytes_before_head = 0
        self.idle_since_s = 0.0

    async def send(self, request: httpx.Request, timeout_s: float | None) -> None:
        """Send a whole request in one write.

        Args:
            request: The request; its body is in memory.
            timeout_s: How long writing the request may take; None for no limit.

        Raises:
            httpx.LocalProtocolError: The request cannot be encoded; nothing was sent.
            httpx.WriteTimeout: The request could not be written in time.
        """
        data = self._encode(request)
        self._num_bytes_before_head = 0
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.send(data)
        except TimeoutError as error:
            raise httpx.WriteTimeout("the request could not be written in time") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            # The server may have answered before it closed the connection. Reading the answer
            # raises an error if it has not.
            return

    def _encode(self, request: httpx.Request) -> bytes:
        target = request.extensions.get("target", request.url.raw_path)
        try:
            head = h11.Request(method=request.method, target=target, headers=request.headers.raw)
            parts = [self._state.send(head)]
            if request.content:
                parts.append(self._state.send(h11.Data(data=request.content)))
            parts.append(self._state.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            raise httpx.LocalProtocolError(str(error)) from error
        return b"".join(part for part in parts if part)

    async def read_head(self, timeout_s: float | None) -> h11.Response:
        """Read the head of the answer.

        Args:
            timeout_s: How long reading the head may take; None for no limit.

        Raises:
            httpx.ReadTimeout: The head did not arrive in time.
            httpx.ReadError: The connection broke.
            httpx.RemoteProtocolError: The server sent no valid answer, or closed the connection
                without one.
        """
        try:
            return await run_within(timeout_s, self._read_head)
        except TimeoutError as error:
            raise httpx.ReadTimeout("no answer arrived in time") from error

    async def _read_head(self) -> h11.Response:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise httpx.RemoteProtocolError(f"{event.status_code} is no HTTP status")
                self._has_body_ended = False
                return event
            if event is h11.NEED_DATA:
                self._num_bytes_before_head += await self._read_more()
                if self._num_bytes_before_head > MAX_BYTES_BEFORE_HEAD:
                    raise httpx.RemoteProtocolError("the head of the answer does not end")
            elif not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError("the connection ended without an answer")

    async def read_body(self, timeout_s: float | None) -> bytes | None:
        """Read the next part of the body; return None once the body has ended.

        Args:
            timeout_s: How long reading the part may take; None for no limit.

        Raises:
            httpx.HTTPError: As in `read_head`.
        """
        while True:
            part = self._read_buffered_body()
            if part or self._has_body_ended:
                return part or None
            await self._read_in_time(timeout_s)

    def _read_buffered_body(self) -> bytes:
        """Return the part of the body that was received but not returned yet."""
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
            # A cancel scope for each part of a stream would cost more than reading the part.
            await self._read_more()
            return
        try:
            await run_within(timeout_s, self._read_more)
        except TimeoutError as error:
            raise httpx.ReadTimeout("no further part of the answer arrived in time") from error

    async def _read_more(self) -> int:
        """Read more bytes, and return how many."""
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise httpx.ReadError(str(error)) from error
        self._state.receive_data(data)
        return len(data)

    def prepare_for_reuse(self, now_s: float) -> bool:
        """Prepare for the next exchange; return False if the connection must not be reused.

        Surplus bytes after a complete answer belong to no request, so such a connection is not
        reused.
        """
        state = self._state
        surplus, _ = state.trailing_data
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE or surplus:
            return False
        state.start_next_cycle()
        self.idle_since_s = now_s
        return True

    def has_pending_input(self) -> bool:
        """Return whether the server closed the idle connection or sent anything on it."""
        return bool(self._poller.poll(0))

    async def close(self) -> None:
        """Close the connection, even while the caller is being cancelled."""
        with anyio.CancelScope(shield=True):
            await self._stream.aclose()


def raw_socket(stream: ByteStream) -> socket.socket:
    """Return the socket of a stream.

    A server may reset a connection while it is being opened. The event loop has then released the
    socket, and anyio raises AttributeError as it asks None for the peer's name. Unhandled, that
    error ended the whole process.

    Raises:
        ConnectionResetError: The stream no longer has a socket.
    """
    try:
        return stream.extra(SocketAttribute.raw_socket)
    except AttributeError as error:
        raise ConnectionResetError("the connection was reset while it was opened") from error


def _poller(raw: socket.socket) -> select.poll:
    poller = select.poll()
    poller.register(raw.fileno(), select.POLLIN)
    return poller
