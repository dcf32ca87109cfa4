"""Serve a request path with the real server on loopback, and raw clients for it; asyncio only."""

from contextlib import asynccontextmanager

import anyio

from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
FINISH_TIMEOUT_S = 0.0
GUARD_S = 20.0
"""Timeout of an exchange: a server that neither answers nor closes fails the test."""


class CountingApp:
    """An ASGI application that counts the body bytes that the wrapped application reads."""

    def __init__(self, app):
        self._app = app
        self.num_bytes = 0

    async def __call__(self, scope, receive, send):
        async def counting_receive():
            message = await receive()
            self.num_bytes += len(message.get("body", b""))
            return message

        await self._app(scope, counting_receive, send)


@asynccontextmanager
async def serving(app, limits):
    """Serve an app on a free port and yield the port."""
    listener = open_listener(LOOPBACK, 0)
    port = port_of(listener)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_asgi, app, listener, stop, FINISH_TIMEOUT_S, limits)
        try:
            yield port
        finally:
            stop.set()


async def exchange(port, parts, half_close=False):
    """Send parts until the server stops reading; return all bytes it sends until it closes."""
    received = []
    with anyio.fail_after(GUARD_S):
        stream = await anyio.connect_tcp(LOOPBACK, port)
        async with stream, anyio.create_task_group() as tasks:
            tasks.start_soon(_send, stream, parts, half_close)
            try:
                while True:
                    received.append(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                tasks.cancel_scope.cancel()
    return b"".join(received)


async def _send(stream, parts, half_close):
    try:
        for part in parts:
            await stream.send(part)
        if half_close:
            await stream.send_eof()
    except (anyio.BrokenResourceError, OSError):
        return
