"""Steps of `gateway_rollout.feature`."""

import itertools
from functools import partial
from random import Random

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    MODEL,
    STORE_ADDRESS,
    Fleet,
    ask,
    configuration,
    generation_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.peers.rank_delay import rank_delay_s
from weirscale.gateway.weights.order_fence import FENCE_KEY
from weirscale.gateway.weights.schedule import (
    EngineTotals,
    LaggingEngine,
    LoadRules,
    engines_to_load,
)

NOW_S = 100.0
NEVER_TAKEN = "weirscale/duties/placement_planner"
MAX_WAITS = 500
STARTED_S = 5.0
REQUEST_INTERVAL_S = 0.05
APART_S = 3.0
"""Least time between two holders' orders, by default."""

SLACK_S = 0.05
JITTER_S = 0.004
NUM_STORE_SEEDS = 10


@given(
    "a rollout rule of {load_s:g} s a load, a third at once, a target of {target_s:g} s and "
    "urgency from {urgent_s:g} s"
)
def step_rules(context, load_s, target_s, urgent_s):
    context.rules = LoadRules(load_s, 0.34, target_s, urgent_s)


@given("{runners:d} runners of which {loading:d} load")
def step_runner_counts(context, runners, loading):
    context.counts = (runners, loading)


@when('runners are owed since "{ages}" seconds')
def step_owed(context, ages):
    lagging = [
        LaggingEngine(str(number), NOW_S - float(age), 0)
        for number, age in enumerate(ages.split(","), start=1)
    ]
    context.chosen = engines_to_load(lagging, EngineTotals(*context.counts), NOW_S, context.rules)


@given("{suspect:d} of them have failed lately")
def step_suspect(context, suspect):
    context.num_suspect = suspect


@given("{new:d} requests run on the newest weights, and the last load ended {ago:g} s ago")
def step_new_requests(context, new, ago):
    num_runners, num_loading = context.counts
    suspect = context.num_suspect
    context.others = EngineTotals(num_runners, num_loading, suspect, new, NOW_S - ago)


@when('runners with "{old}" requests are owed since {age:g} s')
def step_old_requests(context, old, age):
    lagging = [
        LaggingEngine(str(number), NOW_S - age, int(count))
        for number, count in enumerate(old.split(","), start=1)
    ]
    context.chosen = engines_to_load(lagging, context.others, NOW_S, context.rules)


@when('runners are owed since "" seconds')
def step_owed_none(context):
    context.chosen = engines_to_load([], EngineTotals(*context.counts), NOW_S, context.rules)


@then('"{chosen}" begin to load')
def step_chosen(context, chosen):
    assert context.chosen == chosen.split(","), context.chosen


@then('"" begin to load')
def step_chosen_none(context):
    assert context.chosen == [], context.chosen


class Play:
    """A fleet and what happens to it, in one run."""

    def __init__(self, num_nodes, num_runners):
        self.num_nodes = num_nodes
        self.num_runners = num_runners
        self.actions = []
        self.nobody_orders = False
        self.bounds = {}
        self.routes = None
        self.answers = []

    def run(self):
        self.fleet = Fleet(**self.bounds)
        run_in_virtual_time(self._main)
        return self

    async def _main(self):
        async def body():
            store = self.fleet.store
            store.put("op/config", configuration(1, self.routes))
            store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
            if self.nobody_orders:
                store.put(NEVER_TAKEN, b"nobody")
            for number in range(1, self.num_runners + 1):
                self.fleet.add_runner(
                    RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm", read_s=0.02)
                )
            for number in range(1, self.num_nodes + 1):
                await self.fleet.start_node(f"node-{number}")
            await anyio.sleep(STARTED_S)
            for action in self.actions:
                await action(self)

        await with_fleet(self.fleet, body)

    def holder(self):
        return next(node for node in self.fleet.nodes.values() if node._lease.is_held())

    def orders(self):
        found = [one for runner in self.fleet.runners for one in runner.orders]
        return sorted(found, key=lambda one: one[0])


@given("{nodes:d} nodes and {runners:d} runners")
def step_fleet(context, nodes, runners):
    context.play = Play(nodes, runners)


@given("orders of two holders must lie {seconds:g} seconds apart")
def step_apart(context, seconds):
    context.play.bounds["lease_s"] = seconds


@given("nobody can give orders")
def step_nobody(context):
    context.play.nobody_orders = True


def name_version(play, version):
    play.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
    play.named_s = anyio.current_time()


