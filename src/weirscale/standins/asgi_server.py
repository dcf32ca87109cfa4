"""Small helpers to answer ASGI requests and to serve apps on loopback ports in this process."""

import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import anyio.lowlevel
import msgspec

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024
LISTEN_BACKLOG = 1024
KEEP_ALIVE_S = 75.0
"""Above any client's own limit, so that the client closes idle connections."""

GRACEFUL_TIMEOUT_S = 3.0
"""Open requests are cut at once when a stand-in stops; this bounds the closing of connections."""

NO_CONTENT = 204
JSON_HEADERS = ((b"content-type", b"application/json"),)


async def read_body(receive: Receive) -> bytes | None:
    """Read a request's whole body; None if the caller left or sent too much."""
    parts: list[bytes] = []
    num_bytes = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        part = message.get("body", b"")
        num_bytes += len(part)
        if num_bytes > MAX_BODY_BYTES:
            return None
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def start_response(
    send: Send, status: int, headers: Iterable[tuple[bytes, bytes]] = ()
) -> None:
    """Send status and headers."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def send_part(send: Send, body: bytes, *, is_last: bool = False) -> None:
    """Send a part of the body."""
    await send({"type": "http.response.body", "body": body, "more_body": not is_last})


async def send_json(send: Send, status: int, value: object) -> None:
    """Send a whole JSON answer."""
    await start_response(send, status, JSON_HEADERS)
    await send_part(send, msgspec.json.encode(value), is_last=True)


def headers_of(scope: Scope) -> dict[str, str]:
    """Return a request's headers by lower-case name."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge start and stop of the server."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def open_listener(port: int = 0) -> socket.socket:
    """Bind a loopback port (0: any free one) and listen, so that its number is known at once."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a listener is bound to."""
    port: int = listener.getsockname()[1]
    return port


async def serve_listener(app: AsgiApp, listener: socket.socket, stop: anyio.Event) -> None:
    """Serve an app on a listener, which is closed at the end, until `stop` or cancellation.

    hypercorn does not clean up when it is cancelled: it runs shielded, and cancellation becomes
    a stop in which open requests are cut.
    """
    from hypercorn.asyncio import serve
    from hypercorn.config import Config

    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    interruptible = InterruptibleApp(app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_interrupt_at_stop, interruptible, stop)
        with anyio.CancelScope(shield=True):
            await serve(interruptible, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]


async def _interrupt_at_stop(app: "InterruptibleApp", stop: anyio.Event) -> None:
    try:
        await stop.wait()
    finally:
        app.interrupt()
        stop.set()


class InterruptibleApp:
    """Passes requests on to an app and can cut all that are open."""

    def __init__(self, app: AsgiApp) -> None:
        self._app = app
        self._open: set[anyio.CancelScope] = set()
        self._is_interrupted = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, until it is cut."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        if self._is_interrupted:
            return
        with anyio.CancelScope() as cancel_scope:
            self._open.add(cancel_scope)
            try:
                await self._app(scope, receive, send)
            finally:
                self._open.discard(cancel_scope)

    def interrupt(self) -> None:
        """Cut every open request and each that still comes: the server closes its connection."""
        self._is_interrupted = True
        for cancel_scope in list(self._open):
            cancel_scope.cancel()


class OutageServer:
    """Serves an app on one port that refuses connections while an outage lasts.

    `is_reachable` is read after each call of `notify`: the listener is closed while it is False
    and opened again, on the same port, when it is True.
    """

    def __init__(self, app: AsgiApp, is_reachable: Callable[[], bool], port: int = 0) -> None:
        self._app = app
        self._is_reachable = is_reachable
        self._listener: socket.socket | None = open_listener(port)
        self.port = port_of(self._listener)
        self._changed = anyio.Event()

    @property
    def address(self) -> str:
        """host:port."""
        return f"{LOOPBACK}:{self.port}"

    def notify(self) -> None:
        """Have `is_reachable` read again."""
        self._changed.set()

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            # Serving turns cancellation into a stop; only a checkpoint here ends the loop then.
            await anyio.lowlevel.checkpoint()
            if self._is_reachable():
                await self._serve_until_outage()
            else:
                self._close_listener()
                await self._wait_for_change()

    async def _serve_until_outage(self) -> None:
        listener = self._listener or open_listener(self.port)
        self._listener = None
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_at_outage, stop)
            await serve_listener(self._app, listener, stop)
            tasks.cancel_scope.cancel()

    async def _stop_at_outage(self, stop: anyio.Event) -> None:
        while self._is_reachable():
            await self._wait_for_change()
        stop.set()

    async def _wait_for_change(self) -> None:
        await self._changed.wait()
        self._changed = anyio.Event()

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
