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
from features.support.rollouts_fleet import (
    CALM_S,
    DEADLINE_S,
    ORDER_KEY,
    RECORD_KEY,
    SHARE,
    STATUS_KEY,
    TOLERANCE,
    Badness,
    World,
    problems,
    served_share,
    stage_records,
    states,
)
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, encode_record
from weirscale.gateway.routing.load import Load
from weirscale.gateway.settings import CanaryLimits

VERSIONS = {
    "sound": None,
    "failing always": Badness(1.0),
    "failing half": Badness(0.5),
    "failing half from 3 s on": Badness(0.5, from_s=3.0),
    "failing on one route": Badness(0.7, path="/r/"),
    "five times slower": Badness(slow_factor=5.0),
    "never there": None,
    "failing on one runner": None,
}
RUNNERS_COME_S = 0.3


@given('a rollout of a version that is "{version}"')
def step_world(context, version):
    context.version = version
    bad = VERSIONS[version]
    context.world = World(badness={"v2": bad} if bad else {})
    context.is_bad = bad is not None


async def begin(world, version):
    world.order()
    if version == "never there":
        return
    await anyio.sleep(RUNNERS_COME_S)
    world.add_runners("v2")
    if version == "failing on one runner":
        make_one_fail(world)


def make_one_fail(world):
    """Let one runner of the target fail, which is no fault of its version."""
    bad = next(one for one in world.fleet.runners if one.version_name == "v2")
    bad.badness = Badness(0.6)


@when("it is played")
def step_play(context):
    run_in_virtual_time(partial(context.world.play, partial(begin, version=context.version)))


@when(
    "its runners come, all nodes start anew {first_s:g} s later and it is ordered {second_s:g} s "
    "after that"
)
def step_young_nodes(context, first_s, second_s):
    async def script(world):
        world.add_runners("v2")
        await anyio.sleep(first_s)
        await world.restart_all()
        await anyio.sleep(second_s)
        world.order()

    run_in_virtual_time(partial(context.world.play, script))


@when("all nodes start anew and the version that serves is ordered {seconds:g} s after that")
def step_young_nodes_old_version(context, seconds):
    async def script(world):
        await world.restart_all()
        await anyio.sleep(seconds)
        world.order("v1")

    run_in_virtual_time(partial(context.world.play, script))


FAULTS = {}


def fault(name):
    def register(function):
        FAULTS[name] = function
        return function

    return register


@when('"{name}" happens {at_s:f} s after the order')
def step_fault(context, name, at_s):
    async def script(world):
        await begin(world, context.version)
        await anyio.sleep(max(0.0, at_s - RUNNERS_COME_S))
        await FAULTS[name](world)

    context.fault = name
    run_in_virtual_time(partial(context.world.play, script))


@fault("the holder is killed")
async def _kill_holder(world):
    world.fleet.kill(world.holder())


@fault("the holder is cut off")
async def _cut_holder(world):
    world.cut_off(world.holder())
    await anyio.sleep(6.0)
    world.heal()


@fault("one node is cut off for good")
async def _cut_one(world):
    world.cut_off(next(name for name in world.fleet.nodes if name != world.holder()))


@fault("the store is down for 3 s")
async def _store_down(world):
    world.fleet.store.is_down = True
    await anyio.sleep(3.0)
    world.fleet.store.is_down = False


@fault("the store is slow")
async def _store_slow(world):
    world.fleet.store.jitter_s = 0.3


@fault("answers of the store are lost")
async def _lose_answers(world):
    world.fleet.store.lose_share = 0.5


@fault("the store forgets its history")
async def _compact(world):
    world.fleet.store.compact()


@fault("all nodes are killed")
async def _kill_all(world):
    await world.restart_all()


@fault("a node starts")
async def _start_one(world):
    await world.fleet.start_node("node-late", is_first_start=False)


@fault("a target's runner crashes")
async def _crash_target(world):
    world.crash("v2")


@fault("an old runner crashes")
async def _crash_old(world):
    world.crash("v1")


@fault("all targets crash")
async def _crash_targets(world):
    world.crash("v2", 99)


@fault("the order is withdrawn")
async def _withdraw(world):
    world.fleet.store.delete(ORDER_KEY)


@fault("the order is written again")
async def _order_again(world):
    world.order()


@fault("another target is ordered")
async def _order_other(world):
    world.order(target="v3")
    await anyio.sleep(RUNNERS_COME_S)
    world.add_runners("v3")


@fault("all are killed, the old ordered")
async def _kill_and_order_old(world):
    world.order(target="v1")
    await world.restart_all()


