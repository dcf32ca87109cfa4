"""Steps of `gateway_weights_rollout.feature`."""

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
PLANNER_LEASE_KEY = "weirscale/duties/placement_planner"
MAX_WAITS = 500
START_S = 5.0
REQUEST_INTERVAL_S = 0.05
MIN_ORDER_GAP_S = 3.0
"""Default minimum seconds between the orders of two holders."""

SLACK_S = 0.05
JITTER_S = 0.004
NUM_STORE_SEEDS = 10


@given(
    "load rules with {load_s:g} s per load, a third of the engines at once, loads begun within "
    "{begin_within_s:g} s and old weights unusable after {unusable_after_s:g} s"
)
def step_rules(context, load_s, begin_within_s, unusable_after_s):
    context.rules = LoadRules(load_s, 0.34, begin_within_s, unusable_after_s)


@given("{engines:d} engines of which {loading:d} are loading")
def step_engine_counts(context, engines, loading):
    context.counts = (engines, loading)


@when('engines lag behind the target version for "{ages}" seconds')
def step_lagging(context, ages):
    lagging = [
        LaggingEngine(str(number), NOW_S - float(age), 0)
        for number, age in enumerate(ages.split(","), start=1)
    ]
    context.chosen = engines_to_load(lagging, EngineTotals(*context.counts), NOW_S, context.rules)


@given("{suspect:d} of them have failed recently")
def step_suspect(context, suspect):
    context.num_suspect = suspect


@given("{new:d} requests run on the target version, and the last load ended {ago:g} s ago")
def step_new_requests(context, new, ago):
    num_engines, num_loading = context.counts
    suspect = context.num_suspect
    context.totals = EngineTotals(num_engines, num_loading, suspect, new, NOW_S - ago)


@when('engines with "{old}" requests lag behind the target version for {age:g} s')
def step_old_requests(context, old, age):
    lagging = [
        LaggingEngine(str(number), NOW_S - age, int(count))
        for number, count in enumerate(old.split(","), start=1)
    ]
    context.chosen = engines_to_load(lagging, context.totals, NOW_S, context.rules)


@when('engines lag behind the target version for "" seconds')
def step_none_lagging(context):
    context.chosen = engines_to_load([], EngineTotals(*context.counts), NOW_S, context.rules)


@then('engines "{chosen}" begin to load')
def step_chosen(context, chosen):
    assert context.chosen == chosen.split(","), context.chosen


@then('engines "" begin to load')
def step_chosen_none(context):
    assert context.chosen == [], context.chosen


class FleetRun:
    """Runs a fleet and the actions of a scenario in virtual time."""

    def __init__(self, num_nodes, num_runners):
        self.num_nodes = num_nodes
        self.num_runners = num_runners
        self.actions = []
        self.are_orders_blocked = False
        self.fleet_options = {}
        self.routes = None
        self.answers = []

    def run(self):
        self.fleet = Fleet(**self.fleet_options)
        run_in_virtual_time(self._main)
        return self

    async def _main(self):
        async def body():
            store = self.fleet.store
            store.put("op/config", configuration(1, self.routes))
            store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
            if self.are_orders_blocked:
                store.put(PLANNER_LEASE_KEY, b"nobody")
            for number in range(1, self.num_runners + 1):
                self.fleet.add_runner(
                    RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm", read_s=0.02)
                )
            for number in range(1, self.num_nodes + 1):
                await self.fleet.start_node(f"node-{number}")
            await anyio.sleep(START_S)
            for action in self.actions:
                await action(self)

        await with_fleet(self.fleet, body)

    def holder(self):
        return next(node for node in self.fleet.nodes.values() if node._lease.is_held())

    def orders(self):
        orders = [order for runner in self.fleet.runners for order in runner.orders]
        return sorted(orders, key=lambda order: order[0])


@given("{nodes:d} nodes and {engines:d} engines")
def step_fleet(context, nodes, engines):
    context.fleet_run = FleetRun(nodes, engines)


