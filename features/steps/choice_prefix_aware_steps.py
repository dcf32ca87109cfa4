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


class FixedBeliefs:
    def __init__(self, matches):
        self.matches = matches

    def match(self, block_hashes, now_s):
        return self.matches


@given("a prefix-aware policy and engines")
def step_policy(context):
    context.random = Random(3)
    context.noted = PeerSends()
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
    context.policy = PrefixAware(FixedBeliefs(matches), RoutingObjective(), context.noted)


@given('another node noted sending the prompt to "{engine}" with {tokens:d} tokens to compute')
def step_noted(context, engine, tokens):
    keys = keys_at(context.prompt.block_hashes, ladder_depths(NUM_BLOCKS))
    context.noted.record(engine, keys, tokens, NOW_S)


def choose(context, count, is_sent):
    context.choices = []
    for _ in range(count):
        choice = context.policy.choose(context.prompt, context.candidates, NOW_S, context.random)
        context.choices.append(choice)
        if is_sent:
            context.policy.record_send(context.prompt, choice.engine, NOW_S)


@when("a prompt of 1000 blocks is chosen for {count:d} times")
def step_choose(context, count):
    choose(context, count, is_sent=False)


@when("a prompt of 1000 blocks is chosen for and sent {count:d} times")
def step_choose_and_send(context, count):
    choose(context, count, is_sent=True)


@when('engine "{engine}" has come back with another incarnation')
def step_new_run(context, engine):
    context.candidates = [
        msgspec.structs.replace(each, incarnation=2) if each.engine == engine else each
        for each in context.candidates
    ]


@when('{count:d} requests have found nothing cached on "{engine}"')
def step_found_nothing(context, count, engine):
    for _ in range(count):
        context.policy.choose(context.prompt, context.candidates[:1], NOW_S, context.random)
        context.policy.record_completion(context.prompt, engine, 0, NOW_S)


@then('only "{engine}" was chosen')
def step_only(context, engine):
    chosen = Counter(choice.engine for choice in context.choices)
    assert set(chosen) == {engine}, (chosen, context.choices[0].estimates)


@then("only one engine was chosen")
def step_one(context):
    assert len({choice.engine for choice in context.choices}) == 1


@then("the choice expects to wait {seconds:g} seconds")
def step_expects(context, seconds):
    best = context.choices[0].estimates[0]
    assert abs(best.queue_s - seconds) < 1e-6 and best.prefill_s == 0.0, best


@given("{nodes:d} silent nodes with the same reports of {engines:d} idle engines")
def step_nodes(context, nodes, engines):
    context.policies = [PrefixAware(CacheView(), RoutingObjective()) for _ in range(nodes)]
    context.randoms = [Random(number) for number in range(nodes)]
    context.candidates = [make_candidate(f"e{number}") for number in range(engines)]


@when("each node chooses for the same {count:d} cold prompts")
def step_cold(context, count):
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
    most = sum(Counter(engines).most_common(1)[0][1] for engines in context.chosen)
    assert most >= 0.8 * sum(len(engines) for engines in context.chosen), most
