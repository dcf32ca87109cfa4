"""Serves an ASGI app on a loopback port for the length of a scenario."""

import socket
from contextlib import asynccontextmanager

import anyio
import hypercorn.asyncio
import hypercorn.config


@asynccontextmanager
async def served(app):
    """Serve an app on a free port and yield its address; for asyncio only."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    config = hypercorn.config.Config()
    # Hypercorn closes the socket that it is handed.
    config.bind = [f"fd://{listener.detach()}"]
    config.errorlog = None
    config.graceful_timeout = 0.01
    stop = anyio.Event()

    async def serve():
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        yield address
        stop.set()
