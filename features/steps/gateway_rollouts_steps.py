import base64
import json
from functools import partial

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    generation_headers,
    with_fleet,
)
from features.support.platform_runner import NUM_EVENTS, RunnerStandIn
from features.support.platform_words import parse_events
from features.support.rollouts_fleet import (
    DEADLINE_S,
    ORDER_KEY,
    RECORD_KEY,
    SETTLE_S,
    SHARE,
    STATUS_KEY,
    TOLERANCE,
    Misbehaviour,
    RolloutRun,
    reported_states,
    rule_violations,
    served_share,
    stage_records,
)
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, encode_record
from weirscale.gateway.routing.load import Load
from weirscale.gateway.settings import CanaryLimits

VERSIONS = {
    "sound": None,
    "failing always": Misbehaviour(1.0),
    "failing half the time": Misbehaviour(0.5),
    "failing half the time from 3 s on": Misbehaviour(0.5, from_s=3.0),
    "failing on one route": Misbehaviour(0.7, path="/r/"),
    "five times slower": Misbehaviour(slow_factor=5.0),
    "never started": None,
    "failing on one runner": None,
}
RUNNERS_START_S = 0.3


@given('a rollout of a version that is "{version}"')
def step_rollout(context, version):
    context.version = version
    misbehaviour = VERSIONS[version]
    context.rollout = RolloutRun(misbehaviours={"v2": misbehaviour} if misbehaviour else {})
    context.is_bad = misbehaviour is not None


async def order_and_start_runners(rollout, version):
    rollout.order()
    if version == "never started":
        return
    await anyio.sleep(RUNNERS_START_S)
    rollout.add_runners("v2")
    if version == "failing on one runner":
        make_one_runner_fail(rollout)


def make_one_runner_fail(rollout):
    """Make one runner of the target fail, which does not make its version bad."""
    runner = next(runner for runner in rollout.fleet.runners if runner.version_name == "v2")
    runner.misbehaviour = Misbehaviour(0.6)


@when("the rollout runs")
def step_run(context):
    run_in_virtual_time(
        partial(context.rollout.run, partial(order_and_start_runners, version=context.version))
    )


@when(
    "its runners start, all nodes restart {first_s:g} s later and it is ordered {second_s:g} s "
    "after that"
)
def step_young_nodes(context, first_s, second_s):
    async def script(rollout):
        rollout.add_runners("v2")
        await anyio.sleep(first_s)
        await rollout.restart_all_nodes()
        await anyio.sleep(second_s)
        rollout.order()

    run_in_virtual_time(partial(context.rollout.run, script))


@when("all nodes restart and the serving version is ordered {seconds:g} s after that")
def step_young_nodes_old_version(context, seconds):
    async def script(rollout):
        await rollout.restart_all_nodes()
        await anyio.sleep(seconds)
        rollout.order("v1")

    run_in_virtual_time(partial(context.rollout.run, script))


FAULTS = {}


def fault(name):
    def register(function):
        FAULTS[name] = function
        return function

    return register


@when('the fault "{name}" happens {at_s:f} s after the order')
def step_fault(context, name, at_s):
    async def script(rollout):
        await order_and_start_runners(rollout, context.version)
        await anyio.sleep(max(0.0, at_s - RUNNERS_START_S))
        await FAULTS[name](rollout)

    context.fault = name
    run_in_virtual_time(partial(context.rollout.run, script))


@fault("the lease holder is killed")
async def _kill_holder(rollout):
    rollout.fleet.kill(rollout.holder())


@fault("the lease holder is partitioned")
async def _cut_holder(rollout):
    rollout.partition(rollout.holder())
    await anyio.sleep(6.0)
    rollout.heal()


@fault("a node stays partitioned")
async def _cut_one(rollout):
    rollout.partition(next(name for name in rollout.fleet.nodes if name != rollout.holder()))


@fault("the store is down for 3 s")
async def _store_down(rollout):
    rollout.fleet.store.is_down = True
    await anyio.sleep(3.0)
    rollout.fleet.store.is_down = False


@fault("the store is slow")
async def _store_slow(rollout):
    rollout.fleet.store.jitter_s = 0.3


@fault("answers of the store are lost")
async def _lose_answers(rollout):
    rollout.fleet.store.lose_share = 0.5


