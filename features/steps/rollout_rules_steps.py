from random import Random
from types import SimpleNamespace

from behave import given, then, when
from msgspec.structs import replace

from features.support.platform_fleet import EventRecorder
from features.support.verdict_ways import CANARY_DURATION_S, VersionModel, simulate
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder
from weirscale.gateway.ports.state_feed import (
    RecordChanged,
    RolloutOrdered,
    StateBatch,
    VersionedChange,
)
from weirscale.gateway.rollouts.allowance import Allowance, start_credit
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.rollouts.gate import Track, VersionGate
from weirscale.gateway.rollouts.plan import RolloutFacts, Step, next_record, next_step
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, encode_record, record_key
from weirscale.gateway.rollouts.tallies import Counts, FleetTallies, RouteEvidence, TallyKey
from weirscale.gateway.rollouts.verdict import AlarmTest, Judgement, Verdict, judge_completion
from weirscale.gateway.rollouts.view import RecordReader, RolloutView
from weirscale.gateway.settings import CanaryLimits
from weirscale.gateway.state.cluster_state import ClusterState

SHARE = 0.1
EPOCH = Epoch(5)


@given(
    "{nodes:d} nodes that learn of a rollout order, some of which are killed and restarted "
    "{restarts:d} times"
)
def step_nodes(context, nodes, restarts):
    context.num_nodes = nodes
    context.restarts = restarts


@when("they send {count:d} requests of the service in {histories:d} random histories")
def step_histories(context, count, histories):
    context.count = count
    context.random = Random(3)
    context.histories = histories


def simulate_canary_attempts(context, tolerance):
    """Return the number of canary attempts of a random history."""
    random = context.random
    bounds = CanaryLimits(SHARE, tolerance, 5.0)

    def new_allowance(has_seen_order):
        credit = start_credit(bounds, context.num_nodes, has_seen_order, random.random())
        return Allowance(SHARE, credit)

    allowances = [new_allowance(True) for _ in range(context.num_nodes)]
    kills = sorted(random.randrange(context.count) for _ in range(context.restarts))
    num_attempts = 0
    for number in range(context.count):
        if kills and number == kills[0]:
            kills.pop(0)
            allowances = [
                new_allowance(False) if random.random() < 0.7 else allowance
                for allowance in allowances
            ]
        allowance = random.choice(allowances)
        num_attempts += allowance.try_take()
        allowance.accrue()
    return num_attempts


@then("no history has more canary requests than 0.1 of the requests plus {tolerance:d}")
def step_within(context, tolerance):
    context.attempts = [
        simulate_canary_attempts(context, tolerance) for _ in range(context.histories)
    ]
    assert max(context.attempts) <= SHARE * context.count + tolerance, max(context.attempts)


@then("on average they use at least {used:g} of the share")
def step_used(context, used):
    mean = sum(context.attempts) / len(context.attempts)
    assert mean >= used * SHARE * context.count, mean


@given("a node that accrues credit for {count:d} requests and sends no canary request")
def step_accrues(context, count):
    context.allowance = Allowance(SHARE, 0.0)
    for _ in range(count):
        context.allowance.accrue()


@then("it may send {count:d} canary requests at once and no more")
def step_may_send(context, count):
    assert [context.allowance.try_take() for _ in range(count + 1)] == [True] * count + [False]


@given("100 random histories of tallies that five nodes exchange")
def step_tallies(context):
    context.excess = []
    context.lacking = []
    for seed in range(100):
        exchange_tallies(Random(seed), context)


def exchange_tallies(random, context):
    names = [f"n{number}" for number in range(5)]
    nodes = {name: FleetTallies() for name in names}
    key = TallyKey("s", EPOCH, "r", "")
    truth = Counts()
    messages = []
    for _ in range(60):
        name = random.choice(names)
        if random.random() < 0.6:
            answer = Counts(1, int(random.random() < 0.3), 0)
            nodes[name].record(key, answer)
            truth = truth.plus(answer)
        else:
            tallies = tuple(nodes[name].own.items())
            messages += [(name, other, tallies) for other in names if other != name]
        random.shuffle(messages)
        for sender, receiver, tallies in messages[: random.randrange(4)]:
            nodes[receiver].receive(sender, tallies)
        if random.random() < 0.5:
            messages = messages[random.randrange(3) :]
        for node in nodes.values():
            counted = node.sum_of(lambda _: True, include_own=True).get(key, Counts())
            if counted.elementwise_max(truth) != truth:
                context.excess.append(counted)
    for name in names:
        for other in names:
            if other != name:
                nodes[other].receive(name, tuple(nodes[name].own.items()))
    for node in nodes.values():
        if node.sum_of(lambda _: True, include_own=True).get(key, Counts()) != truth:
            context.lacking.append(truth)


