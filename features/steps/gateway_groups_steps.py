"""Steps of `gateway_groups.feature`."""

from random import Random

import anyio
import cbor2
import msgspec
from behave import given, then, when

from features.support.platform_fleet import EventRecorder, Fleet, configuration, with_fleet
from features.support.platform_runner import RunnerStandIn
from features.support.quota_fleet import host_of_node
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.gossip.group_relay import GroupRelay
from weirscale.gateway.gossip.intervals import gossip_interval_s
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.model.prompt import CacheScope, PromptBlock
from weirscale.gateway.peers.gossip_entries import LoadingGossip, SendGossip, SuspectGossip
from weirscale.gateway.peers.groups import Member, divide
from weirscale.gateway.peers.messages import Gossip
from weirscale.gateway.peers.registrations import NODE_PREFIX, PeerDirectory, Registration
from weirscale.gateway.ports.state_feed import RecordChanged, StateBatch, VersionedChange
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.routing.load import FleetLoad, Load
from weirscale.gateway.settings import QuotaPrecision
from weirscale.gateway.state.cluster_state import ClusterState

SETTLE_S = 4.0
WEAK, STRONG = 30, 100
RUNNER = RunnerStandIn("r-1", "10.3.0.1:8080", "lm")
SCOPE = CacheScope("m", 1).text()
SHARED = (PromptBlock("aa", 800), PromptBlock("bb", 300))
OWN = PromptBlock("cc", 200)


def make_members(count, zones, weak_each=0):
    return [
        Member(
            f"node-{number}",
            f"hall-{number % zones}",
            WEAK if weak_each and number % weak_each == 0 else STRONG,
        )
        for number in range(count)
    ]


@given("{nodes:d} nodes in {zones:d} zones")
def step_nodes(context, nodes, zones):
    context.members = make_members(nodes, zones)
    context.division = divide(context.members)


@given("{nodes:d} nodes in {zones:d} zones, every third of them weak")
def step_weak_nodes(context, nodes, zones):
    # One more zone, since with 3 zones all weak nodes, every third one, would be in the same zone.
    members = make_members(nodes, zones + 1, weak_each=3)
    context.members = members
    context.division = divide(members)


@then("no weak node reads the store, and there are {count:d} readers")
def step_strong_readers(context, count):
    readers = choose_readers(context.members)
    weak = {member.name for member in context.members if member.capacity == WEAK}
    assert len(readers) == count, readers
    assert not weak & set(readers)


@then("there are between {least:d} and {most:d} groups")
def step_groups(context, least, most):
    assert least <= len(context.division.groups) <= most, len(context.division.groups)


@then("every order of the nodes gives the same division")
def step_any_order(context):
    shuffled = list(context.members)
    for seed in range(5):
        Random(seed).shuffle(shuffled)
        assert divide(shuffled) == context.division


@then("no group has more than {most:d} members")
def step_sizes(context, most):
    sizes = sorted(len(group) for group in context.division.groups.values())
    assert sizes[-1] <= most, sizes
    assert sum(sizes) == len(context.members)


@then("each group is in a single zone if there are several groups")
def step_one_zone(context):
    groups = context.division.groups.values()
    assert len(groups) == 1 or all(len({member.zone for member in group}) == 1 for group in groups)


@then("the first head of each group is not a weak node")
def step_strong_heads(context):
    heads = [group[0] for group in context.division.groups.values()]
    assert {head.capacity for head in heads} == {STRONG}, heads
    assert any(
        member.capacity == WEAK for group in context.division.groups.values() for member in group
    )


@when("each node sends gossip as often as allowed")
def step_often(context):
    groups = context.division.groups
    messages_per_s = 1.0 / gossip_interval_s(len(groups))
    context.received = [(len(group) - 1) * messages_per_s for group in groups.values()]
    context.head_received = [
        from_members + (len(groups) - 1) * messages_per_s for from_members in context.received
    ]
    if len(groups) > 1:
        context.received = [from_members + messages_per_s for from_members in context.received]


@then("a node that is not a head receives at most {most:d} messages a second")
def step_received(context, most):
    assert max(context.received) <= most, max(context.received)


@then("a head receives at most {most:d} messages a second")
def step_head_received(context, most):
    assert max(context.head_received) <= most, max(context.head_received)


