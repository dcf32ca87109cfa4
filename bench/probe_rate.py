"""Load reports that nodes ask of engines beyond those of homes: `python -m bench.probe_rate`.

Whole nodes before hollow engines, in virtual time; each home asks for one report a second.
"""

import anyio

from weirscale.experiments.control_cost.deployment import design_deployment
from weirscale.experiments.control_cost.fleet import HollowFleet
from weirscale.experiments.virtual_time import run_in_virtual_time

NUM_NODES = 36
NUM_ENGINES = 300
NUM_BLOCKS = 60
START_S = 5.0
SPANS_S = (10.0, 10.0, 20.0)
SEED = 3


def num_polls(fleet: HollowFleet) -> int:
    """Return the load reports that all nodes have asked for."""
    return sum(node.engine_traffic.num_load_polls for node in fleet.nodes.values())


async def measure() -> None:
    """Print the rate in each span after the configuration is applied."""
    async with anyio.create_task_group() as tasks:
        fleet = HollowFleet(tasks, SEED)
        for _ in range(NUM_NODES):
            fleet.start_node()
        await anyio.sleep(START_S)
        await fleet.apply(design_deployment(NUM_ENGINES, NUM_BLOCKS))
        since_s = 0.0
        for span_s in SPANS_S:
            before = num_polls(fleet)
            await anyio.sleep(span_s)
            rate = (num_polls(fleet) - before) / span_s - NUM_ENGINES
            print(
                f"{since_s:g} to {since_s + span_s:g} s: {rate / NUM_NODES:.2f} a second and node"
            )
            since_s += span_s
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_in_virtual_time(measure)
