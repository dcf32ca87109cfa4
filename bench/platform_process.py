"""The platform of the comparison: one stand-in engine and the stand-in key-value service."""

from random import Random

import anyio
import msgspec

from bench.setup import MODEL, VERSION, PlatformAddresses, announce, deployment
from weirscale.domain.identifiers import EngineName
from weirscale.node.configuration.apply import Applier
from weirscale.node.configuration.outcome import Accepted
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.listeners import open_listener
from weirscale.standins.engine.server import EngineServer, serve_engine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

LOOPBACK = "127.0.0.1"
SETTINGS = EngineSettings(
    name=EngineName("engine-1"),
    model=MODEL,
    weight_version=VERSION,
    num_total_blocks=65_536,
    max_step_tokens=1_000_000,
    max_running=256,
    max_waiting=1024,
    step_fixed_s=0.012,
    prefill_token_s=1e-7,
    decode_request_s=0.0002,
)
"""Prefill costs next to nothing, so that the first byte shows the path's own time. Decoding is
paced so that no process is busy for more than some 60 % of a core: beyond that, first bytes measure
queues and not work."""

FINISH_TIMEOUT_S = 1.0
"""How long open requests may go on after the end of a bench."""


async def main() -> None:
    """Serve until killed."""
    store = KeyValueServer(Random(1))
    listener = open_listener(LOOPBACK, 0)
    key_value_address = f"{LOOPBACK}:{listener.getsockname()[1]}"
    async with anyio.create_task_group() as tasks:
        served: EngineServer = await tasks.start(serve_engine, SETTINGS)
        stop = anyio.Event()
        tasks.start_soon(serve_asgi, KeyValueApp(store), listener, stop, FINISH_TIMEOUT_S)
        applier = Applier(
            InProcessKeyValue(store), deployment(served.address), None, "bench", Random(2)
        )
        outcome = await applier.run()
        if not isinstance(outcome, Accepted):
            raise SystemExit(f"the configuration was not accepted: {msgspec.to_builtins(outcome)}")
        announce(PlatformAddresses(served.address, key_value_address))


if __name__ == "__main__":
    anyio.run(main, backend_options={"use_uvloop": True})
