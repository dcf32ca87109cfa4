"""Steps of `foreign_entries.feature`."""

import json
from base64 import b64encode
from functools import partial

import anyio
import cbor2
import msgspec
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.steps.relayed_connections_steps import free_address
from features.support.platform_fleet import EventRecorder
from weirscale.domain.identifiers import ServiceName, TenantName
from weirscale.gateway.model.identifiers import RequestId
from weirscale.gateway.peers.datagrams import DatagramSocket
from weirscale.gateway.peers.messages import StateReply, decode_message, encode_message
from weirscale.gateway.peers.registrations import NODE_PREFIX, PeerDirectory
from weirscale.gateway.ports.back_end import (
    LoadMode,
    OrderOutcome,
    OutboundRequest,
    RunState,
    WeightOrder,
)
from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.ports.state_feed import (
    BackEndRegistered,
    RecordChanged,
    StateBatch,
    Unreadable,
    VersionedChange,
)
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale_platform.back_end_client import BackEndClientConnector
from weirscale_platform.items import StoreItem, read_item

WHOLE_ENTRIES = {
    "bytes that are not text": b"\xff\xfe\x00",
    "null": b"null",
    "NaN": b"NaN",
    "deep nesting": b"[" * 100_000,
    "a million letters": b'"' + b"a" * 1_000_000 + b'"',
    "a huge number": b"9" * 10_000,
}
FOREIGN = b"not an entry"


def valid_entry(number):
    return {
        "service": "lm", "address": f"10.3.0.{number}:8080", "zone": "hall-a", "version": "v1",
        "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1,
    }  # fmt: skip


def item(name, value, revision):
    return StoreItem(f"servers/{name}", revision, b64encode(value).decode())


class NodeState:
    """The cluster state of one node, which reads entries of the store."""

    def __init__(self):
        self.log = EventRecorder()
        self.cluster = ClusterState(self.log, lambda: 100.0)
        self.revision = 0
        self.entries = {}

    def write(self, name, value):
        """Write an entry and apply the change that a watch reports."""
        self.revision += 1
        self.entries[name] = item(name, value, self.revision)
        changes = (read_item(self.entries[name]),)
        self.cluster.apply(StateBatch(self.revision, changes), 100.0)

    def apply_full_read(self, cluster=None):
        """Apply a full read of all entries."""
        changes = tuple(read_item(entry) for entry in self.entries.values())
        (cluster or self.cluster).replace_all(StateBatch(self.revision, changes), 100.0)

    def used(self):
        return {back_end.instance for back_end in self.cluster.back_ends.ready(ServiceName("lm"))}


@given('a node that knows back ends "A" and "B"')
def step_node(context):
    context.node_state = NodeState()
    for number, name in enumerate("AB", start=1):
        context.node_state.write(name, json.dumps(valid_entry(number)).encode())
    assert context.node_state.used() == {"A", "B"}


def changed_entry(field, value):
    """Return the bytes of an entry in which one field has the value of a table cell."""
    if field == "the whole entry":
        return WHOLE_ENTRIES[value]
    entry = valid_entry(1)
    if value == "nothing":
        del entry[field]
    else:
        entry[field] = json.loads(value)
    return json.dumps(entry).encode()


@when('the entry of "A" is overwritten with {field} as {value}')
def step_foreign(context, field, value):
    context.node_state.write("A", changed_entry(field.strip(), value))


@when('the entry of "A" is written as it was')
def step_as_it_was(context):
    context.node_state.write("A", json.dumps(valid_entry(1)).encode())


def read_from_another_node(node_state):
    node_state.revision += 1
    foreign = read_item(item("A", FOREIGN, node_state.revision))
    reply = StateReply("node-2", 0, 0, node_state.revision, 5, changes=(foreign,))
    received = decode_message(encode_message(reply))
    node_state.cluster.apply(StateBatch(received.revision, received.changes), 100.0)


def read_in_full_read(node_state):
    node_state.revision += 1
    node_state.entries["A"] = item("A", FOREIGN, node_state.revision)
    node_state.apply_full_read()


def read_at_start(node_state):
    node_state.revision += 1
    node_state.entries["A"] = item("A", FOREIGN, node_state.revision)
    node_state.cluster = ClusterState(node_state.log, lambda: 100.0)
    node_state.apply_full_read()


