"""Steps for the connections that engine ports keep."""

import os
from random import Random

import anyio
from behave import given, then, when

from features.support.served_stand_ins import serve_engine
from weirscale.domain.identifiers import EngineName, ModelName, WeightVersion
from weirscale.ports.engine_http import HttpEngine
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings

SETTINGS = EngineSettings(
    name=EngineName("engine"),
    model=ModelName("model"),
    weight_version=WeightVersion("v1"),
    num_total_blocks=16,
)
MAX_CHECKS = 200
CHECK_INTERVAL_S = 0.01


def num_sockets():
    """Count the sockets of this process, which holds both ends of each connection."""
    links = (f"/proc/self/fd/{number}" for number in os.listdir("/proc/self/fd"))
    return sum(os.readlink(link).startswith("socket:") for link in links if os.path.islink(link))


@given("an engine server and {ports:d} ports to it")
def step_server(context, ports):
    context.num_ports = ports


@when("each port asks for the load {times:d} times at once")
def step_ask(context, times):
    async def main():
        async with anyio.create_task_group() as tasks:
            server = await tasks.start(serve_engine, InProcessEngine(SETTINGS, Random(5)))
            before = num_sockets()
            ports = [HttpEngine(server.address) for _ in range(context.num_ports)]
            for port in ports:
                for _ in range(times):
                    assert (await port.load()).is_ok()
            # The server closes its ends shortly after the client.
            for _ in range(MAX_CHECKS):
                context.num_open = (num_sockets() - before) / 2
                if context.num_open in (0, context.num_ports):
                    break
                await anyio.sleep(CHECK_INTERVAL_S)
            for port in ports:
                await port.aclose()
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("{connections:d} connections of these ports stay open")
def step_left(context, connections):
    assert context.num_open == connections, context.num_open
