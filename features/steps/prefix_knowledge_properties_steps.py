from random import Random

from behave import then
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from weirscale.domain.prefix.block_set import BlockSet
from weirscale.domain.prefix.cache_view import CacheView, ViewOutcome
from weirscale.domain.prefix.digest_publisher import DigestPublisher
from weirscale.domain.prefix.engine_index import MAX_GAP_S, ApplyOutcome, EngineIndex
from weirscale.domain.prefix.engine_masks import EngineMasks
from weirscale.domain.prefix.sampling import block_key, is_sampled
from weirscale.messages.cache import (
    AllBlocksCleared,
    BlockRemoved,
    BlockStored,
    CacheDump,
    CacheEventBatch,
)
from weirscale.messages.digest import DigestRequest

PROPERTY = settings(max_examples=60, deadline=None, derandomize=True, database=None)
SPREAD = Random(3)
HASHES = [SPREAD.getrandbits(64) | 1 for _ in range(24)]
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["store"] * 5 + ["remove"] * 4 + ["clear", "restart", "reload"]),
        st.sets(st.sampled_from(HASHES), max_size=6),
    ),
    max_size=40,
)
FATES = st.lists(st.sampled_from(["now", "late", "twice", "lost"]), min_size=1, max_size=40)


class ModelEngine:
    """A plain engine that publishes batches and keeps its blocks at each sequence number."""

    def __init__(self):
        self.incarnation, self.version, self.sequence, self.held = 1, "v1", 0, set()
        self.history = {(1, 0): frozenset()}

    def perform(self, action, hashes):
        if action == "restart":
            self.incarnation, self.sequence, self.held = self.incarnation + 1, 0, set()
            self.history[(self.incarnation, 0)] = frozenset()
            return None
        if action == "store":
            events = (BlockStored(tuple(hashes), None),)
            self.held |= hashes
        elif action == "remove":
            events = (BlockRemoved(tuple(hashes)),)
            self.held -= hashes
        else:
            if action == "reload":
                self.version += "+"
            events = (AllBlocksCleared(),)
            self.held = set()
        self.sequence += 1
        self.history[(self.incarnation, self.sequence)] = frozenset(self.held)
        return CacheEventBatch("e1", self.incarnation, "qalam", self.version, self.sequence, events)

    def dump(self):
        return CacheDump(
            "e1", self.incarnation, "qalam", self.version, self.sequence, tuple(self.held)
        )


def deliver(messages, fates):
    """Return messages as a faulty network delivers them: a late one follows the next message."""
    arrived, late = [], []
    for number, message in enumerate(messages):
        fate = fates[number % len(fates)]
        if fate == "late":
            late.append(message)
            continue
        if fate != "lost":
            arrived.extend([message] * (2 if fate == "twice" else 1))
        arrived.extend(late)
        late = []
    return arrived + late


@then("the block set equals a plain set after any additions and removals")
def step_block_set(context):
    @PROPERTY
    @given_data(
        st.lists(st.tuples(st.booleans(), st.integers(0, 4), st.integers(1, 4)), max_size=60)
    )
    def check(changes):
        compact, plain = BlockSet(), set()
        for is_added, slot, number in changes:
            # Few slots with many hashes each cause runs of collisions.
            block_hash = (slot << 24) + (number << 40) + (number if slot else 0)
            if is_added:
                assert compact.add(block_hash) == (block_hash not in plain)
                plain.add(block_hash)
            else:
                assert compact.discard(block_hash) == (block_hash in plain)
                plain.discard(block_hash)
            assert len(compact) == len(plain)
        assert set(compact) == plain and all(block_hash in compact for block_hash in plain)

    check()


