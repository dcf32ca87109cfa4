import random

import anyio
from behave import given, then, when
from msgspec.structs import replace
from result import Ok

from features.support.membership_fleet import MembershipFleet, MembershipNode
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.domain.membership.actions import StartSync
from weirscale.domain.membership.protocol import MembershipProtocol
from weirscale.domain.membership.rules import MembershipRules
from weirscale.domain.membership.state import MembershipState
from weirscale.messages.codec import MessageCodec
from weirscale.messages.envelope import (
    EnvelopeKind,
    EnvelopeSigner,
    KeyRing,
    PeerKey,
    address_binding,
)
from weirscale.messages.membership import Gossip, MemberState, MemberUpdate, Ping, SyncReply
from weirscale.node.interfaces import PeerState
from weirscale.ports.machines import Machine

AGREEMENT_LIMIT_S = 60.0
OWN = MemberUpdate("own", 1, 0, MemberState.ALIVE, "10.0.0.1", 1, "z")
MEMBER = MemberUpdate("m", 5, 2, MemberState.ALIVE, "10.0.0.2", 1, "z")


class FalseDeaths:
    """Record running nodes that another running node regards as dead."""

    def __init__(self, fleet, ignored=()):
        self.fleet = fleet
        self.ignored = ignored
        self.pairs = set()

    async def watch(self):
        expected = {node.node.name for node in self.fleet.running()}
        while True:
            for node in self.fleet.running():
                for name in expected - node.names():
                    self.pairs.add((node.node.name, name))
            await anyio.sleep(0.05)


