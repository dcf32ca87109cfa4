import anyio
from behave import given, then, when

from features.support.configuration_fleet import run_configuration_fleet
from features.support.deployments import small_deployment
from features.support.virtual_time import run_in_virtual_time

NUM_ZONES = 2
SEEDS = range(1, 3)
SETTLE_S = 5.0
MAX_WAIT_S = 30.0


@given("a configured fleet of {num_nodes:d} nodes whose store is down")
def step_fleet(context, num_nodes):
    context.num_nodes = num_nodes


@when("a node restarts cut off from all others and the cut heals after {cut_s:d} s")
def step_restart_cut_off(context, cut_s):
    context.revisions_while_cut = []

    async def script(fleet):
        await anyio.sleep(SETTLE_S)
        fleet.server.faults.is_down = True
        name = sorted(fleet.nodes)[0]
        others = {node.address for key, node in fleet.nodes.items() if key != name}
        fleet.network.cut_both_ways({fleet.nodes[name].address}, others)
        node = fleet.restart(name)
        await anyio.sleep(cut_s)
        context.revisions_while_cut.append(node.revision)
        fleet.network.heal()
        healed_at_s = anyio.current_time()
        with anyio.move_on_after(MAX_WAIT_S):
            await node.task.changed_after(0)
        return anyio.current_time() - healed_at_s

    async def run(seed):
        return await run_configuration_fleet(
            script, context.num_nodes, NUM_ZONES, seed, deployment=small_deployment("first")
        )

    context.waited_s = [run_in_virtual_time(run, seed) for seed in SEEDS]


@then("the restarted node has the configuration within {bound_s:d} s of healing")
def step_within(context, bound_s):
    assert context.revisions_while_cut == [0] * len(SEEDS), "the cut did not hold"
    assert max(context.waited_s) <= bound_s, context.waited_s