async def suffer(play, fault):
    fleet = play.fleet
    if fault == "a killed holder":
        await anyio.sleep(0.5)
        fleet.kill(play.holder().settings.name)
    elif fault == "a holder killed at work":
        with anyio.fail_after(10.0):
            await first_order(play)
        fleet.kill(play.holder().settings.name)
    elif fault == "a holder cut off":
        await anyio.sleep(0.5)
        fleet.cuts.add((play.holder().settings.name, STORE_ADDRESS))
    elif fault == "an outage of 2 s":
        fleet.store.is_down = True
        await anyio.sleep(2.0)
        fleet.store.is_down = False
    elif fault == "lost store answers":
        fleet.store.lose_answers = True
        await anyio.sleep(3.0)
        fleet.store.lose_answers = False
    elif fault == "half the answers lost":
        fleet.store.lose_share = 0.5
    elif fault == "lost order answers":
        for runner in fleet.runners:
            runner.lose_order_answers = True
    elif fault == "orders 3 s late":
        fleet.runners[0].late_orders_s = 3.0
    elif fault == "a restart of all nodes":
        await restart_all(fleet)


async def first_order(play):
    for _ in itertools.count():
        if play.orders():
            return
        await anyio.sleep(0.02)


async def restart_all(fleet):
    await anyio.sleep(0.5)
    names = list(fleet.nodes)
    for name in names:
        fleet.kill(name)
    await anyio.sleep(0.5)
    for name in names:
        await fleet.start_node(name, is_first_start=False)


@when('version {version:d} is named and there is "{fault}"')
def step_named(context, version, fault):
    async def action(play):
        name_version(play, version)
        await suffer(play, fault)

    context.play.actions.append(action)


@when("versions {first:d} and {second:d} are named {seconds:g} second apart")
def step_named_two(context, first, second, seconds):
    async def action(play):
        name_version(play, first)
        play.first_named_s = play.named_s
        await anyio.sleep(seconds)
        name_version(play, second)

    context.play.actions.append(action)


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    async def action(play):
        await anyio.sleep(seconds)
        play.num_running = sum(runner.num_running for runner in play.fleet.runners)

    context.play.actions.append(action)


@when("generations are sent for {seconds:g} seconds")
def step_generations(context, seconds):
    async def action(play):
        end_s = anyio.current_time() + seconds
        nodes = itertools.cycle(list(play.fleet.nodes.values()))
        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                if anyio.current_time() >= end_s:
                    break
                tasks.start_soon(generate, play, next(nodes), f"q{number}")
                await anyio.sleep(REQUEST_INTERVAL_S)

    context.play.actions.append(action)


async def generate(play, node, request_id):
    headers = generation_headers(request_id, parts=f"aa:800,{request_id}:200")
    play.answers.append(await ask(node, "/a/1", headers=headers))


@when("a stream that lasts for an hour begins at every runner")
def step_long_streams(context):
    context.play.routes = [
        route("note", "/n/", "streaming", service="lm", max_attempts=1, timeout_ms=3_600_000)
    ]

    async def action(play):
        for number, runner in enumerate(play.fleet.runners):
            runner.faults.extend(["stall"] * 3)
            node = play.fleet.nodes["node-1"]
            headers = generation_headers(f"long-{number}", parts=f"p{number}:800,q{number}:200")
            play.fleet.tasks.start_soon(partial(ask, node, "/n/1", headers=headers))
        await anyio.sleep(0.5)
        context.num_streams = sum(runner.num_running for runner in play.fleet.runners)

    context.play.actions.append(action)


@then("no stream was broken off")
def step_not_broken(context):
    assert context.num_streams >= context.play.num_runners - 2, context.num_streams
    assert context.play.num_running == context.num_streams


@when("a node starts anew {seconds:g} seconds later")
def step_start_anew(context, seconds):
    async def action(play):
        await anyio.sleep(seconds)
        play.fleet.kill("node-1")
        node = await play.fleet.start_node("node-1", is_first_start=False)
        await anyio.sleep(0.5)
        play.answers.append(await ask(node, "/a/1", headers=generation_headers()))

    context.play.actions.append(action)


@when("a node starts anew {wait_s:g} seconds later and is sent generations for {seconds:g} seconds")
def step_start_and_send(context, wait_s, seconds):
    async def action(play):
        await anyio.sleep(wait_s)
        play.fleet.kill("node-1")
        node = await play.fleet.start_node("node-1", is_first_start=False)
        await anyio.sleep(0.2)
        end_s = anyio.current_time() + seconds
        for number in itertools.count():
            if anyio.current_time() >= end_s:
                break
            await generate(play, node, f"q{number}")
            await anyio.sleep(REQUEST_INTERVAL_S)

    context.play.actions.append(action)


@then("no run began on version 1 later than {seconds:g} seconds after the first naming")
def step_no_late_first(context, seconds):
    play = context.play.run()
    began = [
        run.began_s - play.first_named_s for runner in play.fleet.runners for run in runner.runs
    ]
    assert all(one <= seconds for one in began), max(began)
    assert play.answers[-1].status == 503, play.answers[-1]


@then("it still sends requests to version {version:d}")
def step_still_sends(context, version):
    play = context.play.run()
    assert [answer.status for answer in play.answers] == [200], play.answers
    assert {run.version for runner in play.fleet.runners for run in runner.runs} == {version}


@then("every runner has version {version:d}")
def step_all_have(context, version):
    play = context.play.run()
    assert [runner.version for runner in play.fleet.runners] == [version] * play.num_runners


