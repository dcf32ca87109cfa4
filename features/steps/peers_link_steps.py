import random
import re

import anyio
import cbor2
import msgspec
from behave import given, then, when
from hypothesis import strategies as st
from result import Err, Ok

from features.support.async_steps import async_when
from features.support.generated import for_all
from features.support.loopback import free_address
from features.support.poor_network import PoorNetwork
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.experiments.memory_network import LinkQuality
from weirscale.messages.codec import CodecFailure, MessageCodec
from weirscale.messages.envelope import (
    EnvelopeKind,
    EnvelopeSigner,
    KeyRing,
    PeerKey,
    address_binding,
)
from weirscale.node.peers.link import PeerLink
from weirscale.ports.peers_network import UdpHttpPeerNetwork

OLD_KEY = PeerKey(1, b"old secret of 24 bytes..")
NEW_KEY = PeerKey(2, b"new secret of 24 bytes..")
OTHER_KEY = PeerKey(1, b"a stranger's own secret.")
ADDRESS_A = NodeAddress("10.0.0.1", 7000)
ADDRESS_B = NodeAddress("10.0.0.2", 7000)
ID_A = NodeId("a", 100)
ID_B = NodeId("b", 100)
FAULTS = {
    "every datagram duplicated": LinkQuality(duplicate_rate=1.0),
    "heavy reordering": LinkQuality(jitter_s=2.0),
    "a third of datagrams dropped": LinkQuality(drop_rate=0.33),
}


class Note(msgspec.Struct, frozen=True, tag="test_note", array_like=True):
    text: str


class Answer(msgspec.Struct, frozen=True, tag="test_answer", array_like=True):
    text: str
    filler: bytes = b""


class Question(msgspec.Struct, frozen=True, tag="test_question", array_like=True):
    text: str
    filler: bytes = b""


class Node:
    def __init__(self, network, node_id, address, keys=(OLD_KEY,)):
        self.keys = KeyRing(keys)
        self.address = address
        self.casts = []
        self.num_calls = 0
        self.link = PeerLink(network, node_id, address, self.keys, random.Random(str(node_id)))
        self.link.on_cast(Note, lambda source, note: self.casts.append((source, note.text)))
        self.link.on_call(Question, self.answer)

    async def answer(self, question: Question) -> Answer:
        self.num_calls += 1
        return Answer(question.text + " answered", question.filler)


class NodePair:
    """Two nodes on an in-memory network; `run` runs a script in virtual time."""

    def __init__(self, quality=None):
        self.quality = quality

    def run(self, script):
        async def main():
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                self.network = PoorNetwork(tasks, random.Random(7), self.quality)
                self.network.recorded = []
                self.a = self.start(ID_A, ADDRESS_A)
                self.b = self.start(ID_B, ADDRESS_B)
                await script()
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)

    def start(self, node_id, address):
        node = Node(self.network.attach(address, "zone"), node_id, address)
        self.tasks.start_soon(node.link.run)
        return node


def run_on_pair(context, script):
    context.pair.run(lambda: script(context.pair))


@given("two linked nodes")
def step_two_nodes(context):
    context.pair = NodePair()
    context.prepare = None


@given("two linked nodes over a link with {fault}")
def step_two_nodes_poor_link(context, fault):
    context.pair = NodePair(FAULTS[fault])


@async_when("node A sends {count:d} concurrent calls to a new run of node B", run_on_pair)
async def step_concurrent_calls(context, pair, count):
    pair.network.detach(ADDRESS_B)
    new_b = pair.start(NodeId(ID_B.name, ID_B.incarnation + 1), ADDRESS_B)
    context.replies = {}

    async def call(number):
        question = Question(f"question {number}")
        context.replies[number] = await pair.a.link.call(ADDRESS_B, question, 30.0)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(call, number)
    context.num_handled = new_b.num_calls


@then("all {count:d} calls are answered and each was handled once")
def step_all_answered(context, count):
    expected = {number: Ok(Answer(f"question {number} answered")) for number in range(count)}
    assert context.replies == expected, context.replies
    assert context.num_handled == count, context.num_handled


@async_when('node A casts "{cast}" and calls "{call}" to node B', run_on_pair)
async def step_cast_and_call(context, pair, cast, call):
    await pair.a.link.cast(ADDRESS_B, Note(cast))
    context.reply = await pair.a.link.call(ADDRESS_B, Question(call), 1.0)
    await anyio.sleep(1)


@then("node B's casts from node A are {texts}")
def step_received_casts(context, texts):
    expected = [(ADDRESS_A, text) for text in re.findall(r'"(.*?)"', texts)]
    assert context.pair.b.casts == expected, context.pair.b.casts


@then('node A has the reply "{text}"')
def step_has_reply(context, text):
    assert context.reply == Ok(Answer(text)), context.reply