@fault("the store compacts its history")
async def _compact(rollout):
    rollout.fleet.store.compact()


@fault("all nodes are killed")
async def _kill_all(rollout):
    await rollout.restart_all_nodes()


@fault("another node starts")
async def _start_one(rollout):
    await rollout.fleet.start_node("node-late", is_first_start=False)


@fault("a target runner crashes")
async def _crash_target(rollout):
    rollout.crash("v2")


@fault("an old runner crashes")
async def _crash_old(rollout):
    rollout.crash("v1")


@fault("all target runners crash")
async def _crash_targets(rollout):
    rollout.crash("v2", 99)


@fault("the order is withdrawn")
async def _withdraw(rollout):
    rollout.fleet.store.delete(ORDER_KEY)


@fault("the order is written again")
async def _order_again(rollout):
    rollout.order()


@fault("another target is ordered")
async def _order_other(rollout):
    rollout.order(target="v3")
    await anyio.sleep(RUNNERS_START_S)
    rollout.add_runners("v3")


@fault("all nodes are killed and the old version is ordered")
async def _kill_and_order_old(rollout):
    rollout.order(target="v1")
    await rollout.restart_all_nodes()


@fault("the old version is ordered")
async def _order_old(rollout):
    rollout.order(target="v1")


@then('the rollout ended as "{end}" and violated no rule')
def step_ended(context, end):
    rollout = context.rollout
    violations = rule_violations(rollout, is_bad=context.is_bad)
    assert not violations, (violations, reported_states(rollout), stage_log(rollout))
    final_states = [
        state for target, state in reported_states(rollout) if target == "v2" and state != "active"
    ]
    if end == "any end":
        assert len(final_states) <= 1, final_states
    else:
        assert final_states == [end], (final_states, stage_log(rollout))


def stage_log(rollout):
    return [
        (round(at_s - rollout.ordered_s, 2), record.stage.value, record.reason, record.evidence)
        for at_s, record in stage_records(rollout)
    ]


@then('operators read the states "{expected}"')
def step_read(context, expected):
    states = ", ".join(state for _, state in reported_states(context.rollout))
    if expected == "any end":
        assert states in ("active, completed", "active, reverted"), states
    else:
        assert states == expected, states


@then("at least {share:f} of the requests succeeded")
def step_served(context, share):
    served = served_share(context.rollout)
    assert served >= share, served


@when('an invalid order with "{problem}" is written')
def step_bad_order(context, problem):
    entry = {"service": "orders", "target_version": "v2", "deadline_s": DEADLINE_S}
    if problem == "no target":
        del entry["target_version"]
    if problem == "a deadline of 0":
        entry["deadline_s"] = 0
    if problem == "another service":
        entry["service"] = "other"
    value = b"{" if problem == "invalid JSON" else json.dumps(entry).encode()

    async def script(rollout):
        rollout.ordered_s = anyio.current_time()
        rollout.fleet.store.put(ORDER_KEY, value)

    run_in_virtual_time(partial(context.rollout.run, script, 2.0))


@then("all requests still go to the old version and no status is written")
def step_order_ignored(context):
    rollout = context.rollout
    assert not rollout.statuses and not rollout.stages
    assert {arrival.version for arrival in rollout.arrivals} == {"v1"}
    assert served_share(rollout) >= 0.97


@then('the log contains the event "{event}"')
def step_log_event(context, event):
    assert any(log.named(event) for log in context.rollout.fleet.logs.values())


@when("an order for an unknown service is written")
def step_unknown_service(context):
    async def script(rollout):
        rollout.ordered_s = anyio.current_time()
        rollout.order(service="nobody", deadline_s=6.0)

    run_in_virtual_time(partial(context.rollout.run, script, 7.0))


@then('operators read the state "{state}" for the unknown service by its deadline')
def step_unknown_end(context, state):
    rollout = context.rollout
    item = rollout.fleet.store.items["status/rollout/nobody"]
    assert json.loads(base64.b64decode(item["value"]))["state"] == state
    assert served_share(rollout) >= 0.97


@when('the store holds an order and the status "{state}" before any node starts')
def step_stored_status(context, state):
    rollout = context.rollout
    rollout.ordered_s = 0.0
    rollout.order()
    rollout.fleet.store.put(STATUS_KEY, {"state": state, "target_version": "v2"})
    rollout.add_runners("v2")

    async def script(_world):
        await anyio.sleep(0.1)

    run_in_virtual_time(partial(rollout.run, script, 3.0))


