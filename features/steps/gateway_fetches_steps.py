"""Steps of `gateway_fetches.feature`."""

from random import Random

import msgspec
from behave import given, then, when

from features.steps.gateway_choice_steps import (
    CAPACITY,
    PROMPT,
    SCOPE,
    SHARED,
    SLOTS,
    SPREAD_SHARE,
    VERSION,
    make_work,
    observe_first_event,
)
from features.support.attempt_records import attempt_records
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.routing.candidate import Candidate, FetchSource, ScopedPrompt
from weirscale.gateway.routing.choice import choose
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.first_event_model import (
    START_RATES,
    FirstEventModel,
    first_event_s,
    missed_share,
)
from weirscale.gateway.routing.load import FleetLoad, Load

FETCHED_TOKENS = 1500


@when(
    "{count:d} first events are observed, after fetches of 1500 tokens from {sources} of which "
    "{failed:d} in 100 fail, and as many without a fetch"
)
def step_observe_fetches(context, count, sources, failed):
    context.model = FirstEventModel()
    random = Random(count + failed)
    for _ in range(count):
        observe_first_event(context, random)
        work = make_work(random)
        num_prefilled = FETCHED_TOKENS if random.random() < failed / 100 else 0
        actual_work = msgspec.structs.replace(work, num_tokens=work.num_tokens + num_prefilled)
        took_s = first_event_s(context.true_rates, actual_work) * random.gauss(1.0, SPREAD_SHARE)
        field = "num_from_engine" if sources == "engines" else "num_from_store"
        context.model.observe(msgspec.structs.replace(work, **{field: FETCHED_TOKENS}), took_s)


@then("a share of {least:g} to {most:g} of the tokens from {source} is expected to be prefilled")
def step_missed_share(context, source, least, most):
    share = missed_share(context.model.rates, source == "stores")
    assert least <= share <= most, share


@given(
    '{source} "{name}" that caches a prompt\'s 800 shared tokens and has {waiting:d} tokens waiting, '
    "and an idle engine that caches none"
)
def step_holder(context, source, name, waiting):
    cache = CachedBlocks(CAPACITY)
    cache.record(SCOPE, (SHARED,), is_ready=True)
    idle = BackEnd("idle", "lm", "idle:1", "here", BackEndState.READY, SLOTS)
    context.candidates = [Candidate(idle, Load(), False, CachedBlocks(CAPACITY), CAPACITY, VERSION)]
    if source == "a store":
        context.source = FetchSource(f"{name}:1", "here", cache)
        return
    holder = BackEnd(name, "lm", f"{name}:1", "here", BackEndState.READY, SLOTS)
    load = Load(0, waiting, 0)
    context.candidates.append(Candidate(holder, load, False, cache, CAPACITY, VERSION))
    context.source = FetchSource(holder.address, "here", cache, VERSION, holder.instance)


@when("an engine is chosen while fetches from engines fail for {failed:g} of the tokens")
def step_choose_failing_fetches(context, failed):
    fetch_s, prefill_s = START_RATES.engine_token_s, START_RATES.token_s
    rates = msgspec.structs.replace(
        START_RATES, engine_token_s=fetch_s + failed * (prefill_s - fetch_s)
    )
    prompt = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    rules = ChoiceRules(rates=rates, affinity_s=0.0)
    context.choice = choose(context.candidates, prompt, [context.source], "here", rules, Random(1))


@then(
    '"{name}" is chosen with an estimate of {least:d} to {most:d} ms, and {added:d} tokens are added '
    "to those waiting there"
)
def step_chosen_with_load(context, name, least, most, added):
    instance = context.choice.candidate.back_end.instance
    assert instance == name, context.choice
    assert least <= 1000 * context.choice.estimate_s <= most, context.choice
    load = FleetLoad()
    records = attempt_records(load, lambda: None)
    records.record_start(context.choice, None, is_unreached=True)
    assert load.own(instance).waiting_tokens == added, load.own(instance)
