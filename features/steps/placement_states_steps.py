import math

import anyio
import msgspec
from behave import given, then, when

from features.support.backend_fleet import MODEL, declare_engine
from features.support.placement_states_fleet import StatesFleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.placement.model import PlacementRules
from weirscale.messages.cache import LoadReport
from weirscale.messages.engine_states import EngineState
from weirscale.node.backends.facts import EMPTY_SNAPSHOT, EngineFacts
from weirscale.node.placement.fleet_states import ObservedState
from weirscale.node.placement.observing import observe_engines
from weirscale.ports.engine import LoadModel

LOAD_S = 12.0
WARM_UP_S = 15.0
CUT_S = 120.0
NUM_HALFWAY = 6
SAMPLE_S = 0.5
LOSS = 1 / 3
STALE_S = 30.0


async def nothing(fleet, planner):
    pass


async def crash_queried_nodes(fleet, planner):
    await anyio.sleep(5.0)
    for zone in fleet.zones:
        others = [node for node in fleet.nodes_in(zone) if node is not planner]
        busiest = max(others, key=lambda node: node.num_bytes().total())
        fleet.network.detach(busiest.peer.address)


async def lose_messages(fleet, planner):
    fleet.network.set_drop_rate(LOSS)


async def cut_zone(fleet, planner):
    inside = {node.peer.address for node in fleet.nodes_in(fleet.zones[1])}
    outside = {node.peer.address for node in fleet.nodes} - inside
    await anyio.sleep(5.0)
    fleet.network.cut_both_ways(inside, outside)
    fleet.cut_at_s = anyio.current_time()
    await anyio.sleep(CUT_S)
    fleet.network.heal()


async def move_planner(fleet, planner):
    while fleet.count_at("v2") < NUM_HALFWAY:  # noqa: ASYNC110 - engines send no event
        await anyio.sleep(SAMPLE_S)
    planner.held = False
    await anyio.sleep(3.0)
    fleet.nodes_in(fleet.zones[2])[0].held = True


async def crash_zone(fleet, planner):
    """Crash all nodes of a zone; homes in other zones then report its engines to the planner."""
    await anyio.sleep(5.0)
    for node in fleet.nodes_in(fleet.zones[1]):
        fleet.remove_node(node)
    fleet.adopt_zone(fleet.zones[1])


async def hang_engine(fleet, planner):
    fleet.engines_in(fleet.zones[1])[-1].hang()


FAULTS = {
    "an engine of another zone hangs": hang_engine,
    "nothing fails": nothing,
    "the queried node of each zone stops answering": crash_queried_nodes,
    "a third of the messages between nodes is lost": lose_messages,
    "another zone is cut off for 120 s": cut_zone,
    "the planner moves to another zone halfway": move_planner,
    "all nodes of another zone crash": crash_zone,
}


@given(
    "{zones:d} zones with {nodes:d} nodes and {engines:d} engines each, "
    "of which {floor:d} must stay ready and {most:d} may load at once"
)
def step_zones(context, zones, nodes, engines, floor, most):
    context.sizes = (zones, zones * nodes, zones * engines)
    context.bounds = {"min_ready_engines": floor, "max_concurrent_loads": most}


@when("{fault} while v2 rolls out over zones")
def step_fault(context, fault):
    context.fault = FAULTS[fault]


def run_fleet(context, duration_s, script):
    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = StatesFleet(tasks, *context.sizes, load_s=LOAD_S, **context.bounds)
            fleet.samples = []
            fleet.nodes[0].held = True
            await anyio.sleep(WARM_UP_S)
            tasks.start_soon(sample, fleet)
            tasks.start_soon(script, fleet, fleet.nodes[0])
            await anyio.sleep(duration_s)
            tasks.cancel_scope.cancel()
        return fleet

    return run_in_virtual_time(main)


async def sample(fleet):
    while True:
        reports = [engine.report for engine in fleet.engines.values()]
        num_ready = sum(report.model is not None for report in reports)
        fleet.samples.append((len(reports) - num_ready, num_ready))
        await anyio.sleep(SAMPLE_S)


def roll_out(context, duration_s):
    async def script(fleet, planner):
        fleet.declare_version("v2")
        await context.fault(fleet, planner)

    if "fleet" not in context:
        context.fleet = run_fleet(context, duration_s, script)
    return context.fleet


@then("after {seconds:d} s every engine serves v2")
def step_all_serve(context, seconds):
    fleet = roll_out(context, seconds)
    assert fleet.count_at("v2") == len(fleet.engines), fleet.count_at("v2")


