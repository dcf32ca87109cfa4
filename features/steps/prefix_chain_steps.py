from random import Random
from unittest.mock import patch

from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from weirscale.domain.prefix.chain import chain_seed, extend_chain
from weirscale.domain.prefix.chain_cache import ChainCache

BLOCK_SIZE_BYTES = 64
SEED = chain_seed("bole-school", "qalam", "v1", None)


def hash_blocks(prompt, tenant, model, version, adapter):
    seed = chain_seed(tenant, model, version, None if adapter == "none" else adapter)
    return extend_chain(seed, prompt, 0, BLOCK_SIZE_BYTES)


@given("two prompts that share {count:d} bytes and then differ")
def step_two_prompts(context, count):
    shared = b"s" * count
    context.prompts = (shared + b"a" * 200, shared + b"b" * 200)


@when("both prompts are hashed in blocks of {size:d} bytes")
def step_hash_both(context, size):
    context.chains = [extend_chain(SEED, prompt, 0, size) for prompt in context.prompts]


@then("exactly the first {count:d} block hashes are equal")
def step_first_equal(context, count):
    first, second = context.chains
    are_equal = [left == right for left, right in zip(first, second, strict=True)]
    assert are_equal == [True] * count + [False] * (len(first) - count)


@given(
    'a prompt hashed for tenant "{tenant}", model "{model}", version "{version}" and adapter "{adapter}"'
)
def step_hash_reference(context, tenant, model, version, adapter):
    context.prompt = b"a page of the yearbook " * 40
    context.reference = hash_blocks(context.prompt, tenant, model, version, adapter)


@when(
    'the prompt is hashed for tenant "{tenant}", model "{model}", version "{version}" and adapter "{adapter}"'
)
def step_hash_other(context, tenant, model, version, adapter):
    context.other = hash_blocks(context.prompt, tenant, model, version, adapter)


@then("no block hash is equal")
def step_none_equal(context):
    assert len(context.reference) == len(context.other) > 0
    assert not set(context.reference) & set(context.other)


@then("cached chains equal computed chains for any nested prompts, block sizes and seeds")
def step_cached_equal(context):
    pieces = [Random(number).randbytes(7000) for number in range(4)]

    @settings(max_examples=40, deadline=None, derandomize=True, database=None)
    @given_data(
        st.lists(st.lists(st.integers(0, 3), max_size=8), max_size=4),
        st.sampled_from([16, 64, 100, 20_000]),
        st.sampled_from([SEED, SEED + 1]),
        st.integers(0, 99),
    )
    def check(prompts, block_size, seed, num_tail_bytes):
        cache = ChainCache()
        for numbers in prompts + prompts:
            prompt = b"".join(pieces[number] for number in numbers) + b"t" * num_tail_bytes
            for each_seed in (seed, SEED):
                cached = cache.chain(each_seed, prompt, block_size)
                assert list(cached) == extend_chain(each_seed, prompt, 0, block_size)

    check()


@then("a chain cache of {max_bytes:d} bytes stays within its size after {size:d} MB of prompts")
def step_bounded(context, max_bytes, size):
    cache = ChainCache(max_bytes=max_bytes)
    for number in range(size):
        cache.chain(SEED, Random(number).randbytes(1024 * 1024), BLOCK_SIZE_BYTES)
        assert 0 < cache.num_bytes <= max_bytes


@given("a prompt of {size:d} bytes in a chain cache")
def step_cached_prompt(context, size):
    context.prompt = Random(1).randbytes(size)
    context.cache = ChainCache()
    context.cache.chain(SEED, context.prompt, BLOCK_SIZE_BYTES)


@when("the prompt is extended by {size:d} bytes and its chain is requested again")
def step_extended(context, size):
    context.num_hashed = 0

    def counting_extend_chain(*arguments):
        hashes = extend_chain(*arguments)
        context.num_hashed += len(hashes)
        return hashes

    with patch("weirscale.domain.prefix.chain_cache.extend_chain", counting_extend_chain):
        context.cache.chain(SEED, context.prompt + b"x" * size, BLOCK_SIZE_BYTES)


@then("fewer than {limit:d} blocks are hashed")
def step_few_hashed(context, limit):
    assert 0 < context.num_hashed < limit, context.num_hashed
