"""Serves an ASGI application with hypercorn inside this process.

It uses hypercorn's Python API, because hypercorn's command would start worker processes.
"""

import socket
from collections.abc import Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
from anyio.lowlevel import current_token

from weirscale.ports.asgi import AsgiApp
from weirscale.ports.connection_limits import ConnectionLimits
from weirscale.ports.listeners import LISTEN_BACKLOG

if TYPE_CHECKING:
    from weirscale.ports.limited_connections import LimitedConfig

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of an incomplete request head in HTTP/1.1 and HTTP/2, and of a body's chunk headers.
It is twice the default limit on callers' headers: the application itself answers most requests that
exceed the latter, with a remedy. Beyond this size hypercorn answers with a bare 431."""

MAX_STREAMS_OF_CONNECTION = 128
"""Maximum number of open HTTP/2 streams of one connection; more end the connection. A stream holds
at most `MAX_QUEUED_MESSAGES` parts of its body."""

MAX_FRAME_BYTES = 16 * 1024
"""Maximum size of an HTTP/2 frame: the smallest limit that the protocol allows."""

MAX_QUEUED_MESSAGES = 10
"""Maximum number of body parts, each of one read, that wait for the application. At this number
reading from the connection pauses."""


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

    hypercorn does not clean up when it is cancelled. It therefore runs shielded from cancellation,
    and a cancellation sets `stop` instead.

    Args:
        app: The application.
        listeners: Listening sockets; the server takes ownership.
        stop: Event that stops the server.
        finish_timeout_s: How long open requests and connections may continue after the stop.
        limits: Time limits on connections; changes apply while the server runs.
    """
    from hypercorn.asyncio import serve

    from weirscale.ports import limited_connections

    limited_connections.install()
    loop: Any = current_token().native_token
    loop.set_exception_handler(_report_unless_cancelled)
    config = _configuration(listeners, finish_timeout_s, limits or ConnectionLimits())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_when_cancelled, stop)
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=partial(_wait_for_stop, stop, config))


def _configuration(
    listeners: Sequence[socket.socket], finish_timeout_s: float, limits: ConnectionLimits
) -> "LimitedConfig":
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


def _report_unless_cancelled(loop: Any, context: Mapping[str, object]) -> None:
    """Report an error of a callback, unless it is the cancellation of a connection's task.

    At the end of the time for a stop, hypercorn cancels the connections that are still open.
    The event loop's streams report each of them as an error.
    """
    if not isinstance(context.get("exception"), anyio.get_cancelled_exc_class()):
        loop.default_exception_handler(context)


async def _wait_for_stop(stop: anyio.Event, config: "LimitedConfig") -> None:
    """Wait for the stop, and apply the time that open requests have by then."""
    await stop.wait()
    if config.limits.finish_s is not None:
        config.graceful_timeout = config.limits.finish_s


async def _stop_when_cancelled(stop: anyio.Event) -> None:
    try:
        await stop.wait()
    finally:
        stop.set()