@then("no node ever counted more answers than there were")
def step_no_excess(context):
    assert not context.excess, context.excess[0]


@then("after a last complete exchange every node counted all answers")
def step_all_counted(context):
    assert not context.lacking


class SingleBadRunner(VersionModel):
    """A sound version with a single failing runner."""

    def draw_counts(self, route, at_s, random):
        if random.random() < 0.25:
            return Counts(1, 1, 0)
        return Counts(1, 0, 0)


def version_of(share, how):
    models = {
        "everywhere": lambda: VersionModel(share),
        "on one route": lambda: VersionModel(share, routes=("short",)),
        "from 3 s on": lambda: VersionModel(share, from_s=3.0),
        "by being slow": lambda: VersionModel(0.0, slow_share=share),
        "on one runner": lambda: None,
    }
    return models[how]()


@given("30 simulations of a version with {share:g} more bad answers {how}")
def step_simulations(context, share, how):
    random = Random(17)
    context.num_detected = 0
    for _ in range(30):
        test = AlarmTest(2 * CANARY_DURATION_S)
        if how == "on one runner":
            context.num_detected += simulate_single_bad_runner(test, share, random)
        else:
            context.num_detected += simulate(test, version_of(share, how), random)[3]


def simulate_single_bad_runner(test, share, random):
    """Return whether the test raises an alarm if one of four runners fails a share of its requests."""
    old, target = Counts(), {}
    for step in range(30):
        old = old.plus(Counts(16, int(random.random() < 0.3), 0))
        for _ in range(2):
            runner = f"r{random.randrange(4)}"
            fails = runner == "r0" and random.random() < share
            target[runner] = target.get(runner, Counts()).plus(Counts(1, int(fails), 0))
        if test.check({"a": RouteEvidence(old, dict(target))}, 0.2 * step):
            return True
    return False


@then(
    "it is called bad before its 50th bad answer in at least {least:d} and at most {most:d} of them"
)
def step_detected(context, least, most):
    assert least <= context.num_detected <= most, context.num_detected


@given("a route on which 6 of the old version's 300 answers were bad")
def step_old(context):
    context.old = Counts(300, 6, 0)


@when("{bad:d} of the target's {trials:d} answers were bad")
def step_target(context, trials, bad):
    target = {"r1": Counts(trials, bad, 0)} if trials else {}
    context.verdict = judge_completion({"a": RouteEvidence(context.old, target)}, None)


@then('it is judged "{judged}"')
def step_judged(context, judged):
    assert context.verdict.judgement.value == judged, context.verdict


def runner_of(version):
    return BackEnd(f"i-{version}", "s", "10.0.0.1:1", "z", BackEndState.READY, 4, (), version)


@given('a record at the stage "{stage}", proved current {age:g} s ago, and a rollback within 5 s')
def step_record(context, stage, age):
    clock = SimpleNamespace(now_s=100.0)
    log = EventRecorder()
    cluster = ClusterState(log, lambda: clock.now_s)
    cluster.replace_all(StateBatch(1, ()), clock.now_s - 50.0)
    changes = [VersionedChange("order", int(EPOCH), RolloutOrdered("s", "v2", 12.0))]
    earlier = RolloutRecord("s", Epoch(2), "v0", Stage.ROLLED_BACK, 1.0, 1, ("v0",))
    record = earlier
    if stage != "none":
        unusable = {"completed": ("v0", "v1"), "returned": ("v0", "v2")}.get(stage, ("v0",))
        record = RolloutRecord("s", EPOCH, "v2", Stage(stage), 1.0, 1, unusable)
    value = encode_record(record)
    changes.append(VersionedChange(record_key("s"), 6, RecordChanged(record_key("s"), value)))
    cluster.apply(StateBatch(6, tuple(changes)), clock.now_s - age)
    reader = RecordReader(cluster, log)
    context.gate = VersionGate(reader, cluster, lambda: 5.0, lambda: False, lambda: SHARE)