@given("orders of two holders must be {seconds:g} seconds apart")
def step_apart(context, seconds):
    context.fleet_run.fleet_options["lease_s"] = seconds


@given("no node can send orders")
def step_orders_blocked(context):
    context.fleet_run.are_orders_blocked = True


def set_target_version(fleet_run, version):
    fleet_run.fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
    fleet_run.target_set_s = anyio.current_time()


async def inject_fault(fleet_run, fault):
    fleet = fleet_run.fleet
    if fault == "holder killed":
        await anyio.sleep(0.5)
        fleet.kill(fleet_run.holder().settings.name)
    elif fault == "holder killed after its first order":
        with anyio.fail_after(10.0):
            await wait_for_first_order(fleet_run)
        fleet.kill(fleet_run.holder().settings.name)
    elif fault == "holder cut off from the store":
        await anyio.sleep(0.5)
        fleet.cuts.add((fleet_run.holder().settings.name, STORE_ADDRESS))
    elif fault == "store outage of 2 s":
        fleet.store.is_down = True
        await anyio.sleep(2.0)
        fleet.store.is_down = False
    elif fault == "store answers lost":
        fleet.store.lose_answers = True
        await anyio.sleep(3.0)
        fleet.store.lose_answers = False
    elif fault == "half of the store answers lost":
        fleet.store.lose_share = 0.5
    elif fault == "order answers lost":
        for runner in fleet.runners:
            runner.lose_order_answers = True
    elif fault == "orders to one engine 3 s late":
        fleet.runners[0].late_orders_s = 3.0
    elif fault == "restart of all nodes":
        await restart_all(fleet)


async def wait_for_first_order(fleet_run):
    for _ in itertools.count():
        if fleet_run.orders():
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


@when('target version {version:d} is set, with fault "{fault}"')
def step_target_set(context, version, fault):
    async def action(fleet_run):
        set_target_version(fleet_run, version)
        await inject_fault(fleet_run, fault)

    context.fleet_run.actions.append(action)


@when("target versions {first:d} and {second:d} are set {seconds:g} seconds apart")
def step_two_targets_set(context, first, second, seconds):
    async def action(fleet_run):
        set_target_version(fleet_run, first)
        fleet_run.first_target_set_s = fleet_run.target_set_s
        await anyio.sleep(seconds)
        set_target_version(fleet_run, second)

    context.fleet_run.actions.append(action)


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    async def action(fleet_run):
        await anyio.sleep(seconds)
        fleet_run.num_running = sum(runner.num_running for runner in fleet_run.fleet.runners)

    context.fleet_run.actions.append(action)


@when("generation requests are sent for {seconds:g} seconds")
def step_generations(context, seconds):
    async def action(fleet_run):
        end_s = anyio.current_time() + seconds
        nodes = itertools.cycle(list(fleet_run.fleet.nodes.values()))
        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                if anyio.current_time() >= end_s:
                    break
                tasks.start_soon(send_generation, fleet_run, next(nodes), f"q{number}")
                await anyio.sleep(REQUEST_INTERVAL_S)

    context.fleet_run.actions.append(action)


async def send_generation(fleet_run, node, request_id):
    headers = generation_headers(request_id, parts=f"aa:800,{request_id}:200")
    fleet_run.answers.append(await ask(node, "/a/1", headers=headers))


@when("a stream that lasts for an hour begins on every engine")
def step_long_streams(context):
    context.fleet_run.routes = [
        route("note", "/n/", "streaming", service="lm", max_attempts=1, timeout_ms=3_600_000)
    ]

    async def action(fleet_run):
        for number, runner in enumerate(fleet_run.fleet.runners):
            runner.faults.extend(["stall"] * 3)
            node = fleet_run.fleet.nodes["node-1"]
            headers = generation_headers(f"long-{number}", parts=f"p{number}:800,q{number}:200")
            fleet_run.fleet.tasks.start_soon(partial(ask, node, "/n/1", headers=headers))
        await anyio.sleep(0.5)
        context.num_streams = sum(runner.num_running for runner in fleet_run.fleet.runners)

    context.fleet_run.actions.append(action)