def run_fleet(context, script):
    """Start the scenario's fleet, run the script in virtual time and stop the fleet."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = MembershipFleet(tasks, context.seed, context.num_zones)
            await fleet.start(context.num_nodes, settle_s=4.0)
            fleet.network.set_drop_rate(context.loss)
            context.deaths = FalseDeaths(fleet)
            await script(fleet, tasks)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


@given(
    "a fleet of {nodes:d} nodes in {zones:d} zones, seed {seed:d}, losing {loss:d} % of datagrams"
)
def step_membership_fleet(context, nodes, zones, seed, loss):
    context.num_nodes = nodes
    context.num_zones = zones
    context.seed = seed
    context.loss = loss / 100


def ring_neighbours(fleet, count):
    ring = fleet.running()[0].membership.protocol.state.table.fleet_ring
    return [fleet.nodes[name] for name in ring.names()[:count]]


async def cause_event(fleet, event):
    nodes = fleet.running()
    victim = nodes[len(nodes) // 2]
    if event == "a crash":
        fleet.crash(victim)
    elif event == "a crash of a whole zone":
        for node in nodes:
            if node.zone == victim.zone:
                fleet.crash(node)
    elif event == "a crash of five ring neighbours":
        for node in ring_neighbours(fleet, 5):
            fleet.crash(node)
    elif event == "a join":
        fleet.start_node()
    elif event == "a restart under the same name":
        fleet.crash(victim)
        fleet.start_node(replaces=victim)
    elif event == "an orderly leave":
        await fleet.leave(victim)
    elif event == "a replacement of half of the nodes at once":
        for node in nodes[::2]:
            fleet.crash(node)
            fleet.start_node()
    else:
        raise ValueError(event)


@when("the fleet goes through {event}")
def step_event(context, event):
    async def script(fleet, tasks):
        await cause_event(fleet, event)
        context.agreed_s = await fleet.until(fleet.all_agree, AGREEMENT_LIMIT_S)

    run_fleet(context, script)


@then("all live nodes agree within {limit:d} s")
def step_agree(context, limit):
    assert context.agreed_s is not None, "the nodes never agreed"
    assert context.agreed_s < limit, context.agreed_s


async def pause_random_nodes(fleet, chance):
    while True:
        node = chance.choice(fleet.running())
        node.endpoint.freeze()
        await anyio.sleep(1.0)
        node.endpoint.thaw()
        await anyio.sleep(1.0)


@when("the fleet runs for 30 s with {fault}")
def step_runs_under(context, fault):
    async def script(fleet, tasks):
        nodes = fleet.running()
        tasks.start_soon(context.deaths.watch)
        if fault == "pauses of 1 s of random nodes":
            tasks.start_soon(pause_random_nodes, fleet, random.Random(context.seed))
        elif fault == "a one-way partition from one node to another":
            fleet.network.cut({nodes[3].address}, {nodes[4].address})
        elif fault == "a one-way partition from a node to a third of the nodes":
            fleet.network.cut({nodes[3].address}, {node.address for node in nodes[4:10]})
        else:
            assert fault == "no fault"
        await anyio.sleep(30)

    run_fleet(context, script)


@then("no node ever regarded a running node as dead")
def step_no_false_death(context):
    assert not context.deaths.pairs, context.deaths.pairs


@when("one node is paused for {pause:d} s and resumes")
def step_paused(context, pause):
    async def script(fleet, tasks):
        context.paused_node = fleet.running()[7]
        tasks.start_soon(context.deaths.watch)
        context.paused_node.endpoint.freeze()
        await anyio.sleep(pause)
        context.paused_node.endpoint.thaw()
        context.agreed_s = await fleet.until(fleet.all_agree, AGREEMENT_LIMIT_S)
        await anyio.sleep(10)

    run_fleet(context, script)


@then("the other nodes never regarded one another as dead")
def step_others_intact(context):
    paused = context.paused_node.node.name
    false_deaths = {pair for pair in context.deaths.pairs if paused not in pair}
    assert not false_deaths, false_deaths


@then("the resumed node never regarded another node as dead")
def step_resumed_intact(context):
    paused = context.paused_node.node.name
    false_deaths = {pair for pair in context.deaths.pairs if pair[0] == paused}
    assert not false_deaths, false_deaths


@given("a node with a probe in flight and a suspicion of another member")
def step_probe_in_flight(context):
    rules = MembershipRules()
    protocol = MembershipProtocol(OWN, [], rules, random.Random(1), 0.0)
    other = replace(MEMBER, name="other", host="10.0.0.3")
    accused = replace(other, state=MemberState.SUSPECT, accuser="x")
    protocol.handle_gossip(Gossip((MEMBER, other, accused)), 0.0)
    protocol.probe_soon(MEMBER.name)
    actions = protocol.tick(0.1)
    pinged = [action.message.target_name for action in actions if isinstance(action.message, Ping)]
    assert MEMBER.name in pinged, actions
    context.protocol = protocol


@when("the next tick of the node is {late:d} s late")
def step_late_tick(context, late):
    context.resumed_at_s = 0.1 + late
    context.protocol.tick(context.resumed_at_s)
    context.protocol.tick(context.resumed_at_s + 0.1)


@then("the probed member is not suspected and the suspect is not dead")
def step_nothing_concluded(context):
    table = context.protocol.state.table
    assert table.get(MEMBER.name).state is MemberState.ALIVE
    assert table.get("other").state is MemberState.SUSPECT


@then("the suspect is declared dead when no refutation arrives within the suspicion timeout")
def step_declared_dead(context):
    now_s = context.resumed_at_s
    while now_s < context.resumed_at_s + MembershipRules().suspicion_max_s + 0.5:
        now_s += 0.1
        context.protocol.tick(now_s)
    assert context.protocol.state.table.get("other").state is MemberState.DEAD


@when("{partition} lasts {length:d} s and heals")
def step_partition(context, partition, length):
    async def script(fleet, tasks):
        split = 1 if partition == "a partition of one zone" else 2
        if partition.endswith("without seeds"):
            for node in fleet.running():
                node.membership.protocol._seeds.clear()
        first = fleet.group(fleet.zones[:split])
        second = fleet.group(fleet.zones[split:])
        expected = len(first), len(second)
        fleet.network.cut_both_ways(first, second)
        await anyio.sleep(length)
        context.sizes = {(node.address in first, len(node.names())) for node in fleet.running()}
        context.split_sizes = {(True, expected[0]), (False, expected[1])}
        fleet.network.heal()
        context.agreed_s = await fleet.until(fleet.all_agree, AGREEMENT_LIMIT_S)

    run_fleet(context, script)


@then("each side had declared the other dead if the partition {outcome}")
def step_sides(context, outcome):
    all_nodes = {(True, context.num_nodes), (False, context.num_nodes)}
    expected = {"was long": context.split_sizes, "was short": all_nodes}[outcome]
    assert context.sizes == expected, context.sizes


@when("a node announces that it leaves")
def step_announces_leave(context):
    async def script(fleet, tasks):
        leaver = fleet.running()[4]
        name = leaver.node.name
        leaver.membership.leave()
        context.seen_s = await fleet.until(
            lambda: all(node.peer(name).state is PeerState.LEAVING for node in fleet.running()),
            AGREEMENT_LIMIT_S,
        )
        old = replace(leaver.membership.protocol.state.own, state=MemberState.ALIVE)
        await leaver.membership.depart()
        fleet.crash(leaver)
        agreed_s = await fleet.until(fleet.all_agree, AGREEMENT_LIMIT_S)
        sender, *others = fleet.running()
        for other in others:
            await sender.link.cast(other.address, Gossip((replace(old, refutations=99),)))
        await anyio.sleep(1)
        context.is_gone = agreed_s is not None and fleet.all_agree()

    run_fleet(context, script)


@then("all other nodes regard it as leaving within {limit:d} s")
def step_leaving(context, limit):
    assert context.seen_s is not None and context.seen_s < limit, context.seen_s


@when("the leaving node departs and an old ALIVE update about it is gossiped")
def step_departs(context):
    pass  # The step of the announcement does this in the same run of the fleet.


@then("no node regards the departed node as alive")
def step_not_live(context):
    assert context.is_gone


@given('a membership state that holds member "m" at incarnation 5, refutations 2, state {held}')
def step_membership_state(context, held):
    context.state = MembershipState(OWN, MembershipRules(), 0.0)
    context.state.apply(MEMBER, 0.0)
    context.state.apply(replace(MEMBER, state=MemberState[held], accuser="x"), 0.0)


@when(
    "an update arrives with incarnation {incarnation:d}, refutations {refutations:d}, state {update}"
)
def step_update(context, incarnation, refutations, update):
    context.state.apply(
        replace(
            MEMBER, incarnation=incarnation, refutations=refutations, state=MemberState[update]
        ),
        1.0,
    )


@then("the member has state {state}")
def step_member_state(context, state):
    assert context.state.table.get("m").state is MemberState[state]


@when("an attacker forges the death of every node and replays all datagrams of a leave")
def step_forge(context):
    async def script(fleet, tasks):
        codec = MessageCodec()
        leaver = fleet.running()[4]
        context.left = leaver
        fleet.network.recorded = []
        await anyio.sleep(2)
        await fleet.leave(leaver)
        await anyio.sleep(2)
        record, fleet.network.recorded = fleet.network.recorded, None
        tasks.start_soon(context.deaths.watch)
        for target in fleet.running():
            for victim in fleet.running():
                own = victim.membership.protocol.state.own
                death = codec.encode(Gossip((replace(own, state=MemberState.DEAD),)))
                signer = EnvelopeSigner(
                    KeyRing((PeerKey(1, b"a stranger's own key....."),)),
                    NodeId(victim.node.name, 10**9),
                    victim.address,
                )
                data = signer.sign(EnvelopeKind.CAST, death, address_binding(target.address))
                fleet.network.inject(victim.address, target.address, data)
        for destination, data in record:
            fleet.network.inject(leaver.address, destination, data)
        await anyio.sleep(10)
        context.own_refutations = {
            node.membership.protocol.state.own.refutations for node in fleet.running()
        }
        context.stays_absent = fleet.all_agree()

    run_fleet(context, script)


@then("the node that left stays absent")
def step_stays_absent(context):
    assert context.stays_absent
    assert context.own_refutations == {0}, "a node refuted a forged update"


class ListedMachines:
    def __init__(self, machines):
        self._machines = machines

    async def machines(self):
        return Ok(tuple(self._machines))


@when("the machine list marks one node as leaving and omits another running node")
def step_machine_list(context):
    async def script(fleet, tasks):
        nodes = fleet.running()
        marked, omitted, observer = nodes[1], nodes[2], nodes[0]
        machines = [
            Machine(node.address.host, node is marked) for node in nodes if node is not omitted
        ]
        tasks.start_soon(observer.membership._follow_machine_list, ListedMachines(machines))
        await anyio.sleep(10)
        context.marked = observer.peer(marked.node.name).state
        context.omitted = observer.peer(omitted.node.name).state

    run_fleet(context, script)


@then("the marked node is regarded as leaving and the omitted node as alive")
def step_hints(context):
    assert (context.marked, context.omitted) == (PeerState.LEAVING, PeerState.ALIVE)


@given("a membership state that keeps at most {count:d} dead members for {time:d} s")
def step_tombstone_rules(context, count, time):
    context.rules = MembershipRules(max_tombstones=count, tombstone_s=time)
    context.state = MembershipState(OWN, context.rules, 0.0)


@when("{count:d} members join and die")
def step_join_and_die(context, count):
    for number in range(count):
        member = replace(MEMBER, name=f"m{number}")
        context.state.apply(member, 0.0)
        context.state.apply(replace(member, state=MemberState.DEAD), 0.0)


def num_tombstones(context):
    table = context.state.table
    return len(table.in_buckets(table.differing_buckets(()))) - table.num_live


@then("{count:d} dead members are kept")
def step_kept(context, count):
    assert num_tombstones(context) == count, num_tombstones(context)


@then("no dead member is kept {time:d} s later")
def step_none_kept(context, time):
    context.state.table.expire_tombstones(time - context.rules.tombstone_s)
    assert num_tombstones(context) == 0


@when("a second node with a later incarnation starts under a running node's name elsewhere")
def step_second_run(context):
    async def script(fleet, tasks):
        first = fleet.running()[3]
        second = MembershipNode(
            fleet.network,
            NodeId(first.node.name, first.node.incarnation + 10**6),
            NodeAddress("10.9.9.9", 7100),
            first.zone,
            fleet.seeds,
            MembershipRules(),
            context.seed,
        )
        tasks.start_soon(second.run)
        context.noticed_s = await fleet.until(lambda: first.membership.is_superseded, 10.0)

    run_fleet(context, script)


@then("the earlier run notices that it is superseded")
def step_superseded(context):
    assert context.noticed_s is not None


@given("a joining node with {num:d} seeds")
def step_joining_node(context, num):
    seeds = [NodeAddress(f"10.0.1.{host}", 1) for host in range(num)]
    context.protocol = MembershipProtocol(OWN, seeds, MembershipRules(), random.Random(1), 0.0)


@then(
    "the node tries {first:d} different seeds at once, again after 0.5 s, and one seed once it has joined"
)
def step_seeds_tried(context, first):
    def tried_seeds(now_s):
        actions = context.protocol.tick(now_s)
        return [action.destination for action in actions if isinstance(action, StartSync)]

    for now_s in (0.0, 0.5):
        seeds = tried_seeds(now_s)
        assert len(set(seeds)) == len(seeds) == first, seeds
        assert tried_seeds(now_s + 0.25) == []
    seed = NodeAddress("10.0.1.0", 1)
    context.protocol.handle_sync_reply(seed, SyncReply((), ()), 0.8)
    assert len(tried_seeds(1.0)) == 1