@given('node A has cast "{text}" to node B over a recorded network')
def step_recorded_cast(context, text):
    async def prepare():
        await context.pair.a.link.cast(ADDRESS_B, Note(text))
        await context.pair.b.link.cast(ADDRESS_A, Note("to a"))
        await anyio.sleep(1)

    context.prepare = prepare


def signed_cast(key, payload, incarnation=100, destination=ADDRESS_B):
    signer = EnvelopeSigner(KeyRing((key,)), NodeId("a", incarnation), ADDRESS_A)
    for _ in range(50):
        signer.sign(EnvelopeKind.CAST, b"", b"")
    return signer.sign(EnvelopeKind.CAST, payload, address_binding(destination))


def hostile_datagram(context, name):
    recorded = [data for to, data in context.pair.network.recorded if to == ADDRESS_B]
    binding = address_binding(ADDRESS_B)
    note = MessageCodec().encode(Note("forged"))
    flipped = bytearray(recorded[0])
    flipped[-1] ^= 1
    makers = {
        "the recorded cast again": lambda: recorded[0],
        "the recorded cast with a flipped bit": lambda: bytes(flipped),
        "a cast signed with another key": lambda: signed_cast(OTHER_KEY, note),
        "a cast with an unknown key id": lambda: signed_cast(NEW_KEY, note),
        "an empty datagram": lambda: b"",
        "random bytes under a known key id": lambda: b"\x01" + random.Random(3).randbytes(90),
        "a signed envelope that is not CBOR": lambda: KeyRing((OLD_KEY,)).sign(
            b"\xff\xff\xff", binding
        ),
        "a signed envelope of the wrong shape": lambda: KeyRing((OLD_KEY,)).sign(
            cbor2.dumps([0, "a", -5]), binding
        ),
        "a signed cast of an unknown type": lambda: signed_cast(
            OLD_KEY, cbor2.dumps(["nobody", 1])
        ),
        "a signed cast with a field too few": lambda: signed_cast(
            OLD_KEY, cbor2.dumps(["test_note"])
        ),
        "a cast that was sent to node A": lambda: signed_cast(OLD_KEY, note, destination=ADDRESS_A),
        "a cast of an earlier run of node A": lambda: signed_cast(OLD_KEY, note, incarnation=99),
    }
    return makers[name]()


@async_when("an attacker sends to node B {datagram}", run_on_pair)
async def step_attacker_sends(context, pair, datagram):
    await context.prepare()
    pair.b.link.traffic.num_rejected.clear()
    pair.network.inject(NodeAddress("10.9.9.9", 9), ADDRESS_B, hostile_datagram(context, datagram))
    await anyio.sleep(1)


@then('node B has counted a rejection "{kind}"')
def step_counted_rejection(context, kind):
    assert context.pair.b.link.traffic.num_rejected == {kind: 1}, (
        context.pair.b.link.traffic.num_rejected
    )


@async_when(
    "node B restarts and an attacker replays all recorded datagrams to it while node A is absent",
    run_on_pair,
)
async def step_replay_after_restart(context, pair):
    await context.prepare()
    assert pair.b.casts, "the recorded datagrams must include a delivered cast"
    record = [data for to, data in pair.network.recorded if to == ADDRESS_B]
    pair.network.detach(ADDRESS_A)
    pair.b = pair.start(NodeId("b", 200), ADDRESS_B)
    for data in record * 2:
        pair.network.inject(ADDRESS_A, ADDRESS_B, data)
        await anyio.sleep(0.1)


@async_when('node A calls "{text}" to node B and the call arrives twice', run_on_pair)
async def step_call_twice(context, pair, text):
    endpoint = pair.network.attach(NodeAddress("10.0.0.3", 1), "zone")
    calls = []
    handler = pair.network.endpoints[ADDRESS_B].handler

    async def recording_handler(request):
        calls.append(request)
        return await handler(request)

    pair.network.endpoints[ADDRESS_B].handler = recording_handler
    assert isinstance(await pair.a.link.call(ADDRESS_B, Question(text), 1.0), Ok)
    for request in tuple(calls):
        await endpoint.call(ADDRESS_B, request, 1.0)


@then("node B has run the call {count:d} time")
def step_call_count(context, count):
    assert context.pair.b.num_calls == count, context.pair.b.num_calls


@async_when("node A casts {count:d} messages at once to node B", run_on_pair)
async def step_busy_sender(context, pair, count):
    for number in range(count):
        await pair.a.link.cast(ADDRESS_B, Note(str(number)))
    await anyio.sleep(1)


@then("node B has sent at most {limit:d} challenges")
def step_few_challenges(context, limit):
    num_challenges = context.pair.b.link.traffic.sent["challenge"].num_messages
    assert 1 <= num_challenges <= limit, num_challenges