@fault("the old version is ordered")
async def _order_old(world):
    world.order(target="v1")


@then('it ended "{end}" and nothing happened that must not')
def step_ended(context, end):
    world = context.world
    found = problems(world, is_bad=context.is_bad)
    assert not found, (found, states(world), stage_log(world))
    told = [state for target, state in states(world) if target == "v2" and state != "active"]
    if end == "any end":
        assert len(told) <= 1, told
    else:
        assert told == [end], (told, stage_log(world))


def stage_log(world):
    return [
        (round(at_s - world.ordered_s, 2), record.stage.value, record.reason, record.evidence)
        for at_s, record in stage_records(world)
    ]


@then('the operators read "{told}"')
def step_read(context, told):
    found = ", ".join(state for _, state in states(context.world))
    if told == "any end":
        assert found in ("active, completed", "active, reverted"), found
    else:
        assert found == told, found


@then("at least {share:f} of the requests were answered with success")
def step_served(context, share):
    served = served_share(context.world)
    assert served >= share, served


@when('an order with "{problem}" is written instead')
def step_bad_order(context, problem):
    entry = {"service": "orders", "target_version": "v2", "deadline_s": DEADLINE_S}
    if problem == "no target":
        del entry["target_version"]
    if problem == "a deadline of 0":
        entry["deadline_s"] = 0
    if problem == "another service":
        entry["service"] = "other"
    value = b"{" if problem == "no JSON" else json.dumps(entry).encode()

    async def script(world):
        world.ordered_s = anyio.current_time()
        world.fleet.store.put(ORDER_KEY, value)

    run_in_virtual_time(partial(context.world.play, script, 2.0))


@then("all requests go on to the old version and no status is written")
def step_unharmed(context):
    world = context.world
    assert not world.statuses and not world.stages
    assert {one.version for one in world.arrivals} == {"v1"}
    assert served_share(world) >= 0.97


@then('the log says "{event}"')
def step_log_says(context, event):
    assert any(log.named(event) for log in context.world.fleet.logs.values())


@when("an order for an unknown service is written")
def step_unknown_service(context):
    async def script(world):
        world.ordered_s = anyio.current_time()
        world.order(service="nobody", deadline_s=6.0)

    run_in_virtual_time(partial(context.world.play, script, 7.0))


@then('operators read of it "{state}" by its deadline')
def step_unknown_end(context, state):
    world = context.world
    item = world.fleet.store.items["status/rollout/nobody"]
    assert json.loads(base64.b64decode(item["value"]))["state"] == state
    assert served_share(world) >= 0.97


@when('the store holds an order and the status "{state}" from before all nodes')
def step_stands(context, state):
    world = context.world
    world.ordered_s = 0.0
    world.order()
    world.fleet.store.put(STATUS_KEY, {"state": state, "target_version": "v2"})
    world.add_runners("v2")

    async def script(_world):
        await anyio.sleep(0.1)

    run_in_virtual_time(partial(world.play, script, 3.0))


@then('no record is written and requests go to "{version}"')
def step_no_record(context, version):
    world = context.world
    assert RECORD_KEY not in world.fleet.store.items
    late = [one for one in world.arrivals if one.at_s > world.asked[0].at_s + 1.0]
    assert {one.version for one in late} == {version}


@given("a record of which a holder knows an earlier revision")
def step_stale(context):
    context.world = World()


@when("it writes the next stage")
def step_stale_write(context):
    world = context.world
    record = RolloutRecord("orders", Epoch(5), "v2", Stage.CANARY, 1.0, 1)
    later = RolloutRecord("orders", Epoch(5), "v2", Stage.ROLLED_BACK, 2.0, 2)

    async def body():
        world.fleet.store.put(RECORD_KEY, encode_record(record))
        node = await world.fleet.start_node("node-1")
        await anyio.sleep(CALM_S)
        holder = node._rollout_holder
        # The node stands still while another holder decides.
        known = node.cluster.revision_of(RECORD_KEY)
        world.fleet.store.put(RECORD_KEY, encode_record(later))
        node.cluster._revisions[RECORD_KEY] = known
        moved = RolloutRecord("orders", Epoch(5), "v2", Stage.MOVING, 2.0, 1)
        context.is_written = await holder._writer.write_record(moved)
        context.value = world.fleet.store.items[RECORD_KEY]["value"]
        context.expected = base64.b64encode(encode_record(later)).decode()

    run_in_virtual_time(partial(with_fleet, world.fleet, body))


@then("the store's record is as before")
def step_as_before(context):
    assert not context.is_written
    assert context.value == context.expected


