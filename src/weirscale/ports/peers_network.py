"""The real network between nodes: casts as UDP datagrams, calls as HTTP POST.

UDP and TCP use the same port number, so one address identifies a node. hypercorn serves calls in
this process; httpx sends them.
"""

from collections.abc import AsyncIterator

import anyio
import anyio.lowlevel
import httpx
import msgspec
from anyio.abc import TaskStatus, UDPSocket
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from result import Err, Ok, Result

from weirscale.domain.identifiers import NodeAddress
from weirscale.ports.asgi import Receive, Scope, Send, answer_lifespan, read_body, send_whole
from weirscale.ports.http_client import shared_tls_context
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener
from weirscale.ports.peers import CallHandler, Datagram, PeerFailure

CALL_PATH = "/peer"
MAX_CALL_BYTES = 8 * 1024 * 1024
"""Maximum size of a call's request or reply: more than a whole configuration or cache digest."""

MAX_IDLE_CONNECTIONS = 8
"""Maximum number of idle connections to other nodes; calls are rare compared with casts."""

IDLE_CONNECTION_S = 15.0
LISTEN_BACKLOG = 256
STOP_GRACE_S = 0.5
"""Seconds in which calls in progress may end when the node stops."""

MAX_OUTBOX = 1024
"""Maximum number of datagrams that wait to be sent; more are dropped, as by a full socket
buffer."""

CONTENT_TYPE = "application/cbor"
CONTENT_HEADER = (b"content-type", CONTENT_TYPE.encode())


class _OutgoingDatagram(msgspec.Struct, frozen=True):
    destination: NodeAddress
    payload: bytes


class UdpHttpPeerNetwork:
    """Implements `PeerNetwork`; `run` must be started before use.

    Args:
        listen: Address to bind. If its host is a wildcard, other nodes need another address to
            send to.
    """

    def __init__(self, listen: NodeAddress) -> None:
        self._listen = listen
        self._handler: CallHandler | None = None
        self._socket: UDPSocket | None = None
        self._client: httpx.AsyncClient | None = None
        self._started = anyio.Event()
        streams = anyio.create_memory_object_stream[_OutgoingDatagram](MAX_OUTBOX)
        self._outbox: MemoryObjectSendStream[_OutgoingDatagram] = streams[0]
        self._outgoing: MemoryObjectReceiveStream[_OutgoingDatagram] = streams[1]

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Hold the sockets until cancelled; report the start once casts and calls can be sent."""
        limits = httpx.Limits(
            max_keepalive_connections=MAX_IDLE_CONNECTIONS, keepalive_expiry=IDLE_CONNECTION_S
        )
        udp_socket = await anyio.create_udp_socket(
            local_host=self._listen.host, local_port=self._listen.port
        )
        # Listen before reporting the start, so that no early call is refused.
        listener = open_listener(self._listen.host, self._listen.port)
        async with (
            udp_socket,
            httpx.AsyncClient(
                limits=limits, trust_env=False, verify=shared_tls_context()
            ) as client,
        ):
            self._socket = udp_socket
            self._client = client
            self._started.set()
            task_status.started()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_datagrams, udp_socket)
                await serve_asgi(self._application, listener, anyio.Event(), STOP_GRACE_S)

    async def cast(self, destination: NodeAddress, payload: bytes) -> None:
        """Queue one datagram for the sending task; it is dropped if the queue is full."""
        try:
            self._outbox.send_nowait(_OutgoingDatagram(destination, payload))
        except anyio.WouldBlock:
            await anyio.lowlevel.checkpoint()

    async def datagrams(self) -> AsyncIterator[Datagram]:
        """Iterate over received casts."""
        await self._started.wait()
        assert self._socket is not None
        while True:
            try:
                payload, (host, port) = await self._socket.receive()
            except (OSError, anyio.BrokenResourceError):
                # An ICMP error for an earlier send; the socket remains usable.
                await anyio.lowlevel.checkpoint()
                continue
            except (anyio.ClosedResourceError, anyio.EndOfStream):
                return
            yield Datagram(NodeAddress(host, port), payload)

    async def call(
        self, destination: NodeAddress, payload: bytes, timeout_s: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and return its reply."""
        if self._client is None:
            return Err(PeerFailure("network not started", provably_not_sent=True))
        url = httpx.URL(scheme="http", host=destination.host, port=destination.port, path=CALL_PATH)
        headers = {"content-type": CONTENT_TYPE}
        try:
            with anyio.fail_after(timeout_s):
                response = await self._client.post(
                    url, content=payload, headers=headers, timeout=None
                )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Err(PeerFailure(f"no connection: {error}", provably_not_sent=True))
        except (httpx.HTTPError, OSError) as error:
            detail = str(error) or type(error).__name__
            return Err(PeerFailure(f"no answer: {detail}", provably_not_sent=False))
        if response.status_code != httpx.codes.OK:
            detail = f"HTTP status {response.status_code}"
            return Err(PeerFailure(detail, provably_not_sent=False))
        return Ok(response.content)

    def serve_calls(self, handler: CallHandler) -> None:
        """Set the handler of received calls."""
        self._handler = handler

    async def _send_datagrams(self, udp_socket: UDPSocket) -> None:
        """Send queued datagrams; a socket allows only one sender at a time."""
        while True:
            datagram = await self._outgoing.receive()
            destination = datagram.destination
            try:
                await udp_socket.sendto(datagram.payload, destination.host, destination.port)
            except (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError):
                # A datagram that cannot be sent counts as lost, as on the network.
                continue

    async def _application(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_CALL_BYTES)
        if scope["path"] != CALL_PATH or self._handler is None:
            await send_whole(send, 404, [CONTENT_HEADER], b"")
        elif body is None:
            await send_whole(send, 413, [CONTENT_HEADER], b"")
        else:
            await send_whole(send, 200, [CONTENT_HEADER], await self._handler(body))