@then('no rollout record is written and requests go to "{version}"')
def step_no_record(context, version):
    rollout = context.rollout
    assert RECORD_KEY not in rollout.fleet.store.items
    late = [
        arrival for arrival in rollout.arrivals if arrival.at_s > rollout.requests[0].at_s + 1.0
    ]
    assert {arrival.version for arrival in late} == {version}


@given("a lease holder that knows only an earlier revision of the rollout record")
def step_stale(context):
    context.rollout = RolloutRun()


@when("the lease holder writes the next stage")
def step_stale_write(context):
    rollout = context.rollout
    record = RolloutRecord("orders", Epoch(5), "v2", Stage.CANARY, 1.0, 1)
    later = RolloutRecord("orders", Epoch(5), "v2", Stage.ROLLED_BACK, 2.0, 2)

    async def body():
        rollout.fleet.store.put(RECORD_KEY, encode_record(record))
        node = await rollout.fleet.start_node("node-1")
        await anyio.sleep(SETTLE_S)
        holder = node._rollout_holder
        # The node is suspended while another holder decides.
        known_revision = node.cluster.revision_of(RECORD_KEY)
        rollout.fleet.store.put(RECORD_KEY, encode_record(later))
        node.cluster._revisions[RECORD_KEY] = known_revision
        moved = RolloutRecord("orders", Epoch(5), "v2", Stage.MOVING, 2.0, 1)
        context.is_written = await holder._writer.write_record(moved)
        context.value = rollout.fleet.store.items[RECORD_KEY]["value"]
        context.expected = base64.b64encode(encode_record(later)).decode()

    run_in_virtual_time(partial(with_fleet, rollout.fleet, body))


@then("the record in the store is unchanged")
def step_unchanged(context):
    assert not context.is_written
    assert context.value == context.expected


@when('it is rolled back, and then a version "{target}" is ordered that fails half the time')
def step_second_order(context, target):
    rollout = context.rollout
    rollout.misbehaviours[target] = Misbehaviour(0.5)

    async def script(rollout):
        await order_and_start_runners(rollout, context.version)
        await anyio.sleep(5.0)
        context.second_s = anyio.current_time()
        rollout.order(target=target)
        await anyio.sleep(RUNNERS_START_S)
        rollout.add_runners(target)

    run_in_virtual_time(partial(rollout.run, script, 5.0 + DEADLINE_S))


@then('no more requests reached "{target}" than the share and the tolerance allow')
def step_second_exposure(context, target):
    rollout = context.rollout
    arrivals = [arrival for arrival in rollout.arrivals if arrival.version == target]
    requests = [request for request in rollout.requests if request.at_s >= context.second_s]
    assert arrivals and len(arrivals) <= SHARE * len(requests) + TOLERANCE, (
        len(arrivals),
        len(requests),
    )


@then('the states of the target "{target}" were "{expected}"')
def step_target_read(context, target, expected):
    states = [
        state
        for status_target, state in reported_states(context.rollout)
        if status_target == target
    ]
    assert ", ".join(states) == expected, reported_states(context.rollout)


def make_stream_fleet(target_faults):
    """Return a fleet with three old streaming runners, its runners, and a function.

    The function adds three runners of the target version.
    """
    fleet = Fleet(canary=CanaryLimits(SHARE, TOLERANCE, 5.0))
    fleet.store.put("op/config", configuration())
    runners = {"v1": [], "v2": []}

    def add(version, number, faults):
        runner = StreamRunner(f"{version}-{number}", f"10.3.{version[1:]}.{number}:8080", "lm")
        runner.version_name = version
        runner.faults = faults
        runner.names_request = True
        fleet.add_runner(runner)
        runners[version].append(runner)

    for number in range(3):
        add("v1", number, [])

    def add_target():
        for number in range(3):
            add("v2", number, list(target_faults))

    return fleet, runners, add_target


class StreamRunner(RunnerStandIn):
    """A streaming runner of one version of the service's program."""

    version_name = "v1"

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version_name}