@when('it is returned, and then a version "{target}" is ordered that fails half of its answers')
def step_second(context, target):
    world = context.world
    world.badness[target] = Badness(0.5)

    async def script(world):
        await begin(world, context.version)
        await anyio.sleep(5.0)
        context.second_s = anyio.current_time()
        world.order(target=target)
        await anyio.sleep(RUNNERS_COME_S)
        world.add_runners(target)

    run_in_virtual_time(partial(world.play, script, 5.0 + DEADLINE_S))


@then('no more requests tried "{target}" than its share and the tolerance')
def step_second_exposure(context, target):
    world = context.world
    tried = [one for one in world.arrivals if one.version == target]
    asked = [one for one in world.asked if one.at_s >= context.second_s]
    assert tried and len(tried) <= SHARE * len(asked) + TOLERANCE, (len(tried), len(asked))


@then('the operators read of "{target}" "{told}"')
def step_second_read(context, target, told):
    found = [state for one, state in states(context.world) if one == target]
    assert ", ".join(found) == told, states(context.world)


def stream_world(faults_of_new):
    """Return a fleet with three old runners of streams, and what adds three of the target."""
    fleet = Fleet(canary=CanaryLimits(SHARE, TOLERANCE, 5.0))
    fleet.store.put("op/config", configuration())
    runners = {"v1": [], "v2": []}

    def add(version, number, faults):
        runner = StreamRunner(f"{version}-{number}", f"10.3.{version[1:]}.{number}:8080", "lm")
        runner.version_name = version
        runner.faults = faults
        fleet.add_runner(runner)
        runners[version].append(runner)

    for number in range(3):
        add("v1", number, [])

    def add_target():
        for number in range(3):
            add("v2", number, list(faults_of_new))

    return fleet, runners, add_target


class StreamRunner(RunnerStandIn):
    """A runner of streams of one version of the service's program."""

    version_name = "v1"

    def entry(self, state="ready"):
        return super().entry(state) | {"version": self.version_name}


async def order_and_wait(fleet, add_target):
    for number in range(2):
        await fleet.start_node(f"node-{number + 1}")
    await anyio.sleep(CALM_S)
    entry = {"service": "lm", "target_version": "v2", "deadline_s": DEADLINE_S}
    fleet.store.put("op/rollout/lm", entry)
    await anyio.sleep(RUNNERS_COME_S)
    add_target()
    await anyio.sleep(1.0)


@given("runners of streams of two versions of which the newer breaks every stream")
def step_breaking(context):
    context.fleet, context.runners, context.add_target = stream_world(["break"] * 99)


@when("{count:d} resumable streams are asked for while the newer is tried")
def step_streams(context, count):
    context.answers = []

    async def one(node, number):
        headers = generation_headers(f"q{number}", parts=f"a{number % 7}:300,b{number}:50")
        context.answers.append(await ask(node, "/a/x", headers=headers))

    async def body():
        await order_and_wait(context.fleet, context.add_target)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                node = context.fleet.nodes[f"node-{number % 2 + 1}"]
                tasks.start_soon(one, node, number)
                await anyio.sleep(0.05)

    run_in_virtual_time(partial(with_fleet, context.fleet, body))


@then("some of them began at the newer version")
def step_some_began(context):
    assert sum(len(one.runs) for one in context.runners["v2"]) >= 3


@then("each caller got every event once and in order")
def step_whole(context):
    expected = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, NUM_EVENTS + 1))
    for answer in context.answers:
        assert answer.status == 200 and answer.is_complete and answer.body == expected, answer


@given("runners of streams of two versions of which the older is full")
def step_full(context):
    context.fleet, context.runners, context.add_target = stream_world([])


@when("a request that would wait too long asks while the newer is tried")
def step_asks_full(context):
    async def body():
        await order_and_wait(context.fleet, context.add_target)
        node = context.fleet.nodes["node-1"]
        for runner in context.runners["v1"]:
            node.load.receive("node-9", runner.instance, Load(40, 400_000, 90_000), node._clock())
        # The allowance is there: only the room is not.
        for _ in range(20):
            node.canary_traffic.record_request("lm")
        headers = generation_headers("full", x_deadline_ms=4000)
        context.answer = await ask(node, "/a/x", headers=headers)

    run_in_virtual_time(partial(with_fleet, context.fleet, body))


@then("it is told to come back, and the newer version got nothing")
def step_refused(context):
    assert context.answer.status == 503 and context.answer.header("retry-after")
    assert not any(one.arrivals for one in context.runners["v2"])