@then("over zones never more than {count:d} engines loaded at once")
def step_most_loading(context, count):
    assert max(num_loading for num_loading, _ in context.fleet.samples) == count


@then("over zones never fewer than {count:d} engines were ready")
def step_fewest_ready(context, count):
    assert min(num_ready for _, num_ready in context.fleet.samples) >= count


@then("after {seconds:d} s every engine but the one that hangs serves v2")
def step_but_one(context, seconds):
    fleet = roll_out(context, seconds)
    assert fleet.count_at("v2") == len(fleet.engines) - 1, fleet.count_at("v2")


@then("the engine that hangs got no order")
def step_hanging_unordered(context):
    (hung,) = (each for each in context.fleet.engines.values() if each.hung_at_s < math.inf)
    assert not hung.orders, hung.orders


@then("no engine of that zone was ordered from 45 s after the cut until it ended")
def step_no_orders_in_cut(context):
    fleet = roll_out(context, 200)
    zone = fleet.engines_in(fleet.zones[1])
    times = [at_s for engine in zone for at_s, order in engine.orders]
    start_s, end_s = fleet.cut_at_s + 45.0, fleet.cut_at_s + CUT_S
    assert not [at_s for at_s in times if start_s <= at_s < end_s], times
    others = [engine for engine in fleet.engines.values() if engine not in zone]
    assert any(start_s - 45.0 <= at_s < end_s for each in others for at_s, _ in each.orders)


@then("every order was a load for the engine's current run")
def step_orders(context):
    orders = [order for engine in context.fleet.engines.values() for _, order in engine.orders]
    assert all(order.expected_incarnation == 1 for order in orders)
    assert {type(order.action) for order in orders} == {LoadModel}


@when("the planner has run for 65 s")
def step_run(context):
    async def script(fleet, planner):
        await anyio.sleep(0.5)
        context.before = count_traffic(fleet)
        await anyio.sleep(50.0)
        context.after = count_traffic(fleet)
        context.num_observed = len(planner.states.observed_states())
        planner.held = False
        await anyio.sleep(2.0)
        context.num_observed_after = len(planner.states.observed_states())

    context.fleet = run_fleet(context, 55.0, script)


def count_traffic(fleet):
    """Return the messages sent by each node, and the bytes received by the first."""
    links = [node.link.traffic for node in fleet.nodes]
    sent = [sum(each.num_messages for each in traffic.sent.values()) for traffic in links]
    return sent, sum(each.num_bytes for each in links[0].received.values())


MAX_SHORT_ANSWER_BYTES = 120
"""A header and one byte for each of 4 engines; their states take over 200."""


@then("in the last 50 s each other zone was queried 10 times and the answers had no states")
def step_queries(context):
    num_queries = context.after[0][0] - context.before[0][0]
    assert num_queries == 20, num_queries
    num_bytes = context.after[1] - context.before[1]
    assert num_bytes <= 20 * MAX_SHORT_ANSWER_BYTES, num_bytes


@then("no other node sent a query")
def step_others_silent(context):
    """Check that other nodes sent only answers; each queried node challenged the planner once."""
    by_planner, *by_others = context.after[0]
    num_queried_nodes = sum(count > 0 for count in by_others)
    assert (num_queried_nodes, sum(by_others)) == (2, by_planner - 2), context.after[0]


@then("the planner has states of all engines of other zones while it plans and of none after")
def step_observed(context):
    assert (context.num_observed, context.num_observed_after) == (8, 0)


def report(run, version):
    return LoadReport("qalam-1", run, MODEL, version, (), 0, 0, 0, 0, 9, False, 0)


NOW_S = 100.0


@given("this node observed run {run:d} of an engine with version {version} {age:d} s ago")
def step_own(context, run, version, age):
    facts = EngineFacts(declare_engine(1), None, report(run, version), NOW_S - age)
    context.snapshot = msgspec.structs.replace(EMPTY_SNAPSHOT, engines={"qalam-1": facts})


@given("another node reported run {run:d} with version {version} {age:d} s ago")
def step_reported(context, run, version, age):
    state = EngineState.of(report(run, version), is_leaving=False, is_up=True)
    context.observed_states = {"qalam-1": ObservedState(state, NOW_S - age)}


@then("the planner sees version {version} and the engine is {state}")
def step_seen(context, version, state):
    observation = observe_engines(
        context.snapshot, context.observed_states, PlacementRules(), NOW_S
    )["qalam-1"]
    assert (observation.weight_version, observation.is_up) == (version, state == "up"), observation