@then("orders of two nodes lie {seconds:g} seconds apart or more")
def step_turns(context, seconds):
    orders = context.play.orders()
    for (earlier_s, earlier), (later_s, later) in itertools.combinations(orders, 2):
        if earlier["holder"] != later["holder"]:
            assert later_s - earlier_s >= seconds, (earlier, later)


@then("every order carried a fencing token no lower than the one before")
def step_tokens(context):
    tokens = [order["fence_token"] for _, order in context.play.orders()]
    assert tokens and tokens == sorted(tokens), tokens


@then("no two nodes gave orders with one token")
def step_own_tokens(context):
    holders = {}
    for _, order in context.play.orders():
        holders.setdefault(order["fence_token"], set()).add(order["holder"])
    assert all(len(names) == 1 for names in holders.values()), holders


@then("no run began on version {version:d} later than {seconds:g} seconds after the naming")
def step_no_late_run(context, version, seconds):
    play = context.play.run()
    began = [
        run.began_s - play.named_s
        for runner in play.fleet.runners
        for run in runner.runs
        if run.version == version
    ]
    assert began and max(began) <= seconds, max(began)


@then("at most {count:d} of them were refused by a runner")
def step_refused(context, count):
    play = context.play.run()
    num_runs = sum(len(runner.runs) for runner in play.fleet.runners)
    num_arrivals = sum(len(runner.arrivals) for runner in play.fleet.runners)
    assert num_arrivals - num_runs <= count, (num_arrivals, num_runs)
    assert {answer.status for answer in play.answers} == {200}


@then("each run was over the scope of its own version")
def step_scopes(context):
    for runner in context.play.fleet.runners:
        for run in runner.runs:
            assert run.salt == f"{MODEL}@{run.version}", run


@then("{count:d} orders were given")
def step_order_count(context, count):
    assert len(context.play.orders()) == count, context.play.orders()


@when("the holder of the duty is killed and node-3 registers anew")
def step_holder_killed(context):
    async def action(play):
        fleet = play.fleet
        holder = play.holder().settings.name
        assert holder != "node-3", "the first node is expected to hold the duty"
        fleet.kill("node-3")
        await anyio.sleep(8.0)
        await fleet.start_node("node-3")
        await anyio.sleep(1.0)
        fleet.kill(holder)

    context.play.actions.append(action)


@then("{name} holds the duty")
def step_holds(context, name):
    holders = []

    async def action(play):
        holders.extend(one for one, node in play.fleet.nodes.items() if node._lease.is_held())

    context.play.actions.append(action)
    context.play.run()
    assert holders == [name], holders


@then("a node of rank {rank:d} waits {seconds:g} seconds")
def step_rank_delay(context, rank, seconds):
    assert abs(rank_delay_s(rank) - seconds) < 1e-9


@when("version {version:d} is named and the holder stops between a load's beginning and its order")
def step_stops_with_loads(context, version):
    async def action(play):
        fleet = play.fleet
        holder = play.holder()
        name_version(play, version)
        for _ in range(MAX_WAITS):
            ordered = {runner.instance for runner in fleet.runners if runner.orders}
            waiting = holder._weights_rollout._loading - ordered
            if ordered and waiting:
                break
            if ordered:
                late = [one for one in fleet.runners if one.instance not in ordered]
                fleet.cuts.update((holder.settings.name, one.address) for one in late)
            await anyio.sleep(0.02)
        assert ordered and waiting, "no load had begun without its order"
        await anyio.sleep(0.1)
        fleet.cuts.clear()
        holder.is_stopping = True
        await holder.leave()

    context.play.actions.append(action)


@given("a holder that has given no order yet")
def step_holder(context):
    """Each play makes its own."""


@when("{count:d} loads ask for the turn at once, again and again for {seconds:d} seconds")
def step_ask_turn(context, count, seconds):
    context.taken = []
    context.has_record = []
    for seed in range(NUM_STORE_SEEDS):
        ask_for_turn(context, seed, count, seconds)


def ask_for_turn(context, seed, count, seconds):
    """Ask beside one another at a store whose answers pass each other."""
    fleet = Fleet()
    fleet.store.random = Random(seed)
    fleet.store.jitter_s = JITTER_S

    async def body():
        fleet.store.put("op/config", configuration())
        node = await fleet.start_node()

        async def ask_turn():
            context.taken.append(await node.order_fence.acquire())

        for _ in range(seconds):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(ask_turn)
            await anyio.sleep(1.0)
        await anyio.sleep(APART_S - 1.0 - SLACK_S)
        fleet.store._expire()
        context.has_record.append(FENCE_KEY in fleet.store.items)

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then("each of them may give its order")
def step_all_taken(context):
    assert all(context.taken), context.taken


@then("the record of the turn outlives the last order by {seconds:g} seconds")
def step_record(context, seconds):
    assert seconds == APART_S
    assert all(context.has_record), context.has_record
