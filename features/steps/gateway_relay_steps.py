"""Steps of `gateway_relay.feature`."""

from random import Random

import anyio
from behave import given, then, when

from features.steps.gateway_state_steps import back_end, keyed_configuration
from features.support.platform_fleet import (
    STORE_ADDRESS,
    EventRecorder,
    Fleet,
    ask,
    configuration,
    request_headers,
    route,
    with_fleet,
)
from features.support.relay_history import RelayHistory
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.peers.groups import Member
from weirscale.gateway.peers.messages import StateReply
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports.state_feed import RecordChanged, StateBatch, VersionedChange
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.change_log import ChangeLog
from weirscale.gateway.state.cluster_state import ClusterState

SETTLE_S = 4.0
READER = "reader"


def names(count):
    return [f"node-{number}" for number in range(1, count + 1)]


def readers_of(names):
    """Return the readers of a fleet of machines that are alike."""
    return choose_readers([Member(name, "hall-a") for name in names])


def play(fleet, count, first, body):
    async def main():
        async def inner():
            fleet.store.put("op/config", first)
            fleet.add_runner(back_end(1))
            for name in names(count):
                await fleet.start_node(name)
            await anyio.sleep(SETTLE_S)
            await body()

        await with_fleet(fleet, inner)

    run_in_virtual_time(main)


def strike(fleet, fault):
    """Bring a fault over all readers; returns the nodes that are expected to go on."""
    readers = readers_of(fleet.nodes)
    sound = [name for name in fleet.nodes if name not in readers]
    for reader in readers:
        if fault == "killed":
            fleet.kill(reader)
        elif fault == "cut off":
            fleet.cuts.add((reader, STORE_ADDRESS))
            fleet.store.cut_watches()
        elif fault == "datagrams lost":
            fleet.silent.add(reader)
    if fault == "a deaf watch":
        fleet.store.withholds_events = True
    if fault == "forgotten history":
        fleet.store.compact()
    return sound if fault in ("killed", "cut off") else list(fleet.nodes)


@given("a fleet of {count:d} nodes")
def step_fleet(context, count):
    context.fleet = Fleet()
    context.count = count
    context.first = configuration(3)


@given("a fleet of {count:d} nodes with a tenant")
def step_fleet_tenant(context, count):
    context.fleet = Fleet()
    context.count = count
    context.first = keyed_configuration(3)


@when("it rests for {seconds:d} seconds while a registration changes each second")
def step_rest(context, seconds):
    fleet = context.fleet

    async def body():
        for number in range(seconds):
            fleet.add_runner(back_end(number + 2))
            if number == seconds - 5:
                fleet.sent_requests.clear()
            await anyio.sleep(1.0)
        context.known = {
            name: set(node.cluster.directory.instances()) for name, node in fleet.nodes.items()
        }

    play(fleet, context.count, context.first, body)


@then("at most {count:d} nodes have asked the store for changes in the last 5 seconds")
def step_few(context, count):
    readers = {name for name, path in context.fleet.sent_requests if path == "/v1/kv-watch"}
    assert 0 < len(readers) <= count, readers


@then("every node knows the latest registrations")
def step_know(context):
    expected = {runner.instance for runner in context.fleet.runners}
    assert all(known == expected for known in context.known.values()), context.known


@when('every reader suffers "{fault}" and configuration 4 is written {delay:g} seconds later')
def step_fault(context, fault, delay):
    context.fault = fault
    context.delay_s = delay


@then("within {seconds:g} seconds every node that is neither dead nor cut off has configuration 4")
def step_in_force(context, seconds):
    fleet = context.fleet
    found = {}

    async def body():
        sound = strike(fleet, context.fault)
        await anyio.sleep(context.delay_s)
        fleet.store.put("op/config", configuration(4))
        await anyio.sleep(seconds)
        found.update({name: fleet.nodes[name].cluster.table.version for name in sound})

    play(fleet, context.count, context.first, body)
    assert found, "no node left"
    assert set(found.values()) == {4}, found


@when("a configuration of {count:d} routes is written")
def step_large(context, count):
    routes = [route(f"route-{number}", f"/{number}/", "idempotent") for number in range(count)]
    context.large = configuration(4, routes)


@then("within {seconds:g} seconds every node has it")
def step_has_large(context, seconds):
    fleet = context.fleet
    found = {}

    async def body():
        fleet.store.put("op/config", context.large)
        await anyio.sleep(seconds)
        found.update({name: node.cluster.table.version for name, node in fleet.nodes.items()})

    play(fleet, context.count, context.first, body)
    assert len(found) == context.count
    assert set(found.values()) == {4}, found


@when('every reader suffers "{fault}" and the tenant\'s key is taken away {delay:g} seconds later')
def step_removed(context, fault, delay):
    context.fault = fault
    context.delay_s = delay


