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
    observe_one,
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
    "{count:d} first events are observed, after fetches of 1500 tokens from {places} of which "
    "{missed:d} in 100 do not come, and as many without a fetch"
)
def step_observe_fetches(context, count, places, missed):
    context.model = FirstEventModel()
    random = Random(count + missed)
    for _ in range(count):
        observe_one(context, random)
        work = make_work(random)
        read = FETCHED_TOKENS if random.random() < missed / 100 else 0
        seen = msgspec.structs.replace(work, num_tokens=work.num_tokens + read)
        took_s = first_event_s(context.true_rates, seen) * random.gauss(1.0, SPREAD_SHARE)
        kind = "num_from_engine" if places == "engines" else "num_from_store"
        context.model.observe(msgspec.structs.replace(work, **{kind: FETCHED_TOKENS}), took_s)


@then("of tokens from {place} a share of {least:g} to {most:g} is expected to be read")
def step_missed_share(context, place, least, most):
    share = missed_share(context.model.rates, place == "stores")
    assert least <= share <= most, share


@given(
    '{place} "{name}" with a prompt\'s shared 800 tokens and {waiting:d} tokens waiting, and an idle '
    "runner without them"
)
def step_keeper(context, place, name, waiting):
    keeps = CachedBlocks(CAPACITY)
    keeps.record(SCOPE, (SHARED,), is_ready=True)
    idle = BackEnd("idle", "lm", "idle:1", "here", BackEndState.READY, SLOTS)
    context.candidates = [Candidate(idle, Load(), False, CachedBlocks(CAPACITY), CAPACITY, VERSION)]
    if place == "a store":
        context.source = FetchSource(f"{name}:1", "here", keeps)
        return
    keeper = BackEnd(name, "lm", f"{name}:1", "here", BackEndState.READY, SLOTS)
    load = Load(0, waiting, 0)
    context.candidates.append(Candidate(keeper, load, False, keeps, CAPACITY, VERSION))
    context.source = FetchSource(keeper.address, "here", keeps, VERSION, keeper.instance)


@when("a choice is made while fetches from engines miss {missed:g} of the tokens")
def step_fetches_miss(context, missed):
    fetch_s, read_s = START_RATES.engine_token_s, START_RATES.token_s
    rates = msgspec.structs.replace(
        START_RATES, engine_token_s=fetch_s + missed * (read_s - fetch_s)
    )
    need = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    rules = ChoiceRules(rates=rates, affinity_s=0.0)
    context.choice = choose(context.candidates, need, [context.source], "here", rules, Random(1))


@then(
    '"{name}" is chosen, expected after {least:d} to {most:d} ms, and {unread:d} tokens count there '
    "as unread"
)
def step_recorded(context, name, least, most, unread):
    instance = context.choice.candidate.back_end.instance
    assert instance == name, context.choice
    assert least <= 1000 * context.choice.estimate_s <= most, context.choice
    load = FleetLoad()
    records = attempt_records(load, lambda: None)
    records.record_start(context.choice, None, is_unreached=True)
    assert load.own(instance).waiting_tokens == unread, load.own(instance)