@then("no stream was interrupted")
def step_not_interrupted(context):
    assert context.num_streams >= context.fleet_run.num_runners - 2, context.num_streams
    assert context.fleet_run.num_running == context.num_streams


@when("a node restarts {seconds:g} seconds later")
def step_restart(context, seconds):
    async def action(fleet_run):
        await anyio.sleep(seconds)
        fleet_run.fleet.kill("node-1")
        node = await fleet_run.fleet.start_node("node-1", is_first_start=False)
        await anyio.sleep(0.5)
        fleet_run.answers.append(await ask(node, "/a/1", headers=generation_headers()))

    context.fleet_run.actions.append(action)


@when(
    "a node restarts {wait_s:g} seconds later and gets generation requests for {seconds:g} seconds"
)
def step_restart_and_send(context, wait_s, seconds):
    async def action(fleet_run):
        await anyio.sleep(wait_s)
        fleet_run.fleet.kill("node-1")
        node = await fleet_run.fleet.start_node("node-1", is_first_start=False)
        await anyio.sleep(0.2)
        end_s = anyio.current_time() + seconds
        for number in itertools.count():
            if anyio.current_time() >= end_s:
                break
            await send_generation(fleet_run, node, f"q{number}")
            await anyio.sleep(REQUEST_INTERVAL_S)

    context.fleet_run.actions.append(action)


@then("no request began on version 1 later than {seconds:g} seconds after the first target was set")
def step_no_late_first(context, seconds):
    fleet_run = context.fleet_run.run()
    began = [
        run.began_s - fleet_run.first_target_set_s
        for runner in fleet_run.fleet.runners
        for run in runner.runs
    ]
    assert all(delay_s <= seconds for delay_s in began), max(began)
    assert fleet_run.answers[-1].status == 503, fleet_run.answers[-1]


@then("the node still sends requests to version {version:d}")
def step_still_sends(context, version):
    fleet_run = context.fleet_run.run()
    assert [answer.status for answer in fleet_run.answers] == [200], fleet_run.answers
    assert {run.version for runner in fleet_run.fleet.runners for run in runner.runs} == {version}


@then("every engine has version {version:d}")
def step_all_have(context, version):
    fleet_run = context.fleet_run.run()
    assert [runner.version for runner in fleet_run.fleet.runners] == [
        version
    ] * fleet_run.num_runners


@then("orders of two nodes are at least {seconds:g} seconds apart")
def step_order_gap(context, seconds):
    orders = context.fleet_run.orders()
    for (earlier_s, earlier), (later_s, later) in itertools.combinations(orders, 2):
        if earlier["holder"] != later["holder"]:
            assert later_s - earlier_s >= seconds, (earlier, later)


@then("every order has a fencing token no lower than the order before it")
def step_tokens(context):
    tokens = [order["fence_token"] for _, order in context.fleet_run.orders()]
    assert tokens and tokens == sorted(tokens), tokens


@then("no two nodes sent orders with the same fencing token")
def step_own_tokens(context):
    holders = {}
    for _, order in context.fleet_run.orders():
        holders.setdefault(order["fence_token"], set()).add(order["holder"])
    assert all(len(names) == 1 for names in holders.values()), holders


@then(
    "no request began on version {version:d} later than {seconds:g} seconds after the target was set"
)
def step_no_late_request(context, version, seconds):
    fleet_run = context.fleet_run.run()
    began = [
        run.began_s - fleet_run.target_set_s
        for runner in fleet_run.fleet.runners
        for run in runner.runs
        if run.version == version
    ]
    assert began and max(began) <= seconds, max(began)


