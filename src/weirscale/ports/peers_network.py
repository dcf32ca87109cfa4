"""The real network between nodes: casts as UDP datagrams, calls as HTTP POST.

UDP and TCP use the same port number, so one address names a node. Calls are served by hypercorn
in the process and sent by httpx.
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
"""Largest call body or reply: above a whole configuration or a cache digest."""

MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept to other nodes; calls are rare next to casts."""

IDLE_CONNECTION_S = 15.0
LISTEN_BACKLOG = 256
STOP_S = 0.5
"""Calls in progress may still end in this time when the node stops."""

MAX_OUTBOX = 1024
"""Datagrams that wait to be sent; more are dropped, as a full socket buffer would."""

CONTENT_TYPE = "application/cbor"
CONTENT_HEADER = (b"content-type", CONTENT_TYPE.encode())


class _Outgoing(msgspec.Struct, frozen=True):
    destination: NodeAddress
    payload: bytes


class UdpHttpPeerNetwork:
    """Implements `PeerNetwork`; `run` must be started before use.

    Args:
        listen: Address to bind; for wildcard hosts the others need another one to send to.
    """

    def __init__(self, listen: NodeAddress) -> None:
        self._listen = listen
        self._handler: CallHandler | None = None
        self._socket: UDPSocket | None = None
        self._client: httpx.AsyncClient | None = None
        self._started = anyio.Event()
        streams = anyio.create_memory_object_stream[_Outgoing](MAX_OUTBOX)
        self._outbox: MemoryObjectSendStream[_Outgoing] = streams[0]
        self._outgoing: MemoryObjectReceiveStream[_Outgoing] = streams[1]

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Hold the sockets until cancelled; `started` once casts and calls can be made."""
        limits = httpx.Limits(
            max_keepalive_connections=MAX_IDLE_CONNECTIONS, keepalive_expiry=IDLE_CONNECTION_S
        )
        udp_socket = await anyio.create_udp_socket(
            local_host=self._listen.host, local_port=self._listen.port
        )
        # Listening before `started`, so that no early call is refused.
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
                await serve_asgi(self._application, listener, anyio.Event(), STOP_S)

    async def cast(self, destination: NodeAddress, payload: bytes) -> None:
        """Leave one datagram for the sending task; a full outbox counts as a loss."""
        try:
            self._outbox.send_nowait(_Outgoing(destination, payload))
        except anyio.WouldBlock:
            await anyio.lowlevel.checkpoint()

    async def datagrams(self) -> AsyncIterator[Datagram]:
        """Iterate over arriving casts."""
        await self._started.wait()
        assert self._socket is not None
        while True:
            try:
                payload, (host, port) = await self._socket.receive()
            except (OSError, anyio.BrokenResourceError):
                # An ICMP error of an earlier send; the socket goes on.
                await anyio.lowlevel.checkpoint()
                continue
            except (anyio.ClosedResourceError, anyio.EndOfStream):
                return
            yield Datagram(NodeAddress(host, port), payload)

    async def call(
        self, destination: NodeAddress, payload: bytes, timeout_s: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and await its reply."""
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
        """Set the handler of arriving calls."""
        self._handler = handler

    async def _send_datagrams(self, udp_socket: UDPSocket) -> None:
        """Send what tasks leave: a socket allows one sender at a time."""
        while True:
            datagram = await self._outgoing.receive()
            destination = datagram.destination
            try:
                await udp_socket.sendto(datagram.payload, destination.host, destination.port)
            except (OSError, anyio.ClosedResourceError, anyio.BrokenResourceError):
                # A failure to send is a loss, as on the network.
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
