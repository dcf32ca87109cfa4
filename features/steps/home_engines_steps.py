from collections import Counter
from random import Random

import anyio
from behave import given, then, when

from features.support.home_fleet import ZONES, HomeFleet, PeerState
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.prefix.sampling import block_key
from weirscale.messages.cache import AllBlocksCleared, BlockRemoved, BlockStored

FAULT_AT_S = 10
CHANGE_INTERVAL_S = 0.25


@given(
    "{nodes:d} home nodes and {engines:d} scripted engines whose casts are lost at a rate of {loss:g}"
)
def step_fleet(context, nodes, engines, loss):
    context.size = (nodes, engines, loss)
    context.actions = []
    context.result = None


@when('the caches change for {seconds:d} seconds with "{fault}"')
def step_change(context, seconds, fault):
    context.actions.append(lambda fleet, tasks: change_caches(fleet, tasks, seconds, fault))


@when("nothing changes for {seconds:d} seconds")
def step_no_changes(context, seconds):
    context.actions.append(lambda fleet, tasks: anyio.sleep(seconds))


@when("all engines are down for {seconds:d} seconds")
def step_down(context, seconds):
    async def act(fleet, tasks):
        assert all(
            blocks_in_view(node, engine)
            for node in fleet.nodes.values()
            for engine in fleet.engines
        )
        for engine in fleet.engines:
            engine.is_down = True
            engine.wake()
        await anyio.sleep(seconds)

    context.actions.append(act)


@when("no digest arrives for {seconds:d} seconds")
def step_no_digests(context, seconds):
    async def act(fleet, tasks):
        fleet.loss = 1.0
        await anyio.sleep(seconds)

    context.actions.append(act)


@then("only the views of home nodes hold any block")
def step_only_homes(context):
    fleet = run_actions(context)
    for node in fleet.nodes.values():
        for engine in fleet.engines:
            is_home = engine.name in node.homes.engines
            assert bool(blocks_in_view(node, engine)) == is_home, (node.self_id, engine.name)


@then("every engine is followed by one node")
def step_followers(context):
    assert [engine.num_followers for engine in context.result.engines] == [1, 1]


@when("one node stops and {seconds:d} seconds pass")
def step_stop(context, seconds):
    async def act(fleet, tasks):
        fleet.homes_before = {engine.name: fleet.home(engine.name) for engine in fleet.engines}
        fleet.stopped_node = next(iter(fleet.nodes.values()))
        fleet.stopped_node.stop()
        await anyio.sleep(seconds)

    context.actions.append(act)


def run_actions(context):
    """Run the actions so far and return the fleet, which later steps check."""

    async def main():
        fleet = HomeFleet(*context.size)
        async with anyio.create_task_group() as tasks:
            for node in list(fleet.nodes.values()):
                tasks.start_soon(node.run)
            for action in context.actions:
                await action(fleet, tasks)
            for engine in fleet.engines:
                engine.record_num_followers()
            tasks.cancel_scope.cancel()
        return fleet

    return run_in_virtual_time(main)


async def change_caches(fleet, tasks, seconds, fault):
    random = Random(9)
    for number in range(int(seconds / CHANGE_INTERVAL_S)):
        for engine in fleet.engines:
            held = sorted(engine.held)
            stored = BlockStored(tuple(random.getrandbits(64) for _ in range(4)), None)
            removed = BlockRemoved(tuple(random.sample(held, min(3, len(held)))))
            is_lost = fault in ("lost batches", "an exceeded replay window") and number % 7 == 3
            is_lost |= fault == "a lost last batch" and number > seconds / CHANGE_INTERVAL_S - 4
            if not engine.is_down:
                engine.publish(stored, removed, is_lost=is_lost)
        if number * CHANGE_INTERVAL_S == FAULT_AT_S:
            await cause_fault(fleet, tasks, fault)
        await anyio.sleep(CHANGE_INTERVAL_S)


