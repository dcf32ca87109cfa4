"""A request path behind the real server on loopback, and raw clients of it; for asyncio only."""

from contextlib import asynccontextmanager

import anyio

from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener, port_of

LOOPBACK = "127.0.0.1"
FINISH_TIMEOUT_S = 0.0
GUARD_S = 20.0
"""A server that neither answers nor closes fails the test instead of stopping the run."""


class CountingApp:
    """An ASGI application that counts the bytes of bodies that another one takes."""

    def __init__(self, app):
        self._app = app
        self.num_bytes = 0

    async def __call__(self, scope, receive, send):
        async def counted():
            message = await receive()
            self.num_bytes += len(message.get("body", b""))
            return message

        await self._app(scope, counted, send)


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


async def exchange(port, pieces, half_close=False):
    """Send pieces as far as the server takes them; return all it sends until it closes."""
    received = []
    with anyio.fail_after(GUARD_S):
        stream = await anyio.connect_tcp(LOOPBACK, port)
        async with stream, anyio.create_task_group() as tasks:
            tasks.start_soon(_send, stream, pieces, half_close)
            try:
                while True:
                    received.append(await stream.receive())
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                tasks.cancel_scope.cancel()
    return b"".join(received)


async def _send(stream, pieces, half_close):
    try:
        for piece in pieces:
            await stream.send(piece)
        if half_close:
            await stream.send_eof()
    except (anyio.BrokenResourceError, OSError):
        return
