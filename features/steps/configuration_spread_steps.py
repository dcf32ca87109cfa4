from functools import partial
from random import Random

import anyio
import msgspec
from behave import given, then, when
from result import Err

from features.support.async_steps import async_when
from features.support.configuration_fleet import run_configuration_fleet as run_fleet
from features.support.configuration_soak import run_soak
from features.support.deployments import small_deployment
from features.support.large_deployment import large_deployment
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.difference import canonical
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.experiments.memory_network import LinkQuality
from weirscale.messages.configuration import ConfigurationReply
from weirscale.node.configuration.holder import MAX_KEPT_REVISIONS, ConfigurationHolder
from weirscale.node.configuration.spread import ConfigurationSpread
from weirscale.node.interfaces import Peer, PeerState
from weirscale.ports.peers import PeerFailure

SEEDS = (1,)
QUIET_S = 60
SETTLE_S = 5
NUM_CHANGES = 6
CHANGE_PERIOD_S = 8.0


STORE_FAULTS = {
    "a store slowed to a second a call": {"delay_s": 1.0},
    "a store limited to 5 calls a second": {"requests_per_s": 5.0, "burst_requests": 2},
    "half of the store's answers lost": {"lost_answer_probability": 0.5},
}
LINKS = {
    "a fifth of casts and calls lost": LinkQuality(drop_rate=0.2),
    "slow and reordering links": LinkQuality(delay_s=0.15, jitter_s=0.3, duplicate_rate=0.2),
}
PERIODS_S = {
    "outages of the store": 7.0,
    "watches cut every second": 1.0,
    "restarts of a third of the nodes": 15.0,
}


