from collections import Counter
from random import Random

import msgspec
from behave import given, then, when

from features.steps.choice_eligible_steps import NOW_S, make_candidate, make_request
from weirscale.domain.choice.peer_sends import PeerSends
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.choice.prefix_match import PrefixMatch
from weirscale.domain.choice.recent_sends import keys_at, ladder_depths
from weirscale.domain.configuration.model import RoutingObjective
from weirscale.domain.prefix.cache_view import CacheView

NUM_BLOCKS = 1000


class FixedMatches:
    """Cached prefixes of the engines that do not depend on the prompt."""

    def __init__(self, matches):
        self.matches = matches

    def match(self, block_hashes, now_s):
        return self.matches


@given("a prefix-aware policy and the engines")
def step_policy(context):
    context.random = Random(3)
    context.peer_sends = PeerSends()
    context.prompt = make_request(1, num_blocks=NUM_BLOCKS)
    context.candidates = [
        make_candidate(
            row["engine"],
            int(row["outstanding"]),
            num_waiting_prefill_tokens=int(row["waiting_tokens"]),
        )
        for row in context.table
    ]
    matches = {row["engine"]: PrefixMatch(int(row["matched_blocks"]), 1.0) for row in context.table}
    context.policy = PrefixAware(FixedMatches(matches), RoutingObjective(), context.peer_sends)


@given(
    'another node announced a send of the prompt to "{engine}" with {tokens:d} tokens to compute'
)
def step_announced(context, engine, tokens):
    keys = keys_at(context.prompt.block_hashes, ladder_depths(NUM_BLOCKS))
    context.peer_sends.record(engine, keys, tokens, NOW_S)


def choose(context, count, is_sent):
    context.choices = []
    for _ in range(count):
        choice = context.policy.choose(context.prompt, context.candidates, NOW_S, context.random)
        context.choices.append(choice)
        if is_sent:
            context.policy.record_send(context.prompt, choice.engine, NOW_S)


@when("an engine is chosen {count:d} times for a prompt of 1000 blocks")
def step_choose(context, count):
    choose(context, count, is_sent=False)


@when("an engine is chosen {count:d} times for a prompt of 1000 blocks and the prompt is sent")
def step_choose_and_send(context, count):
    choose(context, count, is_sent=True)


@when('engine "{engine}" has restarted with another incarnation')
def step_new_run(context, engine):
    context.candidates = [
        msgspec.structs.replace(candidate, incarnation=2)
        if candidate.engine == engine
        else candidate
        for candidate in context.candidates
    ]


@when('{count:d} requests had no cached tokens on "{engine}"')
def step_nothing_cached(context, count, engine):
    for _ in range(count):
        context.policy.choose(context.prompt, context.candidates[:1], NOW_S, context.random)
        context.policy.record_completion(context.prompt, engine, 0, NOW_S)


@then('only "{engine}" was chosen')
def step_only(context, engine):
    chosen = Counter(choice.engine for choice in context.choices)
    assert set(chosen) == {engine}, (chosen, context.choices[0].estimates)


@then("only one engine was chosen")
def step_only_one(context):
    assert len({choice.engine for choice in context.choices}) == 1


@then("the choice expects to wait {seconds:g} seconds")
def step_expects(context, seconds):
    best = context.choices[0].estimates[0]
    assert abs(best.queue_s - seconds) < 1e-6 and best.prefill_s == 0.0, best


@given("{nodes:d} nodes without send notices and with the same reports of {engines:d} idle engines")
def step_nodes(context, nodes, engines):
    context.policies = [PrefixAware(CacheView(), RoutingObjective()) for _ in range(nodes)]
    context.randoms = [Random(number) for number in range(nodes)]
    context.candidates = [make_candidate(f"e{number}") for number in range(engines)]


@when("each node chooses engines for the same {count:d} uncached prompts")
def step_uncached_prompts(context, count):
    context.chosen = [
        [
            policy.choose(make_request(seed), context.candidates, NOW_S, random).engine
            for policy, random in zip(context.policies, context.randoms, strict=True)
        ]
        for seed in range(count)
    ]


@then("no engine gets more than a sixth of the choices")
def step_spread(context):
    counts = Counter(engine for engines in context.chosen for engine in engines)
    assert max(counts.values()) <= sum(counts.values()) / 6, counts


@then("most choices for one prompt agree")
def step_agree(context):
    num_agreeing = sum(Counter(engines).most_common(1)[0][1] for engines in context.chosen)
    assert num_agreeing >= 0.8 * sum(len(engines) for engines in context.chosen), num_agreeing
