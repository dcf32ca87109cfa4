"""Serves the callers' ASGI application with hypercorn inside this process."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

LISTEN_BACKLOG = 1024
KEEP_ALIVE_S = 75.0
"""Longer than clients keep idle connections, so that the client closes them."""

FINISH_TIMEOUT_S = 5.0
"""After a drain no request runs; idle connections get this long to close."""

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]


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
    return listener


async def serve_callers(app: AsgiApp, listener: socket.socket, stop: anyio.Event) -> None:
    """Serve until `stop` is set or the task is cancelled; the listener is closed at the end.

    hypercorn's in-process API is used: its own command starts worker processes. It does not clean
    up when it is cancelled, so it runs shielded, and cancellation becomes a stop.
    """
    from hypercorn.asyncio import serve
    from hypercorn.config import Config

    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = FINISH_TIMEOUT_S
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_when_cancelled, stop)
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=stop.wait)


async def _stop_when_cancelled(stop: anyio.Event) -> None:
    try:
        await stop.wait()
    finally:
        stop.set()