async def order_and_wait(fleet, add_target):
    for number in range(2):
        await fleet.start_node(f"node-{number + 1}")
    await anyio.sleep(SETTLE_S)
    entry = {"service": "lm", "target_version": "v2", "deadline_s": DEADLINE_S}
    fleet.store.put("op/rollout/lm", entry)
    await anyio.sleep(RUNNERS_START_S)
    add_target()
    await anyio.sleep(1.0)


@given("streaming runners of two versions, of which the newer breaks every stream")
def step_breaking(context):
    context.fleet, context.runners, context.add_target = make_stream_fleet(["break"] * 99)


@when("{count:d} resumable streams are requested while the newer version is a canary")
def step_streams(context, count):
    context.answers = []

    async def request_stream(node, number):
        headers = generation_headers(f"q{number}", parts=f"a{number % 7}:300,b{number}:50")
        context.answers.append(await ask(node, "/a/x", headers=headers))

    async def body():
        await order_and_wait(context.fleet, context.add_target)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                node = context.fleet.nodes[f"node-{number % 2 + 1}"]
                tasks.start_soon(request_stream, node, number)
                await anyio.sleep(0.05)

    run_in_virtual_time(partial(with_fleet, context.fleet, body))


@then("some streams began at the newer version")
def step_some_began(context):
    assert sum(len(runner.runs) for runner in context.runners["v2"]) >= 3


def events_of(answer):
    """Return the numbers of an answer's complete events, and the versions that made them."""
    numbers, origins = parse_events(answer.body.decode())
    return numbers, {origin.rpartition(" ")[2].split("-")[0] for origin in origins}


@then(
    "each caller got events of one version only, once and in order, and no cut answer looks complete"
)
def step_one_version(context):
    assert len(context.answers) == 150
    for answer in context.answers:
        numbers, versions = events_of(answer)
        assert len(versions) <= 1, answer
        assert numbers == tuple(range(1, len(numbers) + 1)), answer
        is_whole = len(numbers) == NUM_EVENTS
        assert answer.is_complete == is_whole or answer.status != 200, answer


@then("each stream that the older version began is complete")
def step_older_complete(context):
    older = [answer for answer in context.answers if events_of(answer)[1] == {"v1"}]
    assert len(older) >= 100
    assert all(answer.is_complete for answer in older)


@then("the newer version got no more requests than its allowance")
def step_allowance(context):
    num_arrived = sum(len(runner.arrivals) for runner in context.runners["v2"])
    assert num_arrived <= SHARE * len(context.answers) + TOLERANCE, num_arrived


@given("streaming runners of two versions, of which the older is full")
def step_full(context):
    context.fleet, context.runners, context.add_target = make_stream_fleet([])


@when("streams of both versions are to be continued while the newer version is a canary")
def step_continue(context):
    async def body():
        await order_and_wait(context.fleet, context.add_target)
        traffic = context.fleet.nodes["node-1"].canary_traffic
        for _ in range(20):
            traffic.record_request("lm")
        context.num_continued = {
            version: sum(traffic.try_continue("lm", version) for _ in range(100))
            for version in ("v1", "v2")
        }

    run_in_virtual_time(partial(with_fleet, context.fleet, body))


@then("a few of the newer version may be, and none of the older as a canary")
def step_few_continued(context):
    assert context.num_continued["v1"] == 0
    assert 1 <= context.num_continued["v2"] <= TOLERANCE, context.num_continued


@when("a request that would wait too long arrives while the newer version is a canary")
def step_request_full(context):
    async def body():
        await order_and_wait(context.fleet, context.add_target)
        node = context.fleet.nodes["node-1"]
        for runner in context.runners["v1"]:
            node.load.receive("node-9", runner.instance, Load(40, 400_000, 90_000), node._clock())
        # The allowance suffices for a canary request; only the capacity is lacking.
        for _ in range(20):
            node.canary_traffic.record_request("lm")
        headers = generation_headers("full", x_deadline_ms=4000)
        context.answer = await ask(node, "/a/x", headers=headers)

    run_in_virtual_time(partial(with_fleet, context.fleet, body))


@then("the request is refused with Retry-After, and the newer version got no request")
def step_refused(context):
    assert context.answer.status == 503 and context.answer.header("retry-after")
    assert not any(runner.arrivals for runner in context.runners["v2"])