async def repeat_fault(fleet, faults):
    nodes = list(fleet.nodes)
    while True:
        await anyio.sleep(PERIODS_S[faults])
        if faults == "outages of the store":
            fleet.server.faults.is_down = not fleet.server.faults.is_down
            fleet.server.notify()
        elif faults == "watches cut every second":
            fleet.server.cut_watches()
        else:
            for name in fleet.random.sample(nodes, len(nodes) // 3):
                fleet.restart(name)


def start_faults(fleet, faults, tasks):
    """Start the faults that a table row names."""
    if faults in STORE_FAULTS:
        for field, value in STORE_FAULTS[faults].items():
            setattr(fleet.server.faults, field, value)
    elif faults in LINKS:
        fleet.network.set_default_quality(LINKS[faults])
    elif faults in PERIODS_S:
        tasks.start_soon(repeat_fault, fleet, faults)
    elif faults == "half of the nodes cut off from the store":
        for node in list(fleet.nodes.values())[::2]:
            node.port.is_cut_off = True
    else:
        assert faults == "no fault"


async def change_under_faults(fleet, faults):
    """Apply changes; return the fleet and the seconds until each change was in force everywhere."""
    delays_s = []
    async with anyio.create_task_group() as tasks:
        start_faults(fleet, faults, tasks)
        for number in range(NUM_CHANGES):
            tasks.start_soon(change_once, fleet, f"change-{number}", delays_s)
            await anyio.sleep(CHANGE_PERIOD_S)
        await anyio.sleep(2 * CHANGE_PERIOD_S)
        tasks.cancel_scope.cancel()
    return fleet, delays_s


async def change_once(fleet, name, delays_s):
    outcome = await fleet.apply(small_deployment(name))
    if getattr(outcome, "revision", None):
        delays_s.append(await fleet.wait_until_in_force(outcome.revision))


@given("a fleet of {nodes:d} nodes in {zones:d} zones")
def step_fleet(context, nodes, zones):
    context.size = (nodes, zones)


@when('6 changes are applied over a minute under "{faults}"')
def step_changes(context, faults):
    script = partial(change_under_faults, faults=faults)
    context.runs = [run_in_virtual_time(run_fleet, script, *context.size, seed) for seed in SEEDS]


@then("every change accepted is in force on every node within {within:g} s")
def step_in_force(context, within):
    for fleet, delays_s in context.runs:
        assert len(delays_s) == len(fleet.accepted) >= NUM_CHANGES // 2, delays_s
        assert max(delays_s) <= within, delays_s


@then("no node ever goes back, and no node has a configuration that was not accepted")
def step_never_back(context):
    for fleet, _ in context.runs:
        for node in [*fleet.nodes.values(), *fleet.past_nodes]:
            revisions = [record.revision for record in node.history]
            assert revisions == sorted(set(revisions)), (node.name, revisions)
            for record in node.history:
                assert fleet.accepted[record.revision] == record.deployment, (node.name, record)


@given("a fleet of {nodes:d} nodes in {zones:d} zones with a configuration in force")
def step_fleet_in_force(context, nodes, zones):
    context.size = (nodes, zones)


def on_configured_fleet(context, script, deployment=None):
    deployment = deployment or small_deployment("first")
    run_in_virtual_time(run_fleet, script, *context.size, 1, deployment)


@when("fleets run for two minutes under all faults at once, for seeds 1 and 2")
def step_soak(context):
    context.soaks = [run_soak(seed, duration_s=120.0) for seed in (1, 2)]


@then(
    "no answer to an operator was wrong, no node went back, and none had an unaccepted configuration"
)
def step_soak_sound(context):
    assert not any(result.violations for result in context.soaks), context.soaks


@then(
    "a last change was in force within {within:d} s, with enough files accepted, files refused and restarts"
)
def step_soak_lively(context, within):
    assert all(result.in_force_s <= within for result in context.soaks), context.soaks
    assert all(result.num_accepted >= 5 for result in context.soaks), context.soaks
    assert all(result.num_refused >= 1 and result.num_restarts >= 8 for result in context.soaks)


@async_when("the store goes down and one node restarts with {peers}", on_configured_fleet)
async def time_restart(context, fleet, peers):
    """Restart a node with the store down; record its wait, its revision and the highest."""
    names = list(fleet.nodes)
    if peers == "one of three peers behind":
        fleet.network.cut_both_ways(
            {fleet.nodes[names[1]].address}, {node.address for node in fleet.nodes.values()}
        )
        fleet.nodes[names[1]].port.is_cut_off = True
        await fleet.apply(small_deployment("second"))
        await anyio.sleep(10)
        fleet.network.heal()
    fleet.server.faults.is_down = True
    fleet.server.notify()
    if "three" in peers:
        for name in names[4:]:
            fleet.stop(name)
            fleet.members.remove(name)
    if peers == "two of three peers paused":
        for name in names[1:3]:
            fleet.nodes[name].endpoint.freeze()
    node = fleet.restart(names[0])
    start_s = anyio.current_time()
    with anyio.move_on_after(30):
        await node.task.changed_after(0)
    context.restarted = (
        anyio.current_time() - start_s,
        node.task.current().revision,
        max(fleet.accepted),
    )


@then("the node has the highest configuration of them within {within:g} s")
def step_restarted(context, within):
    waited_s, revision, highest = context.restarted
    assert revision == highest and waited_s <= within, context.restarted


@async_when(
    "all nodes restart with the store down and it returns after a minute", on_configured_fleet
)
async def restart_all_without_store(context, fleet):
    """Restart all nodes with the store down for more than a minute."""
    fleet.server.faults.is_down = True
    fleet.server.notify()
    for name in list(fleet.nodes):
        fleet.restart(name)
    # By then, each zone has settled which nodes read the store.
    await anyio.sleep(10)
    num_calls = fleet.server.num_calls
    await anyio.sleep(QUIET_S)
    rate = (fleet.server.num_calls - num_calls) / QUIET_S
    num_readers = sum(node.task._reader.is_reader for node in fleet.nodes.values())
    num_with_configuration = sum(bool(node.history) for node in fleet.nodes.values())
    fleet.server.faults.is_down = False
    context.herd = num_with_configuration, rate, num_readers, await fleet.wait_until_in_force(2)


@then("no node acts on any configuration before, and all have it within {within:d} s after")
def step_herd(context, within):
    num_with_configuration, _, _, delay_s = context.herd
    assert num_with_configuration == 0 and delay_s <= within, context.herd


@then(
    "meanwhile the store got at most {rate:d} calls a second, and only {readers:d} nodes of a zone read it"
)
def step_herd_rate(context, rate, readers):
    assert 0 < context.herd[1] <= rate and context.herd[2] == readers * context.size[1], (
        context.herd
    )


@async_when("all nodes restart at once with the store up", on_configured_fleet)
async def restart_all_with_store(context, fleet):
    num_calls = fleet.server.num_calls
    for name in list(fleet.nodes):
        fleet.restart(name)
    delay_s = await fleet.wait_until_in_force(2)
    await anyio.sleep(5)
    context.herd = delay_s, fleet.server.num_calls - num_calls


@then("all have the configuration within {within:g} s after {calls:d} calls of the store at most")
def step_herd_up(context, within, calls):
    delay_s, num_calls = context.herd
    assert delay_s <= within and 0 < num_calls <= calls, context.herd


@async_when(
    "zone-0 is cut off, a change is applied, and the cut heals after 60 s", on_configured_fleet
)
async def cut_zone(context, fleet):
    cut = [node for node in fleet.nodes.values() if node.zone == "zone-0"]
    others = {node.address for node in fleet.nodes.values() if node not in cut}
    fleet.network.cut_both_ways({node.address for node in cut}, others)
    for node in cut:
        node.port.is_cut_off = True
    fleet.server.cut_watches()
    outcome = await fleet.apply(small_deployment("second"))
    await anyio.sleep(60)
    during = {node.revision for node in cut}
    fleet.network.heal()
    delay_s = await fleet.wait_until_in_force(outcome.revision)
    context.cut = during, delay_s


@then(
    "the cut-off nodes kept the old configuration and have the new one within {within:d} s of healing"
)
def step_cut_healed(context, within):
    during, delay_s = context.cut
    assert during == {2} and delay_s <= within, context.cut


@async_when(
    "one node is paused and one cannot fetch while a change is applied", on_configured_fleet
)
async def lag_two(context, fleet):
    names = list(fleet.nodes)
    fleet.nodes[names[7]].endpoint.freeze()
    # Casts still reach this node, but its calls fail.
    lagging = fleet.nodes[names[8]]
    lagging.port.is_cut_off = True
    fleet.server.cut_watches()
    others = {node.address for node in fleet.nodes.values()}
    fleet.network.cut({lagging.address}, others - {fleet.nodes[names[0]].address})
    lagging.task._spread._fetch_from = fail_fetch
    await fleet.apply(small_deployment("second"))
    await anyio.sleep(10)
    context.status = await fleet.nodes[names[0]].task.fleet_status()


async def fail_fetch(source, have_revision):
    return "fetch failed on purpose"


@then('status lists only these two as lagging, with "{first}" and "{second}"')
def step_status(context, first, second):
    lagging = context.status.lagging(context.status.revision)
    assert [node.node for node in lagging] == ["node-007", "node-008"], lagging
    assert first in lagging[0].lag_reason and second in lagging[1].lag_reason, lagging
    assert "fetch failed on purpose" in lagging[1].lag_reason
    assert len(context.status.nodes) == 9 and context.status.revision == 3


def with_large_deployment(context, script):
    on_configured_fleet(context, script, large_deployment())


@async_when("a minute passes without a change", with_large_deployment)
async def count_bytes(context, fleet):
    """Record the bytes per second without changes and per change, of the node that sent most."""
    nodes = list(fleet.nodes.values())
    # Wait for fetches that were in flight when the last node got the first configuration.
    await anyio.sleep(SETTLE_S)
    before = {node.name: node.num_bytes_sent() for node in nodes}
    await anyio.sleep(QUIET_S)
    idle = {node.name: (node.num_bytes_sent() - before[node.name]) / QUIET_S for node in nodes}
    before = {node.name: node.num_bytes_sent() for node in nodes}
    start_s = anyio.current_time()
    for number in range(8):
        await fleet.apply(large_deployment(version=f"version-{number}"))
        await anyio.sleep(5)
    duration_s = anyio.current_time() - start_s
    each = [(n.num_bytes_sent() - before[n.name] - idle[n.name] * duration_s) / 8 for n in nodes]
    assert all(node.revision == max(fleet.accepted) for node in nodes)
    context.cost = max(idle.values()), max(each)


@then("each node has sent at most {rate:d} bytes a second for the configuration")
def step_idle_cost(context, rate):
    assert 0 < context.cost[0] <= rate, context.cost


@then("8 changes of a deployment of the design size cost it at most {num_bytes:d} bytes each")
def step_change_cost(context, num_bytes):
    assert 0 < context.cost[1] <= num_bytes, context.cost


@when("a peer's delta is damaged, has a forgotten base, or has another digest")
def step_bad_replies(context):
    ahead, behind = ConfigurationHolder(), ConfigurationHolder()
    for revision in range(1, MAX_KEPT_REVISIONS + 5):
        ahead.apply(revision, canonical(small_deployment(f"change-{revision}")))
        if revision == MAX_KEPT_REVISIONS:
            behind.apply(revision, canonical(small_deployment(f"change-{revision}")))
    good_reply = ahead.reply_to(behind.revision)
    assert good_reply.base_revision == behind.revision and ahead.reply_to(1).base_revision == 0
    assert behind.read_reply(good_reply).name == f"change-{ahead.revision}"
    replace = msgspec.structs.replace
    bad_replies = [
        replace(good_reply, payload=good_reply.payload[:-4]),
        replace(good_reply, payload=b""),
        replace(good_reply, base_revision=1),
        replace(good_reply, digest=bytes(16)),
        ConfigurationReply(good_reply.revision, 0, good_reply.digest, good_reply.payload),
    ]
    context.refusals = [behind.read_reply(reply) for reply in bad_replies]
    context.holders = (ahead, behind)


@then("each is refused with a reason and nothing changes")
def step_bad_refused(context):
    assert all(isinstance(refusal, str) and refusal for refusal in context.refusals)
    ahead, behind = context.holders
    assert behind.revision == MAX_KEPT_REVISIONS
    assert not ahead.apply(behind.revision, behind.current().deployment)
    assert ahead.revision == MAX_KEPT_REVISIONS + 4


class JoiningMembership:
    """A membership view that lists one other node from `joins_at_s` on."""

    def __init__(self, joins_at_s):
        self.joins_at_s = joins_at_s
        self.self_id = NodeId("n1", 1)

    def peers(self):
        others = [Peer(NodeId("n2", 1), NodeAddress("10.0.0.2", 1), "z", PeerState.ALIVE)]
        return tuple(others) if anyio.current_time() >= self.joins_at_s else ()


class UnansweredLink:
    """A peer link that records the time of the first call and answers none."""

    def __init__(self):
        self.first_call = anyio.Event()
        self.first_call_at_s = None

    def on_cast(self, message_type, handler):
        pass

    def on_call(self, message_type, handler):
        pass

    async def cast(self, destination, message):
        pass

    async def call(self, destination, message, timeout_s):
        self.first_call_at_s = self.first_call_at_s or anyio.current_time()
        self.first_call.set()
        await anyio.sleep(timeout_s)
        return Err(PeerFailure("no answer", provably_not_sent=False))


@when("nodes of {num:d} seeds join {after:g} s after they start")
def step_nodes_join(context, num, after):
    async def main(seed):
        link = UnansweredLink()
        joins_at_s = anyio.current_time() + after
        spread = ConfigurationSpread(
            ConfigurationHolder(), link, JoiningMembership(joins_at_s), "z", None, Random(seed)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(spread.run)
            await link.first_call.wait()
            tasks.cancel_scope.cancel()
        return link.first_call_at_s - joins_at_s

    context.asked_after_s = [run_in_virtual_time(partial(main, seed)) for seed in range(num)]


@then("each asks a peer for its revision within {within:g} s of joining")
def step_asks_soon(context, within):
    assert max(context.asked_after_s) <= within, context.asked_after_s