READERS = {
    "by a watch": lambda node_state: node_state.write("A", FOREIGN),
    "in a full read": read_in_full_read,
    "from another node": read_from_another_node,
    "at the start of the node": read_at_start,
}


@when('the entry of "A" is foreign, read {how}')
def step_how(context, how):
    READERS[how](context.node_state)


@when("{num:d} foreign entries are read in a full read")
def step_many(context, num):
    node_state = context.node_state
    for number in range(num):
        node_state.revision += 1
        node_state.entries[f"f{number}"] = item(f"f{number}", FOREIGN, node_state.revision)
    node_state.apply_full_read()


@then('the node uses only "B", and logs once that the entry of "A" is unreadable')
def step_b_alone(context):
    node_state = context.node_state
    assert node_state.used() == {"B"}, node_state.used()
    lines = node_state.log.named("state_unreadable")
    assert [line["key"] for line in lines] == ["servers/A"], lines


@then('the node uses "A" and "B"')
def step_both(context):
    assert context.node_state.used() == {"A", "B"}, context.node_state.used()


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text(), values, max_size=3),
    max_leaves=8,
)
ENTRY_FIELDS = [*valid_entry(1), "models", "born"]


@given("any bytes, and valid entries with any field changed, omitted or duplicated")
def step_any(context):
    context.read = []

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @given_examples(
        st.binary(max_size=200)
        | st.builds(entry_with_change, st.sampled_from(ENTRY_FIELDS), ANY_JSON, st.booleans())
    )
    def read_any(value):
        context.read.append(read_item(item("A", value, 1)).change)

    read_any()


def entry_with_change(field, value, is_duplicated):
    """Return the bytes of a valid entry with one field changed or duplicated."""
    entry = json.dumps(valid_entry(1)).encode()
    changed = json.dumps({field: value}).encode()
    if is_duplicated:
        return entry[:-1] + b"," + changed[1:]
    return json.dumps(valid_entry(1) | {field: value}).encode()


@then("each is read as an entry or rejected as unreadable, and nothing else happens")
def step_read_or_rejected(context):
    assert len(context.read) >= 100
    kinds = {type(change) for change in context.read}
    assert kinds == {BackEndRegistered, Unreadable}, kinds
    for change in context.read:
        if isinstance(change, BackEndRegistered):
            assert change.back_end.slots >= 1
            assert change.back_end.service
            msgspec.msgpack.encode(change)


class NoConnections:
    """A dialer that opens no connection, and records for which addresses it was called."""

    def __init__(self):
        self.dialed = []

    async def open(self, address):
        self.dialed.append(address)
        raise ConnectionRefusedError

    open_directly = open

    def generation(self, address):
        return 0


CALL_TIMEOUT_S = 0.2
ANY_INSTANCE = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1) | st.text()
BRACKETS = st.sampled_from(["", "[", "]", "[]", "[[", "]]"])
HOSTS = st.sampled_from(["::1", "127.0.0.1", "fe80::1%lo", "::ffff:127.0.0.1", "2001:db8::1", ""])
ANY_ADDRESS = st.sampled_from(["10.3.0.1:8080", "[::1]:8080", "[::1:8080"]) | st.builds(
    "{}{}{}:{}".format, BRACKETS, HOSTS | st.text(max_size=4), BRACKETS,
    st.sampled_from(["9", "09", "0", "65535", "65536", "x", "\u0663"]) | st.text(max_size=3),
)  # fmt: skip


@given("entries with any address, instance name, versions and health path")
def step_any_entries(context):
    context.accepted = []

    @settings(max_examples=400, deadline=None, database=None, derandomize=True)
    @given_examples(
        ANY_INSTANCE,
        ANY_ADDRESS,
        st.integers(0, 2**54) | st.integers(),
        st.text(max_size=8),
        st.text(max_size=5),
    )
    def read_any(instance, address, version, path, tenant):
        entry = valid_entry(1) | {
            "address": address,
            "models": [{"name": "m", "version": version}],
        }
        change = read_item(item(instance, json.dumps(entry).encode(), 1)).change
        if isinstance(change, BackEndRegistered):
            context.accepted.append((change.back_end, path, tenant))

    read_any()


