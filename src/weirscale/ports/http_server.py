"""Serves an ASGI application with hypercorn inside this process.

hypercorn's in-process API is used: its own command starts worker processes.
"""

import socket

import anyio

from weirscale.ports.asgi import AsgiApp

LISTEN_BACKLOG = 1024
KEEP_ALIVE_S = 75.0
"""Longer than clients keep idle connections, so that the client closes them."""


def open_listener(host: str, port: int) -> socket.socket:
    """Bind a TCP port (0: any free one) and listen, so that its number is known at once.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a listener is bound to."""
    port: int = listener.getsockname()[1]
    return port


async def serve_asgi(
    app: AsgiApp, listener: socket.socket, stop: anyio.Event, finish_timeout_s: float
) -> None:
    """Serve until `stop` is set or the task is cancelled; the listener is closed at the end.

    hypercorn does not clean up when it is cancelled, so it runs shielded, and cancellation becomes
    a stop.

    Args:
        app: The application.
        listener: A listening socket; owned by the server from here on.
        stop: Ends the serving.
        finish_timeout_s: How long open requests and connections may go on after the stop.
    """
    from hypercorn.asyncio import serve
    from hypercorn.config import Config

    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = finish_timeout_s
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_when_cancelled, stop)
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=stop.wait)


async def _stop_when_cancelled(stop: anyio.Event) -> None:
    try:
        await stop.wait()
    finally:
        stop.set()
