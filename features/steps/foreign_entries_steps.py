"""Steps of `foreign_entries.feature`."""

import json
from base64 import b64encode

import msgspec
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from features.support.platform_fleet import EventRecorder
from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.peers.messages import StateReply, decode_message, encode_message
from weirscale.gateway.ports.state_feed import BackEndRegistered, StateBatch, Unreadable
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale_platform.items import StoreItem, read_item

WHOLE = {
    "bytes that are no text": b"\xff\xfe\x00",
    "null": b"null",
    "NaN": b"NaN",
    "deep nesting": b"[" * 100_000,
    "a million letters": b'"' + b"a" * 1_000_000 + b'"',
    "a huge number": b"9" * 10_000,
}
FOREIGN = b"not an entry"


def good_entry(number):
    return {
        "service": "lm", "address": f"10.3.0.{number}:8080", "zone": "hall-a", "version": "v1",
        "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1,
    }  # fmt: skip


def item(name, value, revision):
    return StoreItem(f"servers/{name}", revision, b64encode(value).decode())


class World:
    """A node's state, fed with entries of the store."""

    def __init__(self):
        self.log = EventRecorder()
        self.cluster = ClusterState(self.log, lambda: 100.0)
        self.revision = 0
        self.entries = {}

    def write(self, name, value):
        """Have the watch bring an entry."""
        self.revision += 1
        self.entries[name] = item(name, value, self.revision)
        changes = (read_item(self.entries[name]),)
        self.cluster.apply(StateBatch(self.revision, changes), 100.0)

    def read_all(self, cluster=None):
        """Read everything anew."""
        changes = tuple(read_item(one) for one in self.entries.values())
        (cluster or self.cluster).replace_all(StateBatch(self.revision, changes), 100.0)

    def used(self):
        return {one.instance for one in self.cluster.back_ends.ready(ServiceName("lm"))}


@given('a node that knows back ends "A" and "B"')
def step_node(context):
    context.world = World()
    for number, name in enumerate("AB", start=1):
        context.world.write(name, json.dumps(good_entry(number)).encode())
    assert context.world.used() == {"A", "B"}


def changed_entry(field, value):
    """Return the bytes of an entry of which one field is as a cell of a table says."""
    if field == "the whole":
        return WHOLE[value]
    entry = good_entry(1)
    if value == "nothing":
        del entry[field]
    else:
        entry[field] = json.loads(value)
    return json.dumps(entry).encode()


@when('the entry of "A" is written anew with {field} as {value}')
def step_foreign(context, field, value):
    context.world.write("A", changed_entry(field.strip(), value))


@when('the entry of "A" is written as before')
def step_as_before(context):
    context.world.write("A", json.dumps(good_entry(1)).encode())


def from_another_node(world):
    world.revision += 1
    foreign = read_item(item("A", FOREIGN, world.revision))
    reply = StateReply("node-2", 0, 0, world.revision, 5, changes=(foreign,))
    received = decode_message(encode_message(reply))
    world.cluster.apply(StateBatch(received.revision, received.changes), 100.0)


def with_everything(world):
    world.revision += 1
    world.entries["A"] = item("A", FOREIGN, world.revision)
    world.read_all()


def at_start(world):
    world.revision += 1
    world.entries["A"] = item("A", FOREIGN, world.revision)
    world.cluster = ClusterState(world.log, lambda: 100.0)
    world.read_all()


HOW = {
    "by the watch": lambda world: world.write("A", FOREIGN),
    "with everything else": with_everything,
    "from another node": from_another_node,
    "at the start of the node": at_start,
}


@when('the entry of "A" is foreign, read {how}')
def step_how(context, how):
    HOW[how](context.world)


@when("{num:d} foreign entries are read with everything else")
def step_many(context, num):
    world = context.world
    for number in range(num):
        world.revision += 1
        world.entries[f"f{number}"] = item(f"f{number}", FOREIGN, world.revision)
    world.read_all()


@then('it uses "B" alone, and tells once that the entry of "A" cannot be read')
def step_b_alone(context):
    world = context.world
    assert world.used() == {"B"}, world.used()
    lines = world.log.named("state_unreadable")
    assert [line["key"] for line in lines] == ["servers/A"], lines


@then('it uses "A" and "B"')
def step_both(context):
    assert context.world.used() == {"A", "B"}, context.world.used()


ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)
ENTRY_FIELDS = [*good_entry(1), "models", "born"]


@given("any bytes, and good entries with any field changed, left out or doubled")
def step_any(context):
    context.read = []

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @given_examples(
        st.binary(max_size=200)
        | st.builds(changed_by, st.sampled_from(ENTRY_FIELDS), ANY_JSON, st.booleans())
    )
    def read_any(value):
        context.read.append(read_item(item("A", value, 1)).change)

    read_any()


def changed_by(field, value, is_doubled):
    """Return a good entry's bytes with one field changed, or standing there twice."""
    entry = json.dumps(good_entry(1)).encode()
    changed = json.dumps({field: value}).encode()
    if is_doubled:
        return entry[:-1] + b"," + changed[1:]
    return json.dumps(good_entry(1) | {field: value}).encode()


@then("each is read as an entry or refused, and never anything else")
def step_read_or_refused(context):
    assert len(context.read) >= 100
    kinds = {type(change) for change in context.read}
    assert kinds == {BackEndRegistered, Unreadable}, kinds
    for change in context.read:
        if isinstance(change, BackEndRegistered):
            assert change.back_end.slots >= 1
            assert change.back_end.service
            msgspec.msgpack.encode(change)