@when("each kind of call is sent to the back end of each entry that is accepted")
def step_call_each(context):
    context.num_answered = 0
    context.dialer = NoConnections()

    async def call_all():
        for back_end, path, tenant in context.accepted:
            await call_back_end(context, back_end, path, tenant)

    anyio.run(call_all)


async def call_back_end(context, back_end, path, tenant):
    """Make every kind of call to a back end, and check that each ends without an answer."""
    port = BackEndClientConnector()(back_end, 4, lambda *_: None, context.dialer)
    assert await port.report(CALL_TIMEOUT_S) is None
    version = back_end.models[0].version
    order = WeightOrder("m", version, "node-1", 1, 2**53, back_end.instance, LoadMode.AFTER_RUNS)
    assert await port.order(order, CALL_TIMEOUT_S) is OrderOutcome.UNKNOWN
    assert await port.is_healthy(path, CALL_TIMEOUT_S) is False
    for check in (partial(port.run_state, path), partial(port.check_run, path)):
        assert await check(CALL_TIMEOUT_S) in (RunState.ENDED, RunState.UNKNOWN)
    async with port.send(outbound(back_end, tenant)) as sent:
        assert sent.is_err(), sent
    await port.close()
    context.num_answered += 1


def outbound(back_end, tenant):
    request = CallerRequest(
        request_id=RequestId("q"), method="POST", target=b"/a/x", host="h", path="/a/x",
        key=None, timeout_s=None, prompt=None, num_tokens=None, resume_after=None, resumes=None,
        headers=((b"host", b"h"), (b"x-attempt-id", b"q")),
    )  # fmt: skip
    return OutboundRequest(
        request=request, body=b"x", instance=back_end.instance, timeout_s=1.0,
        tenant=TenantName(tenant), weight_version=back_end.models[0].version,
    )  # fmt: skip


@then("every call ends without an answer, and no other error is raised")
def step_all_called(context):
    assert len(context.accepted) >= 20, len(context.accepted)
    assert context.num_answered == len(context.accepted)
    assert set(context.dialer.dialed) <= {back_end.address for back_end, _, _ in context.accepted}


@when("an entry is read under the key {key}")
def step_read_key(context, key):
    value = b64encode(json.dumps(valid_entry(1)).encode()).decode()
    context.change = read_item(StoreItem(json.loads(key), 1, value)).change


@then("it is rejected as unreadable")
def step_is_unreadable(context):
    assert isinstance(context.change, Unreadable), context.change


@when("the address {written} is read")
def step_read_address(context, written):
    entry = json.dumps(valid_entry(1) | {"address": written}).encode()
    context.change = read_item(item("A", entry, 1)).change


@then("the back end's address is {address}")
def step_address(context, address):
    assert context.change.back_end.address == address, context.change


OTHER_NODE_KEY = f"{NODE_PREFIX}node-2"


@given("a node that knows another node's registration")
def step_peer(context):
    context.cluster = ClusterState(EventRecorder(), lambda: 100.0)
    context.directory = PeerDirectory("node-1", context.cluster, lambda: 100.0)
    write_registration(context, 1, ("10.1.0.2", 7000, "hall-a", 1, "token"))
    assert context.directory.addresses() == {"node-2": ListenAddress("10.1.0.2", 7000)}


def write_registration(context, revision, fields):
    change = RecordChanged(OTHER_NODE_KEY, cbor2.dumps(fields))
    versioned = VersionedChange(OTHER_NODE_KEY, revision, change)
    context.cluster.apply(StateBatch(revision, (versioned,)), 100.0)


@when(
    "another writer overwrites it with the host {host}, the port {port} and the capacity {capacity}"
)
def step_foreign_peer(context, host, port, capacity):
    fields = (json.loads(host), json.loads(port), "hall-a", json.loads(capacity), "token")
    write_registration(context, 2, fields)


@then("the node sends gossip to the addresses that it knows, and no error is raised")
def step_gossip(context):
    free = free_address()
    socket = DatagramSocket(ListenAddress(free.host, free.port))
    try:
        for address in context.directory.addresses().values():
            socket.send(b"gossip", address)
    finally:
        socket.close()


@then("it knows no other node")
def step_no_peer(context):
    assert context.directory.addresses() == {}
    assert context.directory.relays() == []
    assert len(context.directory.members()) == 1
