"""Steps for fleets that log their claims, with restarts of all nodes and store faults."""

import random

import anyio
from behave import given, then, when

from features.support.async_steps import async_when
from features.support.claims_fleet import RETENTION_S, Faults
from features.support.claims_log_fleet import LEASE_S, run_logging_fleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.claims.log import SEGMENT_MARGIN_S, LoggedClaim, logged_claims
from weirscale.domain.configuration.model import ClaimRules, Deployment
from weirscale.domain.configuration.validate import validate_deployment
from weirscale.domain.identifiers import NodeId
from weirscale.messages.claims import ClaimAnnounce, KnownEpoch
from weirscale.node.claims.log_mark import LogMark
from weirscale.node.claims.log_store import LOG_PREFIX, ClaimLogStore
from weirscale.node.claims.log_writer import ClaimLogWriter
from weirscale.node.interfaces import PeerState
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

RESTART_AT_S = 60.0
SERVED_AFTER_S = 25.0
GROUP = 7


async def inject_fault(fleet, fault):
    """Inject a fault; time 0 is a minute before the restart."""
    faults = fleet.server.faults
    if fault == "the store is slow":
        faults.delay_s = 0.6
    if fault == "store answers are lost":
        faults.lost_answer_probability = 0.2
    if fault == "the store limits the rate":
        faults.requests_per_s, faults.burst_requests = 40.0, 20
    if fault == "messages are lost and late until 5 s after":
        fleet.faults = Faults(lose_request=0.1, lose_reply=0.1, late_reply=0.1)
        await anyio.sleep(RESTART_AT_S + 5.0)
        fleet.faults = Faults()
    outages = {
        "the store was down until 15 s before": (5.0, 45.0),
        "the store is down for the 4 s of the restart": (59.0, 63.0),
        "the store is down from 40 s before to 5 s after": (20.0, 65.0),
    }
    if fault in outages:
        start_s, end_s = outages[fault]
        await anyio.sleep(start_s)
        faults.is_down = True
        await anyio.sleep(end_s - start_s)
        faults.is_down = False


async def restart(fleet, fault, ran_before):
    await anyio.sleep(RESTART_AT_S)
    ran_before.update(fleet.runs)
    await fleet.restart_all()
    if fault == "they restart again 1 s later":
        await anyio.sleep(1.0)
        await fleet.restart_all()


@given("{num_nodes:d} nodes in {num_zones:d} zones that log their claims")
def step_logging_fleet(context, num_nodes, num_zones):
    context.shape = (num_nodes, tuple("abcdefgh"[:num_zones]))


def on_logging_fleet(context, scenario):
    run_logging_fleet(run_in_virtual_time, scenario, *context.shape)


@async_when("callers retry 20 keys while all nodes restart and {fault}", on_logging_fleet)
async def step_restart_under_load(context, fleet, fault):
    context.ran_before = {}
    start_s = anyio.current_time()

    async def call(number, caller):
        await anyio.sleep(number * 4.0 + fleet.random.uniform(0.0, 2.0))
        await fleet.call_repeatedly(f"key-{number}", number + caller, start_s + 90.0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inject_fault, fleet, fault)
        tasks.start_soon(restart, fleet, fault, context.ran_before)
        for number in range(20):
            for caller in range(2):
                tasks.start_soon(call, number, caller)
        await anyio.sleep(RESTART_AT_S + SERVED_AFTER_S)
        context.answers = [
            await fleet.request(n % 5, f"new-{n}", time_left_s=10.0) for n in range(10)
        ]
    context.answers_after_restart = {key: await fleet.request(1, key) for key in context.ran_before}
    context.runs = fleet.runs


@then("no logged key has run more than once")
def step_once(context):
    assert set(context.runs.values()) == {1}, context.runs


@then("no key that ran before the restart was granted after it")
def step_remembered(context):
    assert len(context.ran_before) >= 5, context.ran_before
    answers = set(context.answers_after_restart.values())
    assert answers <= {"completed", "in_progress", "claim_unavailable"}, answers


@then('25 s after the restart new keys are answered "{answer}"')
def step_new_keys(context, answer):
    share = context.answers.count(answer) / len(context.answers)
    assert share >= 0.8, context.answers


@async_when("the store goes down for 60 seconds and new keys come every second", on_logging_fleet)
async def step_outage(context, fleet):
    context.answers = {}

    async def call(second):
        context.answers[second] = await fleet.request(second % 5, f"key-{second}")

    async with anyio.create_task_group() as tasks:
        for second in range(-10, 70):
            fleet.server.faults.is_down = 0 <= second < 60
            tasks.start_soon(call, second)
            await anyio.sleep(1.0)


@then("new keys were granted until the store went down and again from {resume_s:d} s after it")
def step_resumed(context, resume_s):
    refused = [second for second, answer in context.answers.items() if answer != "granted"]
    assert refused, "the store's outage was not noticed"
    assert min(refused) >= 0, refused
    assert max(refused) < resume_s, refused


@then("each refusal asks for a retry within 10 s")
def step_retry_after(context):
    answers = set(context.answers.values())
    assert answers == {"granted", "claim_unavailable"}, answers


def on_store_alone(context, scenario):
    """Run a scenario on a key-value store without nodes."""
    run_in_virtual_time(lambda: scenario(KeyValueServer(random.Random(1))))


