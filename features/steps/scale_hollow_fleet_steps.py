"""Steps for fleets of whole hollow nodes."""

import anyio
import msgspec
from behave import given, then, when

from features.support.virtual_time import run_in_virtual_time
from weirscale.experiments.control_cost.deployment import NUM_ZONES, design_deployment
from weirscale.experiments.control_cost.fleet import HollowFleet
from weirscale.experiments.control_cost.hollow_engine import EVENTS_PER_S
from weirscale.experiments.control_cost.main import missed_goals, run_goals, run_rest
from weirscale.experiments.control_cost.measure import FleetShape, NodeCost

NUM_BLOCKS = 60
MIN_BYTES_OF_EVENT = 30.0
"""A hash alone takes 20 digits in JSON."""

NOT_REPEATABLE = {"cpu_share", "resident_bytes"}


@given("a hollow fleet of {nodes:d} nodes and {engines:d} engines with seed {seed:d}")
def step_fleet(context, nodes, engines, seed):
    context.shape = FleetShape(nodes, engines, NUM_BLOCKS, quiet_s=5.0, seed=seed)


@when("it is started at once and measured at rest for 5 seconds")
def step_measure(context):
    context.cost = run_rest(context.shape)


@then("every hollow node sees the whole fleet and every engine has a home")
def step_whole(context):
    assert context.cost.num_stale == 0
    assert context.cost.num_unhomed == 0


@then("its nodes send at most {most:d} bytes a second each and receive as much as is sent")
def step_bytes(context, most):
    cost: NodeCost = context.cost
    assert cost.max_sent_bytes_per_s <= most, cost.max_sent_bytes_per_s
    assert cost.sent_by_type["cache_digest"] > 0
    assert cost.sent_by_type["load_digest"] > 0
    # What is on its way at the beginning or the end of the measurement may differ.
    difference = abs(cost.received_bytes_per_s - cost.sent_bytes_per_s)
    assert difference < 0.05 * cost.sent_bytes_per_s, difference


@then("its homes receive every cache event that {engines:d} engines publish")
def step_events(context, engines):
    cost: NodeCost = context.cost
    least = EVENTS_PER_S * MIN_BYTES_OF_EVENT * engines / cost.shape.num_nodes
    assert cost.engine_event_bytes_per_s >= least, cost.engine_event_bytes_per_s


@then("the key-value service gets at most {most:d} calls a second")
def step_calls(context, most):
    assert context.cost.store_calls_per_s <= most, context.cost.store_calls_per_s


@when("it is measured twice")
def step_twice(context):
    context.costs = [msgspec.to_builtins(run_rest(context.shape)) for _ in range(2)]


@then("both measurements have the same bytes, messages and calls")
def step_same(context):
    first, second = (
        {name: value for name, value in cost.items() if name not in NOT_REPEATABLE}
        for cost in context.costs
    )
    assert first == second


@when("its goals are measured")
def step_goals(context):
    context.times = run_goals(context.shape)


@then("crashes, joins, changes and restarts stay below the bounds of the goals")
def step_goals_met(context):
    assert missed_goals(context.times) == []
    assert context.times.in_force_p99_s > 0.0


@when("it runs alone for {duration:d} seconds")
def step_alone(context, duration):
    shape = context.shape

    async def script():
        async with anyio.create_task_group() as tasks:
            fleet = HollowFleet(tasks, shape.seed)
            await fleet.apply(design_deployment(shape.num_engines, shape.num_blocks))
            node = fleet.start_node()
            await anyio.sleep(duration)
            context.homes = node.node.homes.engines
            tasks.cancel_scope.cancel()

    run_in_virtual_time(script)


@then("it is home of all engines of its zone and of {others:d} others")
def step_few_homes(context, others):
    num_near = len(range(0, context.shape.num_engines, NUM_ZONES))
    assert len(context.homes) == num_near + others, len(context.homes)