def run_fleet(context, body):
    fleet = context.fleet

    async def main():
        async def inner():
            fleet.store.put("op/config", configuration(1))
            fleet.add_runner(RUNNER)
            for number in range(context.num_nodes):
                zone = f"hall-{number % context.num_zones}"
                await fleet.start_node(f"node-{number}", zone=zone)
            await anyio.sleep(SETTLE_S)
            await body()

        await with_fleet(fleet, inner)

    run_in_virtual_time(main)


def counted_requests(fleet, names=None):
    """Return how many requests at the runner each node counts."""
    now_s = anyio.current_time()
    return {
        name: node.load.total(RUNNER.instance, now_s).num_requests
        for name, node in fleet.nodes.items()
        if names is None or name in names
    }


@given("a running fleet of {nodes:d} nodes in {zones:d} zones")
def step_fleet(context, nodes, zones):
    context.fleet = Fleet()
    context.num_nodes = nodes
    context.num_zones = zones


@when("each node has {count:d} requests at one runner")
def step_busy(context, count):
    context.count = count


@then("within {seconds:g} seconds every node counts {expected:d} requests at that runner")
def step_counts(context, seconds, expected):
    found = {}

    async def body():
        for node in context.fleet.nodes.values():
            for _ in range(context.count):
                node.load.request_sent(RUNNER.instance, 100, 500)
        await anyio.sleep(seconds)
        found.update(counted_requests(context.fleet))
        for node in context.fleet.nodes.values():
            for _ in range(context.count):
                node.load.first_event_received(RUNNER.instance, 100)
                node.load.request_ended(RUNNER.instance, 500)
        await anyio.sleep(seconds)
        context.after = counted_requests(context.fleet)

    run_fleet(context, body)
    assert set(found.values()) == {expected}, found


@then("within {seconds:g} seconds after their end every node counts {expected:d} requests")
def step_counts_after(context, seconds, expected):
    assert set(context.after.values()) == {expected}, context.after


@when('every head has the fault "{fault}" and each other node has {count:d} request at one runner')
def step_head_fault(context, fault, count):
    context.fault = fault
    context.count = count


@then(
    "within {seconds:g} seconds every node that was not a head counts the requests of all such nodes"
)
def step_counts_others(context, seconds):
    fleet = context.fleet
    found = {}

    async def body():
        heads = [name for name, node in fleet.nodes.items() if node.relay.is_head()]
        assert len(heads) == context.num_zones, heads
        for name in heads:
            if context.fault == "killed":
                fleet.kill(name)
            elif context.fault == "silent":
                fleet.mute.add(name)
        others = [name for name in fleet.nodes if name not in heads]
        for name in others:
            fleet.nodes[name].load.request_sent(RUNNER.instance, 100, 500)
        await anyio.sleep(seconds)
        found.update(counted_requests(fleet, others))

    run_fleet(context, body)
    assert len(found) == context.num_nodes - context.num_zones
    assert set(found.values()) == {len(found)}, found


@when("one node reports that a runner has read a prompt")
def step_reports_read(context):
    context.send = SendGossip(RUNNER.instance, SCOPE, True, (*SHARED, OWN))


@then(
    "within {seconds:g} seconds every node's cache index has the prompt's shared blocks at the runner"
)
def step_cache_index(context, seconds):
    found = {}

    async def body():
        first = next(iter(context.fleet.nodes.values()))
        first.dispatcher.record_blocks(RUNNER.instance, SCOPE, (*SHARED, OWN), True)
        first.outbox.add_send(context.send)
        await anyio.sleep(seconds)
        for name, node in context.fleet.nodes.items():
            cache = node.dispatcher.cache_index.at_tracked_engine(RUNNER.instance)
            found[name] = cache.matched_tokens(SCOPE, SHARED, only_ready=True) if cache else 0

    run_fleet(context, body)
    assert len(found) == context.num_nodes
    assert set(found.values()) == {sum(part.num_tokens for part in SHARED)}, found


@when("one node announces that a runner loads weights")
def step_announces(context):
    pass


@then("within {seconds:g} seconds every node avoids the runner")
def step_avoids(context, seconds):
    found = {}

    async def body():
        first = next(iter(context.fleet.nodes.values()))
        await first._announce_loading(RUNNER.instance, "m", 2, False)
        await anyio.sleep(seconds)
        now_s = anyio.current_time()
        for name, node in context.fleet.nodes.items():
            found[name] = node.dispatcher.candidates.is_loading(RUNNER.instance, now_s)

    run_fleet(context, body)
    assert len(found) == context.num_nodes
    assert all(found.values()), found


@when("one node cannot reach a runner")
def step_unreachable(context):
    pass


