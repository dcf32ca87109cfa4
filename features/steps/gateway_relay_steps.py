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


def node_names(count):
    return [f"node-{number}" for number in range(1, count + 1)]


def readers_of(names):
    """Return the readers of a fleet of equal machines in one zone."""
    return choose_readers([Member(name, "hall-a") for name in names])


def run_fleet(fleet, count, first_configuration, body):
    """Run `body()` in a fleet of `count` nodes after `SETTLE_S`, in virtual time."""

    async def main():
        async def run_body():
            fleet.store.put("op/config", first_configuration)
            fleet.add_runner(back_end(1))
            for name in node_names(count):
                await fleet.start_node(name)
            await anyio.sleep(SETTLE_S)
            await body()

        await with_fleet(fleet, run_body)

    run_in_virtual_time(main)


def inject_fault(fleet, fault):
    """Inject a fault at all readers, and return the nodes that are expected to get changes."""
    readers = readers_of(fleet.nodes)
    other_nodes = [name for name in fleet.nodes if name not in readers]
    for reader in readers:
        if fault == "killed":
            fleet.kill(reader)
        elif fault == "partitioned":
            fleet.cuts.add((reader, STORE_ADDRESS))
            fleet.store.cut_watches()
        elif fault == "datagrams lost":
            fleet.silent.add(reader)
    if fault == "watch without events":
        fleet.store.withholds_events = True
    if fault == "compacted history":
        fleet.store.compact()
    return other_nodes if fault in ("killed", "partitioned") else list(fleet.nodes)


@given("a fleet of {count:d} nodes")
def step_fleet(context, count):
    context.fleet = Fleet()
    context.count = count
    context.first_configuration = configuration(3)


@given("a fleet of {count:d} nodes with a tenant")
def step_fleet_tenant(context, count):
    context.fleet = Fleet()
    context.count = count
    context.first_configuration = keyed_configuration(3)


@when("it runs for {seconds:d} seconds while a registration is added each second")
def step_run(context, seconds):
    fleet = context.fleet

    async def body():
        for number in range(seconds):
            fleet.add_runner(back_end(number + 2))
            if number == seconds - 5:
                fleet.sent_requests.clear()
            await anyio.sleep(1.0)
        context.registered = {
            name: set(node.cluster.directory.instances()) for name, node in fleet.nodes.items()
        }

    run_fleet(fleet, context.count, context.first_configuration, body)


@then("at most {count:d} nodes have queried the store for changes in the last 5 seconds")
def step_few_readers(context, count):
    readers = {name for name, path in context.fleet.sent_requests if path == "/v1/kv-watch"}
    assert 0 < len(readers) <= count, readers


@then("every node has the latest registrations")
def step_latest_registrations(context):
    expected = {runner.instance for runner in context.fleet.runners}
    assert all(registered == expected for registered in context.registered.values()), (
        context.registered
    )


@when('every reader has the fault "{fault}" and configuration 4 is written {delay:g} seconds later')
def step_fault(context, fault, delay):
    context.fault = fault
    context.delay_s = delay


@then(
    "within {seconds:g} seconds every node that is neither killed nor partitioned has configuration 4"
)
def step_in_force(context, seconds):
    fleet = context.fleet
    versions = {}

    async def body():
        reachable = inject_fault(fleet, context.fault)
        await anyio.sleep(context.delay_s)
        fleet.store.put("op/config", configuration(4))
        await anyio.sleep(seconds)
        versions.update({name: fleet.nodes[name].cluster.table.version for name in reachable})

    run_fleet(fleet, context.count, context.first_configuration, body)
    assert versions, "no node left"
    assert set(versions.values()) == {4}, versions


@when("a configuration of {count:d} routes is written")
def step_large(context, count):
    routes = [route(f"route-{number}", f"/{number}/", "idempotent") for number in range(count)]
    context.large = configuration(4, routes)


@then("within {seconds:g} seconds every node has it")
def step_has_large(context, seconds):
    fleet = context.fleet
    versions = {}

    async def body():
        fleet.store.put("op/config", context.large)
        await anyio.sleep(seconds)
        versions.update({name: node.cluster.table.version for name, node in fleet.nodes.items()})

    run_fleet(fleet, context.count, context.first_configuration, body)
    assert len(versions) == context.count
    assert set(versions.values()) == {4}, versions


@when(
    'every reader has the fault "{fault}" and the tenant\'s key is removed {delay:g} seconds later'
)
def step_removed(context, fault, delay):
    context.fault = fault
    context.delay_s = delay


