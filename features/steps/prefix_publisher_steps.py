from random import Random

import cbor2
import msgspec
from behave import given, then, when

from weirscale.domain.prefix.cache_view import CacheView
from weirscale.domain.prefix.digest_publisher import DIGEST_OVERHEAD_BYTES, DigestPublisher
from weirscale.domain.prefix.engine_index import EngineIndex
from weirscale.domain.prefix.sampling import block_key, is_sampled
from weirscale.messages.cache import BlockRemoved, BlockStored, CacheDump, CacheEventBatch
from weirscale.messages.digest import CacheDigest, DigestRequest


@given("an index of {num_blocks:d} blocks of which {num_changes:d} change a second")
def step_index(context, num_blocks, num_changes):
    context.random = Random(11)
    context.num_changes = num_changes
    context.blocks = [context.random.getrandbits(64) for _ in range(num_blocks)]
    context.index = EngineIndex("e1")
    context.index.load_dump(CacheDump("e1", 1, "qalam", "v1", 1, tuple(context.blocks)), 0.0)
    context.view = CacheView()
    context.publisher = None
    context.digests = []
    context.now_s = 0.0


def apply_events(context, *events):
    sequence = context.index.sequence + 1
    batch = CacheEventBatch("e1", 1, "qalam", "v1", sequence, events)
    context.index.apply(batch, context.now_s)


def change_blocks(context):
    """Replace the oldest blocks; each replacement counts as two changes."""
    num_replaced = context.num_changes // 2
    removed, context.blocks = context.blocks[:num_replaced], context.blocks[num_replaced:]
    new = [context.random.getrandbits(64) for _ in range(num_replaced)]
    context.blocks += new
    apply_events(context, BlockRemoved(tuple(removed)), BlockStored(tuple(new), None))


def publish(context, num_receivers):
    context.now_s += 1.0
    for digest in context.publisher.publish(num_receivers, context.now_s):
        context.digests.append(digest)
        context.view.receive(digest, context.now_s)


@when(
    "the index is published for {seconds:d} seconds to {receivers:d} nodes with {budget:d} bytes a second"
)
def step_publish(context, seconds, receivers, budget):
    if context.publisher is None:
        context.publisher = DigestPublisher(context.index, 5, float(budget))
    context.seconds, context.receivers = seconds, receivers
    for _ in range(seconds):
        change_blocks(context)
        publish(context, receivers)


@when("nothing changes until a refinement is half sent")
def step_half_refined(context):
    context.num_changes = 0
    for _ in range(60):
        declared = context.publisher.sample_bits
        publish(context, context.receivers)
        if context.publisher._sending_bits < declared:
            return
    raise AssertionError("the publisher started no refinement")


@when("{count:d} blocks are removed in one batch")
def step_remove(context, count):
    apply_events(context, BlockRemoved(tuple(context.blocks[:count])))
    context.blocks = context.blocks[count:]


@when("a receiver requests the digests after {offset:d} of stream {stream:d}")
def step_request(context, offset, stream):
    after_sequence = max(context.digests[-1].sequence + offset, 0)
    context.reply = context.publisher.answer(DigestRequest("e1", stream, after_sequence))


@then("the receiver gets {digests:d} digests and {full:d} full digests")
def step_answered(context, digests, full):
    assert context.reply.is_home
    assert len(context.reply.digests) == digests, len(context.reply.digests)
    assert (context.reply.full is not None) == bool(full)


@when("the view is lost and requests a full digest")
def step_request_full(context):
    context.view = CacheView()
    reply = context.publisher.answer(DigestRequest("e1", 0, 0))
    context.view.receive_full(reply.full, context.now_s)


@then("the digests used at most {most:d} bytes a second")
def step_bytes(context, most):
    num_keys_bytes = sum(len(digest.added) + len(digest.removed) for digest in context.digests)
    num_bytes = num_keys_bytes + DIGEST_OVERHEAD_BYTES * len(context.digests)
    assert num_bytes * context.receivers <= most * context.seconds, num_bytes


@then("the sample bits ended between {least:d} and {most:d}")
def step_bits(context, least, most):
    assert least <= context.publisher.sample_bits <= most, context.publisher.sample_bits


@then("the view ends equal to the sampled index")
def step_view_equal(context):
    bits = context.publisher.sample_bits
    keys = {block_key(block_hash) for block_hash in context.index.blocks}
    assert context.publisher.num_waiting_keys == 0
    assert context.view.keys("e1") == {key for key in keys if is_sampled(key, bits)}


@then("every digest encodes to at most {most:d} bytes and decodes to itself")
def step_encodes(context, most):
    assert any(len(digest.added) > most / 2 for digest in context.digests)
    for digest in context.digests:
        encoded = cbor2.dumps(msgspec.to_builtins(digest, builtin_types=(bytes,)))
        assert len(encoded) <= most, len(encoded)
        assert msgspec.convert(cbor2.loads(encoded), CacheDigest) == digest