@then("within {seconds:g} seconds every node suspects the runner")
def step_suspects(context, seconds):
    found = {}

    async def body():
        first = next(iter(context.fleet.nodes.values()))
        first.health.unreachable(RUNNER.instance, "connect", anyio.current_time())
        first.outbox.add_suspect(SuspectGossip(RUNNER.instance))
        await anyio.sleep(seconds)
        for name, node in context.fleet.nodes.items():
            reasons = [
                event["reason"] for event in context.fleet.logs[name].named("back_end_suspected")
            ]
            found[name] = node is first or "told_by_peer" in reasons

    run_fleet(context, body)
    assert len(found) == context.num_nodes
    assert all(found.values()), found


class RegisteredNodes:
    """The cluster state of one node, with registrations that the test changes."""

    def __init__(self, members, now_s):
        self.members = members
        self.now_s = now_s
        self.cluster = ClusterState(EventRecorder(), lambda: self.now_s)
        self.revision = 0
        for number, member in enumerate(members):
            self.register(member, number)

    def register(self, member, number):
        address = Registration(host_of_node(number), 7000, member.zone, member.capacity)
        self._change(member.name, cbor2.dumps(msgspec.to_builtins(address)))

    def remove(self, name):
        self._change(name, None)

    def _change(self, name, value):
        self.revision += 1
        key = NODE_PREFIX + name
        change = VersionedChange(key, self.revision, RecordChanged(key, value))
        self.cluster.apply(StateBatch(self.revision, (change,)), self.now_s)


class RecordingHead(RegisteredNodes):
    """A head that records its messages; registrations can change while it sends."""

    def __init__(self, members):
        super().__init__(members, 10.0)
        self.name = divide(members).groups["hall-0/0/0"][0].name
        directory = PeerDirectory(self.name, self.cluster, lambda: 10.0, "hall-0", STRONG)
        self.sent = []
        self.during_send = None
        quotas = QuotaLedger(
            QuotaPrecision(), lambda: len(members), lambda: 0.1, Random(1), lambda: 10.0
        )
        self.relay = GroupRelay(self.name, directory, FleetLoad(), quotas, self._send, lambda: 10.0)

    async def _send(self, gossip, addresses):
        self.sent.append((gossip, list(addresses)))
        if self.during_send is not None and gossip.group != "*":
            self.during_send()

    def flush(self):
        loading = LoadingGossip(RUNNER.instance, "m", 2, False)

        async def main():
            # Gossip of other heads goes to the own group, gossip of own members to the heads.
            await self.relay.receive(Gossip("peer", loading=(loading,)))
            await self.relay.receive(Gossip("head", loading=(loading,), group="hall-1/0/0"))
            await self.relay.flush()

        run_in_virtual_time(main)


@given("a head in a fleet of {nodes:d} nodes in {zones:d} zones with gossip for all nodes")
def step_head(context, nodes, zones):
    context.head = RecordingHead(make_members(nodes, zones))


@when("a node of its own group {changes} while it sends to the other heads")
def step_changes_meanwhile(context, changes):
    head = context.head
    peers = [
        member for member in head.members if member.zone == "hall-0" and member.name != head.name
    ]
    if changes == "registers":
        newcomer = Member("node-new", "hall-0", STRONG)
        head.during_send = lambda: head.register(newcomer, 200)
    else:
        head.during_send = lambda: head.remove(peers[0].name)
    head.relay._to_group.add_suspect(SuspectGossip("r-2"))
    head.flush()
    context.num_peers = len(peers)


@then("the head sends its gossip to its whole group")
def step_group_addressed(context):
    to_group = [addresses for gossip, addresses in context.head.sent if gossip.group == "*"]
    assert to_group, "nothing sent to the group"
    assert all(abs(len(addresses) - context.num_peers) <= 1 for addresses in to_group), to_group


@given("the loads of back ends")
def step_loads(context):
    context.load = FleetLoad()


@when(
    'source "{first_source}" reports {first_count:d} requests at second {first_s:g} and source '
    '"{second_source}" {second_count:d} requests at second {second_s:g}'
)
def step_sources(
    context, first_source, first_count, first_s, second_source, second_count, second_s
):
    context.load.receive(first_source, "r", Load(first_count, 0, 0), first_s)
    context.load.receive(second_source, "r", Load(second_count, 0, 0), second_s)


@then("the load is {count:d} requests at second {second:g}")
def step_load_at(context, count, second):
    assert context.load.total("r", second).num_requests == count