@async_when(
    "the keys change from old to new on one node at a time, with a cast in each direction at each step",
    run_on_pair,
)
async def step_rotate(context, pair):
    context.num_steps = 0

    async def exchange():
        context.num_steps += 1
        await pair.a.link.cast(ADDRESS_B, Note(str(context.num_steps)))
        await pair.b.link.cast(ADDRESS_A, Note(str(context.num_steps)))
        await anyio.sleep(1)

    await exchange()
    for keys in ((OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY), (NEW_KEY,)):
        for node in (pair.a, pair.b):
            node.keys.replace(keys)
            await exchange()
    pair.network.inject(
        ADDRESS_A, ADDRESS_B, signed_cast(OLD_KEY, MessageCodec().encode(Note("late")))
    )
    await anyio.sleep(1)


@then("every cast has arrived")
def step_every_cast(context):
    expected = [str(number + 1) for number in range(context.num_steps)]
    assert [text for _, text in context.pair.a.casts] == expected, context.pair.a.casts
    assert [text for _, text in context.pair.b.casts] == expected, context.pair.b.casts


@then("casts signed with the old key alone are rejected")
def step_old_key_rejected(context):
    rejected = context.pair.b.link.traffic.num_rejected
    assert rejected == {"unknown_key": 1}, rejected


@async_when("node A casts {count:d} numbered messages to node B", run_on_pair)
async def step_numbered(context, pair, count):
    for number in range(count):
        await pair.a.link.cast(ADDRESS_B, Note(str(number)))
        await anyio.sleep(0.01 if number else 5.0)
    await anyio.sleep(10)


@then("node B has received each at most once and at least {least:d} of them")
def step_at_most_once(context, least):
    texts = [text for _, text in context.pair.b.casts]
    assert len(texts) == len(set(texts)), "a cast was delivered twice"
    assert len(texts) >= least, len(texts)


@when("arbitrary bytes and mutated messages are decoded")
def step_decode_arbitrary(context):
    codec = MessageCodec(max_message_bytes=200)
    codec.register(Note)
    context.failures = set()

    def decode(data):
        decoded = codec.decode(data)
        if isinstance(decoded, Err):
            assert isinstance(decoded.err_value, CodecFailure)
            context.failures.add(decoded.err_value.kind.value)
        else:
            assert isinstance(decoded.ok_value, Note)

    @for_all(300, st.binary(max_size=300))
    def arbitrary(data):
        decode(data)

    @for_all(200, st.recursive(st.integers() | st.text() | st.binary(), st.lists))
    def arbitrary_items(item):
        decode(cbor2.dumps(["test_note", item]))
        decode(cbor2.dumps({"type": item}))

    decode(b"\x81" * 199)
    decode(b"\x00" * 201)
    decode(cbor2.dumps(["unheard", 1]))


@then("the codec raised no exception")
def step_codec_failures(context):
    expected = {"not_cbor", "no_tag", "unknown_tag", "wrong_shape", "too_large"}
    assert context.failures == expected, context.failures


@given("two nodes connected by UDP and HTTP on loopback")
def step_real_nodes(context):
    context.addresses = [free_address() for _ in range(3)]


@when("they exchange a cast and a call of {size:d} bytes in each direction")
def step_real_exchange(context, size):
    first, second, closed = context.addresses
    context.replies = []

    async def main():
        networks = [UdpHttpPeerNetwork(first), UdpHttpPeerNetwork(second)]
        nodes = [Node(networks[0], ID_A, first), Node(networks[1], ID_B, second)]
        arrived = anyio.Event()
        for node in nodes:
            node.link.on_cast(Note, lambda source, note, node=node: record_cast(node, source, note))

        def record_cast(node, source, note):
            node.casts.append((source, note.text))
            if all(other.casts for other in nodes):
                arrived.set()

        async with anyio.create_task_group() as tasks:
            for network, node in zip(networks, nodes, strict=True):
                await tasks.start(network.run)
                tasks.start_soon(node.link.run)
            for node, other in (nodes, reversed(nodes)):
                question = Question("q", bytes(size))
                context.replies.append(await node.link.call(other.address, question, 10.0))
                await node.link.cast(other.address, Note("over UDP"))
            context.closed_port_reply = await nodes[0].link.call(closed, Question("q"), 10.0)
            with anyio.fail_after(10):
                await arrived.wait()
            tasks.cancel_scope.cancel()
        context.casts = [node.casts for node in nodes]

    anyio.run(main)
    context.size = size


@then("the real network delivered both in each direction")
def step_real_delivered(context):
    first, second, _ = context.addresses
    assert context.replies == [Ok(Answer("q answered", bytes(context.size)))] * 2, str(
        context.replies
    )[:400]
    assert context.casts == [[(second, "over UDP")], [(first, "over UDP")]], context.casts


@then("a call to a closed port was provably not sent")
def step_closed_port(context):
    assert (
        isinstance(context.closed_port_reply, Err)
        and context.closed_port_reply.err_value.provably_not_sent
    )