@then(
    "the engine index equals the model at its sequence after any gaps, reorders, duplicates and runs"
)
def step_engine_index(context):
    @PROPERTY
    @given_data(ACTIONS, FATES)
    def check(actions, fates):
        engine, index = ModelEngine(), EngineIndex("e1")
        batches = [batch for batch in (engine.perform(*action) for action in actions) if batch]
        gap_opened_s = None
        for now_s, batch in enumerate(deliver(batches, fates)):
            outcome = index.apply(batch, float(now_s))
            assert (outcome is ApplyOutcome.GAP) <= index.has_gap
            index.expire(float(now_s))
            held = set(index.blocks)
            assert held <= engine.history[(index.incarnation, index.sequence)]
            if not index.has_gap:
                assert held == engine.history[(index.incarnation, index.sequence)]
                gap_opened_s = None
            elif gap_opened_s is None:
                gap_opened_s = now_s
            elif now_s - gap_opened_s >= MAX_GAP_S:
                assert not held
        index.load_dump(engine.dump(), 1e6)
        assert set(index.blocks) == engine.held and not index.has_gap
        for batch in batches:
            assert index.apply(batch, 1e6) in (ApplyOutcome.VOID, ApplyOutcome.DUPLICATE)
        assert set(index.blocks) == engine.held

    check()


def sampled_keys(index, bits):
    return {key for key in map(block_key, index.blocks) if is_sampled(key, bits)}


@then("the cache view equals the sampled index after any losses, reorders, duplicates and runs")
def step_cache_view(context):
    @PROPERTY
    @given_data(ACTIONS, FATES, st.sampled_from([20.0, 60.0, 1e6]))
    def check(actions, fates, bytes_per_s):
        engine, index, view = ModelEngine(), EngineIndex("e1"), CacheView()
        publisher = DigestPublisher(index, stream=5, bytes_per_s=bytes_per_s)
        network = Network(publisher, view)
        for number, action in enumerate(actions):
            batch = engine.perform(*action)
            if batch:
                index.apply(batch, network.now_s)
            network.publish(0.2, fates[number % len(fates)], is_gap_answered=number % 3 == 0)
        # After any losses, publishing without changes and an answered request complete the view.
        for _ in range(200):
            network.publish(1.0, "now", is_gap_answered=True)
        assert publisher.num_waiting_keys == 0
        assert view.keys("e1") == sampled_keys(index, publisher.sample_bits)

    check()


class Network:
    """Deliver digests from a publisher to a view, with the fate of each publication."""

    def __init__(self, publisher, view):
        self.publisher, self.view, self.now_s, self.late = publisher, view, 0.0, []

    def publish(self, elapsed_s, fate, is_gap_answered):
        self.now_s += elapsed_s
        digests = self.publisher.publish(1, self.now_s)
        overdue, self.late = self.late, digests if fate == "late" else []
        copies = {"now": 1, "twice": 2}.get(fate, 0)
        outcomes = [self.view.receive(digest, self.now_s) for digest in digests * copies + overdue]
        if ViewOutcome.GAP in outcomes and is_gap_answered:
            self.answer()

    def answer(self):
        reply = self.publisher.answer(DigestRequest("e1", *self.view.position("e1")))
        for digest in reply.digests:
            self.view.receive(digest, self.now_s)
        if reply.full:
            self.view.receive_full(reply.full, self.now_s)


@then("leading depths by bisection equal those by scanning for any engines and sample")
def step_bisection(context):
    @PROPERTY
    @given_data(
        st.lists(st.integers(0, 64), max_size=6),
        st.integers(0, 4),
        st.integers(0, 10**6),
        st.booleans(),
    )
    def check(depths, sample_bits, seed, has_holes):
        random = Random(seed)
        chain = [random.getrandbits(64) for _ in range(64)]
        masks = EngineMasks()
        bits = [masks.new_bit() for _ in depths]
        for bit, depth in zip(bits, depths, strict=True):
            for block_hash in chain[:depth]:
                is_hole = has_holes and random.random() < 0.3
                if is_sampled(block_key(block_hash), sample_bits) and not is_hole:
                    masks.add(block_key(block_hash), bit)
        found_depths = dict.fromkeys(bits, 0)
        answered_mask = 0
        for mask, depth in masks.leading_depths(chain, 24, sample_bits, masks.live):
            assert mask and not mask & answered_mask, "an engine has two depths"
            answered_mask |= mask
            found_depths.update({bit: depth for bit in bits if mask & bit})
        sampled = [
            i
            for i, block_hash in enumerate(chain)
            if is_sampled(block_key(block_hash), sample_bits)
        ]
        for bit, depth in zip(bits, depths, strict=True):
            deepest = max((i + 1 for i in sampled if i < depth), default=0)
            assert found_depths[bit] <= deepest if has_holes else found_depths[bit] == deepest

    check()