async def all_logged():
    return True


@async_when(
    "a later run renews the mark of a run that still runs, and the store goes down",
    on_store_alone,
)
async def step_superseded(context, server):
    def log_mark_of(incarnation):
        store = InProcessKeyValue(server)
        rules = ClaimRules(log_in_store=True, log_lease_s=LEASE_S)
        run = NodeId("lone", incarnation)
        return LogMark(run, store, lambda: rules, all_logged, lambda: 1)

    earlier, later = log_mark_of(1), log_mark_of(2)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(earlier.run)
        await anyio.sleep(5.0)
        tasks.start_soon(later.run)
        await anyio.sleep(10.0)
        server.faults.is_down = True
        await anyio.sleep(60.0)
        context.needs_log = [earlier.needs_log(), later.needs_log()]
        tasks.cancel_scope.cancel()


@then("the earlier run still requires the log a minute later")
def step_demands(context):
    assert context.needs_log == [True, False], context.needs_log


def generate_claims(first, count):
    rng = random.Random(first)
    return [
        LoggedClaim(rng.randbytes(16), rng.randbytes(60), rng.randbytes(8)) for _ in range(count)
    ]


async def with_writer(server, script):
    """Run a script with a claim log writer on a store."""
    rules = ClaimRules(retention_s=RETENTION_S)
    writer = ClaimLogWriter(InProcessKeyValue(server), lambda: rules)
    async with anyio.create_task_group() as tasks:
        writer.use_task_group(tasks)
        await script(writer)


@async_when(
    "500 claims of one group are logged, and as many again after the retention", on_store_alone
)
async def step_segments(context, server):
    context.first, context.second = generate_claims(1, 500), generate_claims(2, 500)

    async def script(writer):
        for claims in (context.first, context.second):
            for offset in range(0, len(claims), 20):
                assert await writer.append(GROUP, 1, claims[offset : offset + 20])
            await anyio.sleep(RETENTION_S + SEGMENT_MARGIN_S + 1.0)
        context.loaded = (await writer.fence(GROUP, 2)).ok_value
        read = await InProcessKeyValue(server).read(f"{LOG_PREFIX}{GROUP:03d}/")
        context.sizes = [len(value.value) for value in read.ok_value.values]

    await with_writer(server, script)


@then("the log of the group has every claim of the second half in values below 16 kB")
def step_all_loaded(context):
    assert set(context.second) <= set(context.loaded)
    assert max(context.sizes) < 16_000, context.sizes


@then("segments of the first half are deleted")
def step_pruned(context):
    num_remaining = len(set(context.first) & set(context.loaded))
    assert num_remaining < 300, num_remaining
    assert len(context.sizes) <= 7, context.sizes


@async_when(
    "the log of a group is fenced while a writer has a claim of the previous epoch", on_store_alone
)
async def step_fenced(context, server):
    async def script(writer):
        early, late = generate_claims(1, 1), generate_claims(2, 1)
        assert await writer.append(GROUP, 1, early)

        async def fence(planner):
            context.loaded = (await planner.fence(GROUP, 2)).ok_value

        await with_writer(server, fence)
        context.is_logged = await writer.append(GROUP, 1, late)
        context.early = early

    await with_writer(server, script)


@then("the late claim is not logged")
def step_not_logged(context):
    assert context.is_logged is False
    assert list(context.loaded) == context.early


@async_when(
    "30 keys run without the log and a node leaves as the store comes back", on_logging_fleet
)
async def step_change_after_outage(context, fleet):
    context.missing, context.num_begun = [], 0
    logs = ClaimLogStore(InProcessKeyValue(fleet.server))

    def check_announcements(node):
        announce = node.link.call_handlers[ClaimAnnounce]

        async def checked_announce(message):
            ack = await announce(message)
            held = dict(node.ledger.registry.claims())
            begun_epoch = KnownEpoch(message.record.group, message.record.epoch)
            if message.record.is_logged and held.get(begun_epoch):
                log = (await logs.read(begun_epoch.group)).ok_value
                context.num_begun += 1
                context.missing += set(logged_claims(held[begun_epoch])) - set(log.claims)
            return ack

        node.link.call_handlers[ClaimAnnounce] = checked_announce

    for node in fleet.running():
        check_announcements(node)
    fleet.server.faults.is_down = True
    await anyio.sleep(14.0)
    for number in range(30):
        await fleet.request(number % 5, f"key-{number}")
    fleet.nodes[0].state = PeerState.LEAVING
    fleet.version += 1
    await anyio.sleep(4.0)
    fleet.server.faults.is_down = False
    await anyio.sleep(10.0)


@then("each epoch that counts as logged began with all its claims in the log")
def step_begun_logged(context):
    assert context.num_begun >= 5, context.num_begun
    assert not context.missing, len(context.missing)


@when("a deployment with a claim log lease of {lease_s:g} s is checked")
def step_check_lease(context, lease_s):
    rules = ClaimRules(log_in_store=True, log_lease_s=lease_s)
    deployment = Deployment(1, "test", (), (), (), (), claims=rules)
    context.paths = {error.path for error in validate_deployment(deployment, {})}


@then("the claim log lease is {outcome}")
def step_lease_outcome(context, outcome):
    assert ("claims.log_lease_s" in context.paths) == (outcome == "refused"), context.paths
