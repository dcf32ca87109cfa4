"""Serves stand-in engines over HTTP in this process."""

from random import Random

import anyio
import msgspec
from anyio.abc import TaskStatus

from weirscale.standins.asgi_server import OutageServer
from weirscale.standins.engine.http_app import EngineApp
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings

RESTART_POLL_S = 0.05
"""How often a crashed engine's server looks whether its run has begun."""


class EngineServer(msgspec.Struct, frozen=True):
    """A stand-in engine that is being served.

    Attributes:
        engine: The engine, for faults and records.
        address: host:port of its HTTP interface.
    """

    engine: InProcessEngine
    address: str


async def serve_engine(
    engine: InProcessEngine | EngineSettings,
    *,
    task_status: TaskStatus[EngineServer] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run an engine and serve it on loopback until cancelled.

    Args:
        engine: The engine, or the settings of one.
        task_status: Told the `EngineServer` once the port listens.
    """
    if isinstance(engine, EngineSettings):
        engine = InProcessEngine(engine, Random(engine.name))
    server = OutageServer(EngineApp(engine), lambda: engine.is_reachable)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        tasks.start_soon(server.run)
        tasks.start_soon(_follow_reachability, engine, server)
        task_status.started(EngineServer(engine, server.address))


async def _follow_reachability(engine: InProcessEngine, server: OutageServer) -> None:
    """Tell the server of each outage and of its end."""
    while True:
        changed = engine.reachability_change()
        server.notify()
        if engine.is_reachable or engine.faults.current.refuse_connections:
            await changed.wait()
        else:
            await anyio.sleep(RESTART_POLL_S)