@then("no node accepts the key after {seconds:g} seconds")
def step_key_rejected(context, seconds):
    fleet = context.fleet
    statuses = []

    async def body():
        inject_fault(fleet, context.fault)
        await anyio.sleep(context.delay_s)
        fleet.store.put("op/config", keyed_configuration(4, ("other",)))
        await anyio.sleep(seconds)
        for _ in range(10):
            for name, node in list(fleet.nodes.items()):
                headers = [*request_headers(name), (b"authorization", b"Bearer good")]
                answer = await ask(node, "/k/x", "GET", headers, b"")
                is_partitioned = (name, STORE_ADDRESS) in fleet.cuts
                statuses.append((is_partitioned, anyio.current_time(), answer.status))
            await anyio.sleep(0.5)
        context.written_s = anyio.current_time()

    run_fleet(fleet, context.count, context.first_configuration, body)
    # A partitioned node may accept the key until its proof expires after 4.6 s.
    connected = [status for is_partitioned, _, status in statuses if not is_partitioned]
    assert connected and set(connected) <= {401, 503}, statuses
    last = statuses[-len(fleet.nodes) :]
    assert all(status in (401, 503) for _, _, status in last), last


class QueryingNode:
    """A node's subscription, with a clock that tests set."""

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
        """Return a name with which this node is not a reader."""
        others = {READER, "reader-2", "reader-3"}
        return next(name for name in node_names(50) if name not in readers_of(others | {name}))

    async def _send(self, message, _address):
        self.sent.append(message)

    def send_query_at(self, now_s):
        """Send a query to a reader at a time, and return the query."""
        self.now_s = now_s

        async def main():
            await self.subscription._send_query()

        run_in_virtual_time(main)
        return self.sent[-1]


def reply_to(query, age_s=0.0, **changed_fields):
    fields = {
        "number": query.number,
        "after_revision": query.after_revision,
        "revision": query.after_revision + 1,
    } | changed_fields
    return StateReply(READER, proof_age_ms=int(age_s * 1000), **fields)


@given("a node that queried a reader at second {second:g}")
def step_queried(context, second):
    context.querying_node = QueryingNode()
    context.query = context.querying_node.send_query_at(second)


@when("the reply arrives at second {arrives:g} and states a proof that is {age:g} seconds old")
def step_reply(context, arrives, age):
    context.querying_node.now_s = arrives
    context.querying_node.subscription.receive(reply_to(context.query, age))


@then("the node's state is proved as of second {proved:g}")
def step_proved(context, proved):
    assert abs(context.querying_node.cluster.confirmed_at_s - proved) < 0.002


@when('a reply "{kind}" arrives')
def step_useless_reply(context, kind):
    query = context.query
    changed_fields = {
        "unsolicited": {"number": 0},
        "for another query": {"number": query.number + 7},
        "with a gap": {"after_revision": 150, "revision": 160},
        "without changes": {"are_changes_omitted": True},
    }[kind]
    context.querying_node.subscription.receive(reply_to(query, **changed_fields))


@then("the node's state is not proved")
def step_not_proved(context):
    assert context.querying_node.cluster.confirmed_at_s == float("-inf")


@then("the node {reads} the store")
def step_reads(context, reads):
    is_due = context.querying_node.subscription._full_read_due.is_set()
    assert is_due == (reads == "has to read")
    assert not context.querying_node.subscription.is_current()


@given('a change log that began at revision {revision:d} and recorded the changes "{changes}"')
def step_log(context, revision, changes):
    context.log = ChangeLog()
    context.log.begin(revision)
    for change in changes.split():
        key, change_revision = change.split("@")
        context.log.add(VersionedChange(key, int(change_revision), RecordChanged(key, b"")))


@then('the changes after revision {revision:d} are "{expected}"')
def step_since(context, revision, expected):
    changes = context.log.since(revision)
    if changes is None:
        assert expected == "unknown", expected
        return
    text = " ".join(f"{change.key}@{change.revision}" for change in changes)
    assert (text or "nothing") == expected, text


@given("{count:d} node names")
def step_names(context, count):
    context.names = node_names(count)


@then("their reverse order gives the same {count:d} readers")
def step_same_readers(context, count):
    expected = readers_of(context.names)
    assert len(expected) == count, len(expected)
    assert readers_of(reversed(context.names)) == expected
    context.readers = expected


@then("without a node that is not a reader the readers are the same")
def step_stable(context):
    for name in context.names[:20]:
        if name not in context.readers:
            assert readers_of(set(context.names) - {name}) == context.readers


@given("{count:d} random histories of a store, a reader and a node that queries the reader")
def step_histories(context, count):
    context.histories = [RelayHistory(seed) for seed in range(count)]


@then("the node never has a value that is older than its proof")
def step_no_stale(context):
    for seed, history in enumerate(context.histories):
        violation = history.run()
        assert violation is None, (seed, violation)


@then("in most histories the node's state was proved by the reader")
def step_proofs(context):
    num_proved = sum(history.num_proofs > 3 for history in context.histories)
    assert num_proved > len(context.histories) / 2, num_proved
