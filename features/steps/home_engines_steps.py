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


@when('the engines change for {seconds:d} seconds while there is "{fault}"')
def step_change(context, seconds, fault):
    context.actions.append(lambda fleet, tasks: change(fleet, tasks, seconds, fault))


@when("all is quiet for {seconds:d} seconds")
def step_quiet(context, seconds):
    context.actions.append(lambda fleet, tasks: anyio.sleep(seconds))


@when("all engines go down for {seconds:d} seconds")
def step_down(context, seconds):
    async def act(fleet, tasks):
        assert all(
            believed(node, engine) for node in fleet.nodes.values() for engine in fleet.engines
        )
        for engine in fleet.engines:
            engine.is_down = True
            engine.wake()
        await anyio.sleep(seconds)

    context.actions.append(act)


@when("no digest arrives for {seconds:d} seconds")
def step_cut(context, seconds):
    async def act(fleet, tasks):
        fleet.loss = 1.0
        await anyio.sleep(seconds)

    context.actions.append(act)


@then("only homes believe any block")
def step_only_homes(context):
    fleet = run(context)
    for node in fleet.nodes.values():
        for engine in fleet.engines:
            is_home = engine.name in node.homes.engines
            assert bool(believed(node, engine)) == is_home, (node.self_id, engine.name)


@then("every engine is followed by one node")
def step_followers(context):
    assert [engine.num_followers for engine in context.result.engines] == [1, 1]


@when("one node dies and {seconds:d} seconds pass")
def step_die(context, seconds):
    async def act(fleet, tasks):
        fleet.homes_before = {engine.name: fleet.home(engine.name) for engine in fleet.engines}
        fleet.dead = next(iter(fleet.nodes.values()))
        fleet.dead.stop()
        await anyio.sleep(seconds)

    context.actions.append(act)


def run(context):
    """Run the actions so far once; later steps look at the fleet left behind."""

    async def main():
        fleet = HomeFleet(*context.size)
        async with anyio.create_task_group() as tasks:
            for node in list(fleet.nodes.values()):
                tasks.start_soon(node.run)
            for action in context.actions:
                await action(fleet, tasks)
            for engine in fleet.engines:
                engine.note_followers()
            tasks.cancel_scope.cancel()
        return fleet

    return run_in_virtual_time(main)


async def change(fleet, tasks, seconds, fault):
    random = Random(9)
    for number in range(int(seconds / CHANGE_INTERVAL_S)):
        for engine in fleet.engines:
            held = sorted(engine.held)
            stored = BlockStored(tuple(random.getrandbits(64) for _ in range(4)), None)
            removed = BlockRemoved(tuple(random.sample(held, min(3, len(held)))))
            is_lost = fault in ("lost batches", "a passed window") and number % 7 == 3
            is_lost |= fault == "a lost last batch" and number > seconds / CHANGE_INTERVAL_S - 4
            if not engine.is_down:
                engine.publish(stored, removed, is_lost=is_lost)
        if number * CHANGE_INTERVAL_S == FAULT_AT_S:
            await bring_about(fleet, tasks, fault)
        await anyio.sleep(CHANGE_INTERVAL_S)


async def bring_about(fleet, tasks, fault):
    if fault == "a passed window":
        for engine in fleet.engines:
            engine.window = 0
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
    elif fault in ("a home that dies", "a home that leaves"):
        homes = {
            fleet.home(engine.name)[0].address: fleet.home(engine.name)[0]
            for engine in fleet.engines
        }
        for home in homes.values():
            if fault == "a home that dies":
                home.stop()
            else:
                home.state = PeerState.LEAVING
    elif fault == "all nodes replaced":
        for node in list(fleet.nodes.values()):
            node.stop()
        for number in range(4, 8):
            tasks.start_soon(fleet.add_node(number).run)


def believed(node, engine):
    return node.views.view.keys(engine.name)


@then("every node's view equals every engine's cache")
def step_views_equal(context):
    context.result = run(context)
    for node in context.result.nodes.values():
        for engine in context.result.engines:
            assert engine.held
            expected = {block_key(each) for each in engine.held}
            assert believed(node, engine) == expected, (node.self_id, engine.name)


@then("every engine was dumped between {least:d} and {most:d} times")
def step_dumps(context, least, most):
    counts = [len(engine.dumped_at_s) for engine in context.result.engines]
    assert all(least <= count <= most for count in counts), counts


@then("every node has heard of every engine's load")
def step_loads(context):
    for node in context.result.nodes.values():
        heard = {report.engine: report for report in node.observations.reports}
        assert set(heard) == {engine.name for engine in context.result.engines}
        assert all(each.num_waiting_prefill_tokens == 700 for each in heard.values())


@then("each other node heard of each engine's load between {least:d} and {most:d} times")
def step_load_counts(context, least, most):
    fleet = run(context)
    for node in fleet.nodes.values():
        heard = Counter(report.engine for report in node.observations.reports)
        counts = [heard[each.name] for each in fleet.engines if each.name not in node.homes.engines]
        assert all(least <= count <= most for count in counts), counts


@then("exactly the nodes of an engine's zone have heard of its load")
def step_zone_only(context):
    fleet = run(context)
    for node in fleet.nodes.values():
        heard = {report.engine for report in node.observations.reports}
        assert heard == {f"qalam-{ZONES.index(node.zone)}"}, heard


@then("no view believes any block")
def step_none_believed(context):
    fleet = run(context)
    for node in fleet.nodes.values():
        assert not any(believed(node, engine) for engine in fleet.engines)


@then("no second had more than {most:d} dumps and every engine was dumped once")
def step_herd(context, most):
    fleet = run(context)
    times_s = sorted(time_s for engine in fleet.engines for time_s in engine.dumped_at_s)
    assert all(len(engine.dumped_at_s) == 1 for engine in fleet.engines)
    per_second = [sum(1 for each in times_s if at <= each < at + 1.0) for at in times_s]
    assert max(per_second) <= most, max(per_second)


@then("every engine has one home in its zone")
def step_one_home(context):
    context.result = fleet = run(context)
    for number, engine in enumerate(fleet.engines):
        homes = fleet.home(engine.name)
        assert len(homes) == 1 and homes[0].zone == ZONES[number % len(ZONES)], homes
    assert len({fleet.home(engine.name)[0].address for engine in fleet.engines}) == len(fleet.nodes)


@then("only the dead node's engines have moved")
def step_moved(context):
    fleet = context.result
    for engine in fleet.engines:
        before = fleet.homes_before[engine.name]
        assert (fleet.home(engine.name) != before) == (before == [fleet.dead])
