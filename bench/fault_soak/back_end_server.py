"""Serves a back end's stand-in on a real socket, with answers of every framing.

An answer has a length, comes in chunks, or has neither and ends with its connection. A body that
raises an error is cut short: the connection is reset if nothing else marks the body's end.
"""

import contextlib
import enum
import socket
import struct
import zlib
from collections.abc import Callable

import anyio
import h11
import httpx
from anyio.abc import SocketAttribute, SocketStream

from bench.fault_soak.served_stand_in import StandIn
from features.support.platform_runner import UNENDING
from features.support.platform_words import REQUEST_ID_HEADER

READ_BYTES = 64 * 1024
NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""

NUM_MISSING_BYTES = 1
"""By how much a body that is cut short is shorter than its stated length."""

BROKEN_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


BodySentHandler = Callable[[str, Framing], None]
"""Called with a request's id and the framing once the end of its body was sent."""


class BackEndServer:
    """A server for a back end's stand-in at one address.

    Args:
        stand_in: Answers the requests.
        host: Address to listen at.
        port: Port to listen at.
        on_body_sent: Called for each request whose answer's body was sent to its end.
    """

    def __init__(
        self, stand_in: StandIn, host: str, port: int, on_body_sent: BodySentHandler
    ) -> None:
        self._stand_in = stand_in
        self._host = host
        self._port = port
        self._on_body_sent = on_body_sent
        self._scope = anyio.CancelScope()
        self._ended = anyio.Event()

    async def run(self) -> None:
        """Serve until `shut_down` is called or the task is cancelled."""
        try:
            with self._scope:
                listener = await anyio.create_tcp_listener(
                    local_host=self._host, local_port=self._port, reuse_port=False
                )
                async with listener:
                    await listener.serve(self._serve)
        finally:
            self._ended.set()

    async def shut_down(self) -> None:
        """Close the listener and all connections at once, as the end of a process does."""
        self._scope.cancel()
        await self._ended.wait()

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            state = h11.Connection(h11.SERVER)
            try:
                while await self._serve_request(stream, state):
                    state.start_next_cycle()
            except (*BROKEN_ERRORS, h11.RemoteProtocolError):
                return  # The node has closed the connection.

    async def _serve_request(self, stream: SocketStream, state: h11.Connection) -> bool:
        """Answer the next request; return whether another one may follow."""
        request = await _read_request(stream, state)
        if request is None:
            return False
        may_continue = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_at_end, stream, state, tasks.cancel_scope)
            with contextlib.suppress(*BROKEN_ERRORS):
                may_continue = await self._answer(stream, state, request)
            tasks.cancel_scope.cancel()
        return may_continue

    async def _answer(
        self, stream: SocketStream, state: h11.Connection, request: httpx.Request
    ) -> bool:
        try:
            response = await self._stand_in.handle(request)
        except httpx.TransportError:
            # The connection stays open without an answer.
            await anyio.sleep_forever()
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        framing = _choose_framing(request_id, response)
        send = {
            Framing.LENGTH: _send_with_length,
            Framing.CHUNKS: _send_in_chunks,
            Framing.CONNECTION: _send_unframed,
        }[framing]
        is_sent = await send(stream, state, response)
        if is_sent and request_id:
            self._on_body_sent(request_id, framing)
        return is_sent and framing is not Framing.CONNECTION


def _choose_framing(request_id: str, response: httpx.Response) -> Framing:
    """Return the framing of an answer; the same for each run of a request."""
    is_stream = "content-length" not in response.headers
    if not request_id:
        return Framing.LENGTH
    choice = zlib.crc32(request_id.encode()) % len(Framing)
    if UNENDING in response.extensions:
        return Framing.CHUNKS if choice == 0 else Framing.CONNECTION
    if choice == 0 or response.status_code >= httpx.codes.BAD_REQUEST:
        return Framing.CHUNKS if is_stream else Framing.LENGTH
    return Framing.CONNECTION if choice == 1 else Framing.CHUNKS


async def _read_request(stream: SocketStream, state: h11.Connection) -> httpx.Request | None:
    """Read a request; return None if the connection ends before it."""
    head: h11.Request | None = None
    body = b""
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            try:
                state.receive_data(await stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                return None
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _build_request(head, body)
        else:
            return None


def _build_request(head: h11.Request, body: bytes) -> httpx.Request:
    return httpx.Request(
        head.method.decode(),
        httpx.URL("http://back-end" + head.target.decode("latin-1")),
        headers=list(head.headers),
        content=body,
        extensions={"target": head.target},
    )


async def _cancel_at_end(
    stream: SocketStream, state: h11.Connection, scope: anyio.CancelScope
) -> None:
    """Cancel the answer once the node closes its connection."""
    try:
        while True:
            state.receive_data(await stream.receive(READ_BYTES))
    except BROKEN_ERRORS:
        scope.cancel()


def _head(response: httpx.Response, *framing: tuple[bytes, bytes]) -> h11.Response:
    dropped = (b"content-length", b"transfer-encoding")
    kept = [(name, value) for name, value in response.headers.raw if name.lower() not in dropped]
    return h11.Response(status_code=response.status_code, headers=[*kept, *framing])


async def _send_event(stream: SocketStream, state: h11.Connection, event: h11.Event) -> None:
    data = state.send(event)
    if data:
        await stream.send(data)


async def _send_with_length(
    stream: SocketStream, state: h11.Connection, response: httpx.Response
) -> bool:
    """Send the whole body with its length; one that is cut short misses its last byte."""
    body, num_missing = b"", 0
    try:
        async for part in _parts(response):
            body += part
    except httpx.TransportError:
        num_missing = NUM_MISSING_BYTES
    length = str(len(body) + num_missing).encode()
    await _send_event(stream, state, _head(response, (b"content-length", length)))
    await _send_event(stream, state, h11.Data(data=body))
    return await _send_end(stream, state, is_whole=num_missing == 0)


async def _send_end(stream: SocketStream, state: h11.Connection, is_whole: bool) -> bool:
    """Send the end of a body that is whole; return whether it is."""
    if is_whole:
        await _send_event(stream, state, h11.EndOfMessage())
    return is_whole


async def _send_in_chunks(
    stream: SocketStream, state: h11.Connection, response: httpx.Response
) -> bool:
    """Send the body in chunks; one that is cut short has no last chunk."""
    await _send_event(stream, state, _head(response, (b"transfer-encoding", b"chunked")))
    is_whole = True
    try:
        async for part in _parts(response):
            await _send_event(stream, state, h11.Data(data=part))
    except httpx.TransportError:
        is_whole = False
    return await _send_end(stream, state, is_whole)


async def _send_unframed(
    stream: SocketStream, _state: h11.Connection, response: httpx.Response
) -> bool:
    """Send the body and close the connection; reset it if the body is cut short."""
    lines = [b"HTTP/1.1 %d %s" % (response.status_code, response.reason_phrase.encode())]
    head = _head(response)
    lines += [name + b": " + value for name, value in head.headers.raw_items()]
    await stream.send(b"\r\n".join([*lines, b"Connection: close", b"", b""]))
    try:
        async for part in _parts(response):
            await stream.send(part)
    except httpx.TransportError:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        await anyio.aclose_forcefully(stream)
        return False
    return True


def _parts(response: httpx.Response) -> httpx.AsyncByteStream:
    """Return the body's parts: reading them through the response would wrap its errors."""
    assert isinstance(response.stream, httpx.AsyncByteStream)
    return response.stream