@then("at most {count:d} of the requests were refused by an engine")
def step_refused(context, count):
    fleet_run = context.fleet_run.run()
    num_runs = sum(len(runner.runs) for runner in fleet_run.fleet.runners)
    num_arrivals = sum(len(runner.arrivals) for runner in fleet_run.fleet.runners)
    assert num_arrivals - num_runs <= count, (num_arrivals, num_runs)
    assert {answer.status for answer in fleet_run.answers} == {200}


@then("each request had the cache scope of the version on which it ran")
def step_scopes(context):
    for runner in context.fleet_run.fleet.runners:
        for run in runner.runs:
            assert run.salt == f"{MODEL}@{run.version}", run


@then("{count:d} orders were sent")
def step_order_count(context, count):
    assert len(context.fleet_run.orders()) == count, context.fleet_run.orders()


@when("node-3 registers again and the holder of the duty is killed")
def step_holder_killed(context):
    async def action(fleet_run):
        fleet = fleet_run.fleet
        holder = fleet_run.holder().settings.name
        assert holder != "node-3", "the first node is expected to hold the duty"
        fleet.kill("node-3")
        await anyio.sleep(8.0)
        await fleet.start_node("node-3")
        await anyio.sleep(1.0)
        fleet.kill(holder)

    context.fleet_run.actions.append(action)


@then("{name} is the holder of the duty")
def step_holds(context, name):
    holders = []

    async def action(fleet_run):
        holders.extend(
            node_name for node_name, node in fleet_run.fleet.nodes.items() if node._lease.is_held()
        )

    context.fleet_run.actions.append(action)
    context.fleet_run.run()
    assert holders == [name], holders


@then("a node of rank {rank:d} waits {seconds:g} seconds")
def step_rank_delay(context, rank, seconds):
    assert abs(rank_delay_s(rank) - seconds) < 1e-9


@when(
    "target version {version:d} is set and the holder stops between the beginning of a load and its "
    "order"
)
def step_stops_with_loads(context, version):
    async def action(fleet_run):
        fleet = fleet_run.fleet
        holder = fleet_run.holder()
        set_target_version(fleet_run, version)
        for _ in range(MAX_WAITS):
            ordered = {runner.instance for runner in fleet.runners if runner.orders}
            waiting = holder._weights_rollout._loading - ordered
            if ordered and waiting:
                break
            if ordered:
                unordered = [runner for runner in fleet.runners if runner.instance not in ordered]
                fleet.cuts.update((holder.settings.name, runner.address) for runner in unordered)
            await anyio.sleep(0.02)
        assert ordered and waiting, "no load had begun without its order"
        await anyio.sleep(0.1)
        fleet.cuts.clear()
        holder.is_stopping = True
        await holder.leave()

    context.fleet_run.actions.append(action)


@given("a holder that has sent no order yet")
def step_holder(context):
    """Do nothing; each run creates its own holder."""


@when("{count:d} loads acquire the order fence at once, repeatedly for {seconds:d} seconds")
def step_acquire_fence(context, count, seconds):
    context.acquired = []
    context.has_record = []
    for seed in range(NUM_STORE_SEEDS):
        acquire_fence(context, seed, count, seconds)


def acquire_fence(context, seed, count, seconds):
    """Acquire the fence concurrently at a store that may answer in another order."""
    fleet = Fleet()
    fleet.store.random = Random(seed)
    fleet.store.jitter_s = JITTER_S

    async def body():
        fleet.store.put("op/config", configuration())
        node = await fleet.start_node()

        async def acquire():
            context.acquired.append(await node.order_fence.acquire())

        for _ in range(seconds):
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(acquire)
            await anyio.sleep(1.0)
        await anyio.sleep(MIN_ORDER_GAP_S - 1.0 - SLACK_S)
        fleet.store._expire()
        context.has_record.append(FENCE_KEY in fleet.store.items)

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then("each load may send its order")
def step_all_acquired(context):
    assert all(context.acquired), context.acquired


@then("the fence record outlives the last order by {seconds:g} seconds")
def step_record(context, seconds):
    assert seconds == MIN_ORDER_GAP_S
    assert all(context.has_record), context.has_record
