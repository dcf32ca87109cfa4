from random import Random

from behave import given, then, when

from weirscale.domain.choice.policy import ChoiceRequest, EngineCandidate
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.configuration.model import EngineRole, RoutingObjective
from weirscale.domain.prefix.cache_view import CacheView

NUM_BLOCKS = 20
TOKENS_PER_BLOCK = 16.0
NOW_S = 100.0


def make_candidate(engine, outstanding=0, limit=64, **changes):
    values = {
        "engine": engine,
        "zone": "bole-hall",
        "role": EngineRole.BOTH,
        "incarnation": 1,
        "weight_version": "v1",
        "link_delay_s": 0.0015,
        "num_outstanding": outstanding,
        "num_waiting_prefill_tokens": 0,
        "prefill_tokens_per_s": 8000.0,
        "max_concurrent_requests": limit,
        "num_total_blocks": 4096,
        "num_cached_blocks": 4096,
        "report_age_s": 0.5,
    }
    return EngineCandidate(**{**values, **changes})


def make_request(seed, excluded=frozenset(), num_blocks=NUM_BLOCKS):
    random = Random(seed)
    return ChoiceRequest(
        request_id=f"r{seed}",
        tenant="bole-school",
        block_hashes=[random.getrandbits(64) for _ in range(num_blocks)],
        num_prompt_tokens=int(num_blocks * TOKENS_PER_BLOCK),
        tokens_per_block=TOKENS_PER_BLOCK,
        excluded=frozenset(excluded),
    )


@given("a policy without cache knowledge and the engines")
def step_policy_and_engines(context):
    context.policy = PrefixAware(CacheView(), RoutingObjective())
    context.random = Random(7)
    context.candidates = [
        make_candidate(row["engine"], int(row["outstanding"]), int(row["limit"]))
        for row in context.table
    ]


def choose(context, request):
    choice = context.policy.choose(request, context.candidates, NOW_S, context.random)
    return "nothing" if choice is None else choice.engine


@when('engines are chosen for {count:d} different prompts with "{excluded}" excluded')
def step_choose_many(context, count, excluded):
    requests = [make_request(seed, [excluded]) for seed in range(count)]
    context.chosen = [choose(context, request) for request in requests]


@then('every choice is "{engine}"')
def step_every_choice(context, engine):
    assert context.chosen and set(context.chosen) == {engine}, context.chosen


@then("no engine is chosen")
def step_no_choice(context):
    assert set(context.chosen) == {"nothing"}, context.chosen