@then("no node serves the key from {seconds:g} seconds on")
def step_serves_not(context, seconds):
    fleet = context.fleet
    statuses = []

    async def body():
        strike(fleet, context.fault)
        await anyio.sleep(context.delay_s)
        fleet.store.put("op/config", keyed_configuration(4, ("other",)))
        await anyio.sleep(seconds)
        for _ in range(10):
            for name, node in list(fleet.nodes.items()):
                headers = [*request_headers(name), (b"authorization", b"Bearer good")]
                answer = await ask(node, "/k/x", "GET", headers, b"")
                cut = (name, STORE_ADDRESS) in fleet.cuts
                statuses.append((cut, anyio.current_time(), answer.status))
            await anyio.sleep(0.5)
        context.written_s = anyio.current_time()

    play(fleet, context.count, context.first, body)
    # A node that is cut off has until the end of its proof, 4.6 s.
    in_touch = [status for cut, _, status in statuses if not cut]
    assert in_touch and set(in_touch) <= {401, 503}, statuses
    last = statuses[-len(fleet.nodes) :]
    assert all(status in (401, 503) for _, _, status in last), last


class Asker:
    """A node's subscription with a clock that tests set."""

    def __init__(self):
        self.now_s = 0.0
        self.sent = []
        log = EventRecorder()
        self.cluster = ClusterState(log, lambda: self.now_s)
        self.cluster.replace_all(StateBatch(100, ()), 0.0)
        self.cluster.confirmed_at_s = float("-inf")
        peers = PeerDirectory("asker", self.cluster, lambda: self.now_s)
        readers = (READER, "reader-2", "reader-3")
        peers.addresses = lambda: dict.fromkeys(readers, ListenAddress("10.0.0.1", 1))
        peers.members = lambda: [Member(name, "") for name in (self._name(), *readers)]
        self.subscription = StateSubscription(
            self._name(), self.cluster, peers, self._send, log, Random(1), lambda: self.now_s
        )

    def _name(self):
        """Return a name that is no reader among these."""
        others = {READER, "reader-2", "reader-3"}
        return next(name for name in names(50) if name not in readers_of(others | {name}))

    async def _send(self, message, _address):
        self.sent.append(message)

    def ask_at(self, now_s):
        self.now_s = now_s

        async def main():
            await self.subscription._send_query()

        run_in_virtual_time(main)
        return self.sent[-1]


def reply_to(query, age_s=0.0, **more):
    fields = {
        "number": query.number,
        "after_revision": query.after_revision,
        "revision": query.after_revision + 1,
    } | more
    return StateReply(READER, proof_age_ms=int(age_s * 1000), **fields)


@given("a node that asked a reader at second {second:g}")
def step_asked(context, second):
    context.asker = Asker()
    context.query = context.asker.ask_at(second)


@when("the reply arrives at second {arrives:g} and tells a proof {age:g} seconds old")
def step_reply(context, arrives, age):
    context.asker.now_s = arrives
    context.asker.subscription.receive(reply_to(context.query, age))


@then("the node's knowledge is proved as of second {proved:g}")
def step_proved(context, proved):
    assert abs(context.asker.cluster.confirmed_at_s - proved) < 0.002


@when('a reply "{kind}" arrives')
def step_odd_reply(context, kind):
    query = context.query
    more = {
        "unasked": {"number": 0},
        "of another query": {"number": query.number + 7},
        "beginning too late": {"after_revision": 150, "revision": 160},
        "left out": {"are_changes_omitted": True},
    }[kind]
    context.asker.subscription.receive(reply_to(query, **more))


@then("the node's knowledge is not proved")
def step_not_proved(context):
    assert context.asker.cluster.confirmed_at_s == float("-inf")


@then("the node {reads} the store")
def step_reads(context, reads):
    is_due = context.asker.subscription._full_read_due.is_set()
    assert is_due == (reads == "has to read")
    assert not context.asker.subscription.is_current()


@given('a log that began at revision {revision:d} and noted changes "{changes}"')
def step_log(context, revision, changes):
    context.log = ChangeLog()
    context.log.begin(revision)
    for change in changes.split():
        key, at = change.split("@")
        context.log.add(VersionedChange(key, int(at), RecordChanged(key, b"")))


@then('the changes after revision {revision:d} are "{told}"')
def step_since(context, revision, told):
    changes = context.log.since(revision)
    if changes is None:
        assert told == "unknown", told
        return
    text = " ".join(f"{change.key}@{change.revision}" for change in changes)
    assert (text or "nothing") == told, text


@given("{count:d} node names")
def step_names(context, count):
    context.names = names(count)


@then("every order of them gives the same {count:d} readers")
def step_same(context, count):
    expected = readers_of(context.names)
    assert len(expected) == count, len(expected)
    assert readers_of(reversed(context.names)) == expected
    context.readers = expected


@then("without one that is no reader the readers are the same")
def step_stable(context):
    for name in context.names[:20]:
        if name not in context.readers:
            assert readers_of(set(context.names) - {name}) == context.readers


@given("{count:d} random histories of a store, a reader and a node that asks it")
def step_histories(context, count):
    context.histories = [RelayHistory(seed) for seed in range(count)]


@then("at no time has a node a value older than its proof")
def step_no_stale(context):
    for seed, history in enumerate(context.histories):
        violation = history.run()
        assert violation is None, (seed, violation)


@then("in most histories the node's proof came from the reader")
def step_proofs(context):
    num_proved = sum(history.num_proofs > 3 for history in context.histories)
    assert num_proved > len(context.histories) / 2, num_proved