@then('stable requests may go to "{stable}" and canary requests to "{canary}"')
def step_usable(context, stable, canary):
    runners = [runner_of(version) for version in ("v0", "v1", "v2")]
    for track, expected in ((Track.STABLE, stable), (Track.CANARY, canary)):
        versions = [runner.software for runner in context.gate.usable("s", runners, track)]
        assert versions == ([] if expected == "-" else [expected]), (track, versions)


@then(
    'streams of "v0", "v1", "v2" may go on at "{v0}", "{v1}", "{v2}", the latter as canaries '
    '"{canary}"'
)
def step_continuing(context, v0, v1, v2, canary):
    runners = [runner_of(version) for version in ("v0", "v1", "v2")]
    expected = {
        ("v0", Track.STABLE): v0,
        ("v1", Track.STABLE): v1,
        ("v2", Track.STABLE): v2,
        ("v1", Track.CANARY): "-",
        ("v2", Track.CANARY): canary,
    }
    for (version, track), allowed in expected.items():
        found = context.gate.continuing("s", runners, track, version)
        versions = [runner.software for runner in found]
        assert versions == ([] if allowed == "-" else [allowed]), (version, track, versions)


@given(
    'a rollout with a deadline of 12 s, ordered {elapsed:g} s ago, at the stage "{stage}" and judged '
    '"{judged}"'
)
def step_plan(context, stage, elapsed, judged):
    context.order = RolloutOrder("s", "v2", 12.0, EPOCH, 0.0)
    context.record = None
    if stage != "none":
        context.record = RolloutRecord("s", EPOCH, "v2", Stage(stage), 1.0, 1)
    context.elapsed_s = elapsed
    context.verdict = Verdict(Judgement(judged))


@given(
    "{slots:d} target slots and 24 old slots, all nodes moved for {moved:g} s, {running:d} requests "
    "at old versions, and {in_stage:g} s at the stage"
)
def step_plan_facts(context, slots, moved, running, in_stage):
    context.facts = RolloutFacts(
        context.elapsed_s, context.verdict, target_slots=slots, old_slots=24,
        all_moved_for_s=moved, old_requests=running, in_stage_s=in_stage, rollback_s=5.0,
    )  # fmt: skip


@then('the next stage is "{expected}"')
def step_next(context, expected):
    step = next_step(context.order, context.record, context.facts)
    next_stage = "stay" if step is None else step.stage.value
    assert next_stage == expected, step


@when('the lease holder enters the stage "{stage}"')
def step_enters(context, stage):
    facts = replace(context.facts, old_versions=("v1",))
    step = Step(Stage(stage), "for the test")
    context.next_record = next_record(context.order, context.record, step, facts, token=7)


@then('its record lists "{unusable}" as unusable')
def step_unusable(context, unusable):
    expected = () if unusable == "none" else (unusable,)
    assert context.next_record.unusable == expected, context.next_record


ALARMS = {
    "no alarm": None,
    "an alarm about the target": Verdict(Judgement.BAD, "all"),
}


@given("a node that may send canary requests and has {alarm}")
def step_node_with_alarm(context, alarm):
    view = RolloutView(EPOCH, "v2", Stage.CANARY, frozenset())
    alarms = SimpleNamespace(alarm=lambda epoch: ALARMS[alarm], evidence=lambda epoch: {})
    orders = SimpleNamespace(rollouts=SimpleNamespace(orders={}))
    context.traffic = CanaryTraffic(
        CanaryLimits(1.0, 50, 5.0), orders, SimpleNamespace(open_view=lambda service: view),
        SimpleNamespace(allows_canary=lambda view: True), lambda: 1, alarms, FleetTallies(),
        Random(1), lambda: 0.0, lambda *counted: None,
    )  # fmt: skip


@when("a retryable request arrives")
def step_repeatable(context):
    route = SimpleNamespace(name="r", is_retryable=True)
    for _ in range(20):
        context.traffic.record_request("s")
    context.track = context.traffic.choose_track("s", route)


@then('it takes the "{track}" track')
def step_track(context, track):
    assert context.track is Track[track.upper()], context.track
