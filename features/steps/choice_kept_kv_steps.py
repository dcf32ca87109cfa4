from random import Random

from behave import given, then, when

from features.steps.choice_eligible_steps import (
    NOW_S,
    TOKENS_PER_BLOCK,
    make_candidate,
    make_request,
)
from features.steps.choice_prefix_aware_steps import FixedMatches
from weirscale.domain.choice.kept_kv import ImportPlanner
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.choice.prefix_match import PrefixMatch
from weirscale.domain.configuration.model import KeptKvStore, RoutingObjective


@given(
    "a kept-KV store of {bandwidth:d} tokens a second and an idle engine with {cached:d} of 1000 blocks cached"
)
def step_store(context, bandwidth, cached):
    context.now_s = NOW_S
    context.prompt = make_request(1, num_blocks=1000)
    context.candidates = [make_candidate("e1")]
    import_planner = ImportPlanner(
        [KeptKvStore("mezgeb", "10.0.2.1:7000", "bole-hall", float(bandwidth))]
    )
    cached_prefixes = FixedMatches({"e1": PrefixMatch(cached, 1.0)})
    context.policy = PrefixAware(cached_prefixes, RoutingObjective(), import_planner=import_planner)


@given("served prompts that share {shared:d} blocks")
def step_served(context, shared):
    for seed in (5, 6):
        other = make_request(seed, num_blocks=1000)
        other.block_hashes[:shared] = context.prompt.block_hashes[:shared]
        context.policy.record_completion(other, "e1", 0, NOW_S)


def choose(context):
    return context.policy.choose(context.prompt, context.candidates, context.now_s, Random(1))


@when("an engine is chosen for the prompt")
def step_choose(context):
    context.choice = choose(context)


@when("{count:d} imports have brought {imported}")
def step_imports(context, count, imported):
    num_cached = int(1000 * TOKENS_PER_BLOCK) if imported == "everything" else 0
    for _ in range(count):
        choose(context)
        context.policy.record_completion(context.prompt, "e1", num_cached, context.now_s)


@when("{seconds:d} seconds have passed")
def step_pass(context, seconds):
    context.now_s += seconds


@then("the choice imports up to block {depth:d}")
def step_imports_to(context, depth):
    choice = context.choice
    expected = context.prompt.block_hashes[depth - 1] if depth else None
    assert choice.import_block_hash == expected, choice
    assert (choice.import_from == "10.0.2.1:7000") == bool(depth)
    assert (choice.estimates[0].import_s > 0) == bool(depth)