async def cause_fault(fleet, tasks, fault):
    if fault == "an exceeded replay window":
        for engine in fleet.engines:
            engine.replay_window = 0
    elif fault == "a crash":
        for engine in fleet.engines:
            engine.crash()
            engine.publish(AllBlocksCleared())
    elif fault == "an engine down":
        engine = fleet.engines[0]
        engine.is_down = True
        engine.wake()
        await anyio.sleep(8)
        engine.is_down = False
    elif fault in ("a home that stops", "a home that leaves"):
        homes = {
            fleet.home(engine.name)[0].address: fleet.home(engine.name)[0]
            for engine in fleet.engines
        }
        for home in homes.values():
            if fault == "a home that stops":
                home.stop()
            else:
                home.state = PeerState.LEAVING
    elif fault == "all nodes replaced":
        for node in list(fleet.nodes.values()):
            node.stop()
        for number in range(4, 8):
            tasks.start_soon(fleet.add_node(number).run)


def blocks_in_view(node, engine):
    return node.views.view.keys(engine.name)


@then("every node's view equals every engine's cache")
def step_views_equal(context):
    context.result = run_actions(context)
    for node in context.result.nodes.values():
        for engine in context.result.engines:
            assert engine.held
            expected = {block_key(block_hash) for block_hash in engine.held}
            assert blocks_in_view(node, engine) == expected, (node.self_id, engine.name)


@then("every engine was dumped between {least:d} and {most:d} times")
def step_dumps(context, least, most):
    counts = [len(engine.dumped_at_s) for engine in context.result.engines]
    assert all(least <= count <= most for count in counts), counts


@then("every node has received every engine's load report")
def step_loads(context):
    for node in context.result.nodes.values():
        reports = {report.engine: report for report in node.observations.reports}
        assert set(reports) == {engine.name for engine in context.result.engines}
        assert all(report.num_waiting_prefill_tokens == 700 for report in reports.values())


@then("each other node received each engine's load report between {least:d} and {most:d} times")
def step_load_counts(context, least, most):
    fleet = run_actions(context)
    for node in fleet.nodes.values():
        num_reports = Counter(report.engine for report in node.observations.reports)
        counts = [
            num_reports[engine.name]
            for engine in fleet.engines
            if engine.name not in node.homes.engines
        ]
        assert all(least <= count <= most for count in counts), counts


@then("exactly the nodes of an engine's zone have received its load report")
def step_zone_only(context):
    fleet = run_actions(context)
    for node in fleet.nodes.values():
        reported = {report.engine for report in node.observations.reports}
        assert reported == {f"qalam-{ZONES.index(node.zone)}"}, reported


@then("no view holds any block")
def step_no_blocks(context):
    fleet = run_actions(context)
    for node in fleet.nodes.values():
        assert not any(blocks_in_view(node, engine) for engine in fleet.engines)


@then("no second had more than {most:d} dumps and every engine was dumped once")
def step_dump_rate(context, most):
    fleet = run_actions(context)
    times_s = sorted(time_s for engine in fleet.engines for time_s in engine.dumped_at_s)
    assert all(len(engine.dumped_at_s) == 1 for engine in fleet.engines)
    per_second = [
        sum(1 for time_s in times_s if start_s <= time_s < start_s + 1.0) for start_s in times_s
    ]
    assert max(per_second) <= most, max(per_second)


@then("every engine has one home node in its zone")
def step_one_home(context):
    context.result = fleet = run_actions(context)
    for number, engine in enumerate(fleet.engines):
        homes = fleet.home(engine.name)
        assert len(homes) == 1 and homes[0].zone == ZONES[number % len(ZONES)], homes
    assert len({fleet.home(engine.name)[0].address for engine in fleet.engines}) == len(fleet.nodes)


@then("only the stopped node's engines have moved")
def step_moved(context):
    fleet = context.result
    for engine in fleet.engines:
        before = fleet.homes_before[engine.name]
        assert (fleet.home(engine.name) != before) == (before == [fleet.stopped_node])
