"""Serve stand-ins on loopback ports of this process."""

import socket

import anyio
from anyio.abc import TaskStatus

from weirscale.ports.asgi import AsgiApp, Receive, Scope, Send
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest request body that a stand-in accepts."""
GRACEFUL_TIMEOUT_S = 3.0
"""Bounds the closing of connections; open requests are aborted at once when a stand-in stops."""


async def serve_on_loopback(
    app: AsgiApp, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Serve an app on a free port until cancelled.

    Args:
        app: The app.
        task_status: Receives host:port once the port is listening.
    """
    listener = open_listener(LOOPBACK, 0)
    task_status.started(f"{LOOPBACK}:{port_of(listener)}")
    await serve_listener(app, listener, anyio.Event())


async def serve_listener(app: AsgiApp, listener: socket.socket, stop: anyio.Event) -> None:
    """Serve an app on a listener until `stop` is set or the task is cancelled.

    Both abort the open requests. The listener is closed at the end.
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
    """Forwards requests to an app and can abort all open requests."""

    def __init__(self, app: AsgiApp) -> None:
        self._app = app
        self._open: set[anyio.CancelScope] = set()
        self._is_interrupted = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request unless it is aborted first."""
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
        """Abort every open and every later request; the server then closes the connections."""
        self._is_interrupted = True
        for cancel_scope in list(self._open):
            cancel_scope.cancel()
