"""Serves an ASGI application with hypercorn inside this process.

hypercorn's in-process API is used: its own command starts worker processes.
"""

import socket
from collections.abc import Sequence
from typing import TYPE_CHECKING

import anyio

from weirscale.ports.asgi import AsgiApp
from weirscale.ports.connection_limits import ConnectionLimits
from weirscale.ports.listeners import LISTEN_BACKLOG

if TYPE_CHECKING:
    from hypercorn.config import Config

MAX_HEAD_BYTES = 64 * 1024
"""Request line and headers that may wait for their end, in HTTP/1.1 and HTTP/2; chunk headers of a
body as well. Twice the default limit of callers' headers, so that the usual excess is answered by
the application, with a remedy; beyond it the answer is a bare 431."""

MAX_STREAMS_OF_CONNECTION = 128
"""HTTP/2 streams that one connection may have open; more end the connection. A stream holds at
most `MAX_QUEUED_MESSAGES` parts of its body."""

MAX_FRAME_BYTES = 16 * 1024
"""Largest HTTP/2 frame accepted: the smallest value that the protocol allows."""

MAX_QUEUED_MESSAGES = 10
"""Parts of a body, each of one read, that wait for the application; reading pauses meanwhile."""


async def serve_asgi(
    app: AsgiApp,
    listener: socket.socket,
    stop: anyio.Event,
    finish_timeout_s: float,
    limits: ConnectionLimits | None = None,
) -> None:
    """Serve one listener; see `serve_on_listeners`."""
    await serve_on_listeners(app, [listener], stop, finish_timeout_s, limits)


async def serve_on_listeners(
    app: AsgiApp,
    listeners: Sequence[socket.socket],
    stop: anyio.Event,
    finish_timeout_s: float,
    limits: ConnectionLimits | None = None,
) -> None:
    """Serve until `stop` is set or the task is cancelled; the listeners are closed at the end.

    hypercorn does not clean up when it is cancelled, so it runs shielded, and cancellation becomes
    a stop.

    Args:
        app: The application.
        listeners: Listening sockets; owned by the server from here on.
        stop: Ends the serving.
        finish_timeout_s: How long open requests and connections may go on after the stop.
        limits: How long connections may be unused; changes of it count at once.
    """
    from hypercorn.asyncio import serve

    from weirscale.ports import limited_connections

    limited_connections.install()
    config = _configuration(listeners, finish_timeout_s, limits or ConnectionLimits())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_when_cancelled, stop)
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=stop.wait)


def _configuration(
    listeners: Sequence[socket.socket], finish_timeout_s: float, limits: ConnectionLimits
) -> "Config":
    from weirscale.ports.limited_connections import LimitedConfig

    config = LimitedConfig(limits)
    config.bind = [f"fd://{listener.detach()}" for listener in listeners]
    config.accesslog = None
    config.errorlog = None
    config.backlog = LISTEN_BACKLOG
    config.graceful_timeout = finish_timeout_s
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.h2_max_header_list_size = MAX_HEAD_BYTES
    config.h2_max_concurrent_streams = MAX_STREAMS_OF_CONNECTION
    config.h2_max_inbound_frame_size = MAX_FRAME_BYTES
    config.max_app_queue_size = MAX_QUEUED_MESSAGES
    return config


async def _stop_when_cancelled(stop: anyio.Event) -> None:
    try:
        await stop.wait()
    finally:
        stop.set()
