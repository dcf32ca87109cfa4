"""Serves an ASGI app on a loopback port for the duration of a scenario."""

import socket
from contextlib import asynccontextmanager

import anyio

from weirscale.domain.identifiers import NodeAddress
from weirscale.ports.listeners import open_listener, port_of
from weirscale.standins.asgi_server import LOOPBACK, serve_listener


@asynccontextmanager
async def served(app):
    """Serve an app on a free port and yield its address; works with asyncio only."""
    listener = open_listener(LOOPBACK, 0)
    address = f"{LOOPBACK}:{port_of(listener)}"
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_listener, app, listener, stop)
        yield address
        stop.set()


def free_address():
    """Return a loopback address on which no socket listens."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((LOOPBACK, 0))
        return NodeAddress(*probe.getsockname())
