"""Serves stand-ins on loopback ports in this process, with outages."""

import socket
from collections.abc import Callable

import anyio
import anyio.lowlevel

from weirscale.ports.asgi import AsgiApp, Receive, Scope, Send
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest request body that a stand-in takes."""
GRACEFUL_TIMEOUT_S = 3.0
"""Open requests are cut at once when a stand-in stops; this bounds the closing of connections."""


async def serve_listener(app: AsgiApp, listener: socket.socket, stop: anyio.Event) -> None:
    """Serve an app on a listener, which is closed at the end, until `stop` or cancellation.

    Either cuts the requests that are open.
    """
    interruptible = InterruptibleApp(app)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_interrupt_at_stop, interruptible, stop)
        await serve_asgi(interruptible, listener, stop, GRACEFUL_TIMEOUT_S)


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

    def __init__(self, app: AsgiApp, is_reachable: Callable[[], bool]) -> None:
        self._app = app
        self._is_reachable = is_reachable
        self._listener: socket.socket | None = open_listener(LOOPBACK, 0)
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
        listener = self._listener or open_listener(LOOPBACK, self.port)
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
