"""Serves stand-ins on loopback ports during a scenario, with outages."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.lowlevel

from weirscale.ports.listeners import open_listener, port_of
from weirscale.standins.asgi_server import LOOPBACK, serve_listener
from weirscale.standins.engine.http_app import EngineApp
from weirscale.standins.service.http_app import ServiceApp

OUTAGE_POLL_S = 0.01
"""Seconds between a server's checks whether its stand-in is reachable."""


class OutageServer:
    """Serves an app on one port, which refuses connections during an outage.

    The listener is closed while `is_reachable` returns False, and reopened on the same port when it
    returns True.
    """

    def __init__(self, app, is_reachable: Callable[[], bool]):
        self._app = app
        self._is_reachable = is_reachable
        self._listener: socket.socket | None = open_listener(LOOPBACK, 0)
        self._port = port_of(self._listener)

    @property
    def address(self):
        return f"{LOOPBACK}:{self._port}"

    async def run(self):
        """Serve until cancelled."""
        while True:
            # Serving converts a cancellation into a normal stop; this checkpoint then ends the loop.
            await anyio.lowlevel.checkpoint()
            if self._is_reachable():
                await self._serve_until_outage()
            else:
                self._close_listener()
                await anyio.sleep(OUTAGE_POLL_S)

    async def _serve_until_outage(self):
        listener = self._listener or open_listener(LOOPBACK, self._port)
        self._listener = None
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_at_outage, stop)
            await serve_listener(self._app, listener, stop)
            tasks.cancel_scope.cancel()

    async def _stop_at_outage(self, stop):
        # Crashes, recoveries and faults send no event.
        while self._is_reachable():  # noqa: ASYNC110
            await anyio.sleep(OUTAGE_POLL_S)
        stop.set()

    def _close_listener(self):
        if self._listener is not None:
            self._listener.close()
            self._listener = None


@dataclass
class Served:
    """A stand-in that is served at `address`."""

    address: str


async def serve_engine(engine, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Run an engine and serve it on loopback until cancelled."""
    server = OutageServer(EngineApp(engine), lambda: engine.is_reachable)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        tasks.start_soon(server.run)
        task_status.started(Served(server.address))


async def serve_service(service, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve a service back end on loopback until cancelled."""
    server = OutageServer(ServiceApp(service), lambda: service.is_reachable)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        task_status.started(Served(server.address))
