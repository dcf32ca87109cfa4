from behave import given, then, when

from weirscale.domain.prefix.chain import chain_seed, extend_chain

BLOCK_SIZE_BYTES = 64
SEED = chain_seed("bole-school", "qalam", "v1", None)


def hash_blocks(prompt, tenant, model, version, adapter):
    seed = chain_seed(tenant, model, version, None if adapter == "none" else adapter)
    return extend_chain(seed, prompt, 0, BLOCK_SIZE_BYTES)


@given("two prompts that share {count:d} bytes and then differ")
def step_two_prompts(context, count):
    shared = b"s" * count
    context.prompts = (shared + b"a" * 200, shared + b"b" * 200)


@when("both are hashed in blocks of {size:d} bytes")
def step_hash_both(context, size):
    context.chains = [extend_chain(SEED, prompt, 0, size) for prompt in context.prompts]


@then("exactly the first {count:d} block hashes are equal")
def step_first_equal(context, count):
    first, second = context.chains
    equal = [left == right for left, right in zip(first, second, strict=True)]
    assert equal == [True] * count + [False] * (len(first) - count)


@given(
    'a prompt hashed for tenant "{tenant}", model "{model}", version "{version}" and adapter "{adapter}"'
)
def step_hash_reference(context, tenant, model, version, adapter):
    context.prompt = b"a page of the yearbook " * 40
    context.reference = hash_blocks(context.prompt, tenant, model, version, adapter)


@when(
    'it is hashed for tenant "{tenant}", model "{model}", version "{version}" and adapter "{adapter}"'
)
def step_hash_other(context, tenant, model, version, adapter):
    context.other = hash_blocks(context.prompt, tenant, model, version, adapter)


@then("no block hash is equal")
def step_none_equal(context):
    assert len(context.reference) == len(context.other) > 0
    assert not set(context.reference) & set(context.other)
