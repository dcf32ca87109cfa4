import anyio
from behave import given, then

from features.support.async_steps import async_when
from features.support.claims_fleet import RETENTION_S, Faults, run_fleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.claims.model import claim_key, group_of
from weirscale.messages.claims import ClaimPrepare
from weirscale.node.interfaces import PeerState

FAULT_AT_S = 3.0
FAULT_LASTS_S = 20.0
MESSAGE_FAULTS = {
    "replies are lost": Faults(lose_reply=0.3),
    "requests are lost": Faults(lose_request=0.3),
    "calls are delivered twice": Faults(duplicate=0.5),
    "replies come late": Faults(late_reply=0.3),
    "everything fails a little": Faults(0.1, 0.1, 0.3, 0.1),
}


async def inject_fault(fleet, fault):
    """Inject a fault, and end it after `FAULT_LASTS_S` where it can be ended."""
    await anyio.sleep(FAULT_AT_S)
    fleet.faults = MESSAGE_FAULTS.get(fault, Faults())
    if "a node is lost" in fault or "two nodes" in fault:
        fleet.stop(1)
    if "two nodes" in fault:
        fleet.stop(2)
    if fault == "a node restarts with empty memory":
        fleet.restart(1)
    if fault == "every node restarts in turn":
        for number in range(5):
            fleet.restart(number)
            await anyio.sleep(7.0)
    if fault in ("a zone is cut off", "everything fails a little"):
        fleet.cut("a")
    if "a node leaves" in fault:
        fleet.server.faults.lost_answer_probability = 0.4
        fleet.nodes[3].state = PeerState.LEAVING
        fleet.version += 1
    if "store is down" in fault:
        fleet.server.faults.is_down = True
    await anyio.sleep(FAULT_LASTS_S)
    fleet.faults = Faults()
    fleet.server.faults.is_down = False
    fleet.server.faults.lost_answer_probability = 0.0
    fleet.heal()


async def call_repeatedly(fleet, key, first_node):
    """Send a key through one node after the other until it has run, at most 4 times."""
    await anyio.sleep(fleet.random.uniform(0.0, FAULT_AT_S + FAULT_LASTS_S))
    for attempt in range(4):
        answer = await fleet.request((first_node + attempt) % 5, key)
        if answer in ("granted", "completed"):
            return
        await anyio.sleep(fleet.random.uniform(0.1, 2.0))


@given("claim holders on {num_nodes:d} nodes in {num_zones:d} zones")
def step_fleet(context, num_nodes, num_zones):
    context.shape = (num_nodes, tuple("abcdefgh"[:num_zones]))


def on_fleet(context, scenario):
    run_fleet(run_in_virtual_time, scenario, *context.shape)


@async_when("30 keys are claimed by 3 racing callers each while {fault}", on_fleet)
async def step_race(context, fleet, fault):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(inject_fault, fleet, fault)
        for number in range(30):
            for caller in range(3):
                tasks.start_soon(call_repeatedly, fleet, f"key-{number}", number + caller)
    await anyio.sleep(15.0)
    context.num_run = len(fleet.runs)
    context.ran_before = dict(fleet.runs)
    context.late = [await fleet.request(0, key) for key in context.ran_before]
    context.runs = fleet.runs


@then("no key has run more than once")
def step_at_most_once(context):
    assert set(context.runs.values()) == {1}, context.runs


@then("at least {count:d} of the keys have run")
def step_available(context, count):
    assert context.num_run >= count, context.num_run


@then("every key that ran is still refused or answered when it is sent again")
def step_remembered(context):
    answers = set(context.late)
    assert answers <= {"completed", "in_progress", "claim_unavailable"}, answers
    assert "completed" in answers


@async_when(
    'a first request with a key ends as "{first}" and a second arrives with "{body}" through another node',
    on_fleet,
)
async def step_two_requests(context, fleet, first, body):
    await fleet.request(0, "key", first)
    content = b"body" if body == "same body" else b"other"
    context.second = await fleet.request(1, "key", body=content)


@then('the second request is answered "{second}"')
def step_second_answer(context, second):
    assert context.second == second, context.second


@async_when("a key has run and then all nodes restart at once", on_fleet)
async def step_total_loss(context, fleet):
    await fleet.request(0, "old")
    for number in range(5):
        fleet.restart(number)
    await anyio.sleep(60.0)
    context.num_ready = fleet.num_ready_groups()
    context.soon = [await fleet.request(1, "old"), await fleet.request(1, "new")]
    await anyio.sleep(RETENTION_S - 65.0)
    context.later = [await fleet.request(1, "old"), await fleet.request(1, "new")]
    await anyio.sleep(200.0)
    context.after = await fleet.request(1, "newer")
    context.runs = fleet.runs


@then("the key and new keys are refused as not run until the retention has passed")
def step_amnesia(context):
    assert context.num_ready == 64
    assert {*context.soon, *context.later} == {"claim_unavailable"}


@then("new keys are granted after the retention")
def step_amnesia_over(context):
    assert context.after == "granted"
    assert context.runs == {"old": 1, "newer": 1}


@async_when("the store goes down after the holders were sealed for a change", on_fleet)
async def step_store_fails_in_change(context, fleet):
    await fleet.request(0, "key")
    group = group_of(claim_key("school", "key"))
    record = fleet.nodes[0].ledger.registry.epochs.record(group)
    stop_store_on_prepare(fleet, group)
    fleet.stop(record.holders[0].address.port)
    await anyio.sleep(12.0)
    live = next(iter(fleet.nodes))
    context.in_outage = await fleet.request(live, "key")
    fleet.server.faults.is_down = False
    await anyio.sleep(40.0)
    context.after = await fleet.request(live, "key")
    context.runs = fleet.runs


def stop_store_on_prepare(fleet, group):
    """Take the store down when a change of the group, with sealed holders, is prepared."""
    for node in fleet.running():
        prepare = node.link.call_handlers[ClaimPrepare]

        async def prepare_without_store(message, prepare=prepare):
            if message.record.group == group:
                fleet.server.faults.is_down = True
            return await prepare(message)

        node.link.call_handlers[ClaimPrepare] = prepare_without_store


@then("claims of the group are refused as not run until the store is back")
def step_refused_in_outage(context):
    assert context.in_outage == "claim_unavailable", context.in_outage


@then("the key that ran before is answered as completed")
def step_known_after(context):
    assert context.after == "completed", context.after
    assert context.runs == {"key": 1}


@async_when("two zones are cut off together with the store for 60 seconds", on_fleet)
async def step_isolated(context, fleet):
    epochs = fleet.nodes[2].ledger.registry.epochs
    held_outside = {
        number: sum(
            holder.zone not in ("a", "b")
            for holder in epochs.record(group_of(claim_key("school", f"out-{number}"))).holders
        )
        for number in range(20)
    }
    context.expected = [
        "granted" if held_outside[number] >= 2 else "claim_unavailable" for number in range(20)
    ]
    fleet.cut("a", "b")
    for number in (0, 1):
        fleet.nodes[number].store.is_cut_off = True
    await anyio.sleep(60.0)
    context.inside = [await fleet.request(number % 2, f"in-{number}") for number in range(20)]
    context.outside = [await fleet.request(2, f"out-{number}") for number in range(20)]


@then("no node in the cut zones grants a key")
def step_none_inside(context):
    assert set(context.inside) == {"claim_unavailable"}, context.inside


@then("the nodes outside still grant each key for which they have a quorum")
def step_outside(context):
    assert context.outside == context.expected, context.outside
    assert "granted" in context.expected


@async_when(
    "20 keys have run and then all nodes are replaced, each after it has handed over", on_fleet
)
async def step_replace_all(context, fleet):
    for number in range(20):
        await fleet.request(number % 5, f"key-{number}")
    for number in range(5):
        leaving = fleet.nodes[number]
        leaving.state = PeerState.LEAVING
        fleet.start(number + 5, leaving.zone, incarnation=1)
        async with anyio.create_task_group() as tasks:
            for caller in range(4):
                tasks.start_soon(fleet.request, number + 5, f"new-{number}-{caller}")
            assert await leaving.ledger.hand_over(15.0)
        fleet.stop(number)
    context.answers = [await fleet.request(5, f"key-{number}") for number in range(20)]
    context.runs = fleet.runs


@then("every key is answered as completed by the new nodes")
def step_all_completed(context):
    assert set(context.answers) == {"completed"}, context.answers


@then("no new key was refused during the replacement")
def step_none_refused(context):
    assert set(context.runs.values()) == {1}
    assert len(context.runs) == 40, context.runs
