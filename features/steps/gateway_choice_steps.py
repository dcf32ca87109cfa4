"""Steps of `gateway_choice.feature`."""

from collections import Counter
from random import Random

import anyio
import msgspec
from behave import given, then, when

from features.support.platform_fleet import (
    EventRecorder,
    Fleet,
    ask,
    configuration,
    generation_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.prompt import CacheScope, Prompt, PromptBlock
from weirscale.gateway.model.topology import Location
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.routing.candidate import Candidate, FetchSource, ScopedPrompt
from weirscale.gateway.routing.choice import choose
from weirscale.gateway.routing.choice_rules import ChoiceRules
from weirscale.gateway.routing.dispatcher import Dispatcher, PeerView
from weirscale.gateway.routing.first_event_model import (
    MAX_RATES,
    MIN_RATES,
    START_RATES,
    FirstEventModel,
    FirstEventRates,
    PrefillWork,
    first_event_s,
)
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import Load
from weirscale.gateway.settings import RetryBudgetRules

CAPACITY = 10_000
SLOTS = 8
VERSION = 2
SHARED = PromptBlock("aa", 800)
OWN = PromptBlock("bb", 200)
PROMPT = Prompt("m", (SHARED, OWN), 1000, 20)
SCOPE = CacheScope("m", VERSION).text()
LOADS = {
    "busy": Load(4, 6000, 4000),
    "long queue": Load(3, 12_000, 3000),
    "full memory": Load(2, 0, 9500),
    "full slots": Load(SLOTS + 2, 0, 0),
    "very long queue": Load(4, 20_000, 4000),
}
TRIALS = 300


def parse_blocks(text):
    blocks = []
    for entry in text.split(","):
        block_id, _, tokens = entry.partition(":")
        blocks.append(PromptBlock(block_id, int(tokens)))
    return tuple(blocks)


def make_candidate(name, traits):
    cache = CachedBlocks(CAPACITY)
    if "caches it" in traits:
        cache.record(SCOPE, (SHARED,), is_ready=True)
    if "was sent it" in traits:
        cache.record(SCOPE, (SHARED,), is_ready=False)
    if "caches it for another tenant" in traits:
        cache.record(CacheScope("m", VERSION, "t9").text(), (SHARED,), is_ready=True)
    if "caches it for old weights" in traits:
        cache.record(CacheScope("m", VERSION - 1).text(), (SHARED,), is_ready=True)
    load = next((LOADS[trait] for trait in traits if trait in LOADS), Load())
    zone = "there" if "other zone" in traits else "here"
    back_end = BackEnd(name, "lm", f"10.0.0.1:{len(name)}", zone, BackEndState.READY, SLOTS)
    return Candidate(
        back_end,
        load,
        "suspect" in traits,
        cache,
        CAPACITY,
        VERSION,
        newest_version=VERSION + 1 if "newer target" in traits else None,
        has_spare_permit="spare permit" in traits,
    )


@given('two engines, "{first}" and "{second}"')
def step_engines(context, first, second):
    context.candidates = [
        make_candidate("first", first.split(",")),
        make_candidate("second", second.split(",")),
    ]


@when('a node in zone "{zone}" chooses an engine for a prompt of 800 shared and 200 own tokens')
def step_choose(context, zone):
    prompt = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    sources = [
        FetchSource(
            candidate.back_end.address,
            candidate.back_end.zone,
            candidate.cache,
            VERSION,
            candidate.back_end.instance,
        )
        for candidate in context.candidates
    ]
    context.choices = [
        choose(context.candidates, prompt, sources, zone, ChoiceRules(), Random(seed))
        for seed in range(20)
    ]


@then('"{name}" is chosen, with {cached:d} tokens cached and {fetched:d} fetched')
def step_chosen(context, name, cached, fetched):
    names = {choice.candidate.back_end.instance for choice in context.choices}
    assert len(names) == 1 if name == "always the same" else names == {name}, names
    assert {choice.cached_tokens for choice in context.choices} == {cached}
    assert {choice.fetched_tokens for choice in context.choices} == {fetched}
    for choice in context.choices:
        assert (choice.fetch_from is not None) == (fetched > 0)
        assert choice.read_tokens == PROMPT.num_tokens - cached - fetched


@when("{nodes:d} nodes choose an engine for each of {count:d} prompts that no engine caches")
def step_choose_uncached(context, count, nodes):
    context.chosen_names = []
    for number in range(count):
        blocks = (PromptBlock(f"{number:x}", 800), PromptBlock(f"own{number:x}", 200))
        prompt = ScopedPrompt(Prompt("m", blocks, 1000, 20), {VERSION: SCOPE})
        context.chosen_names.append(
            {
                choose(
                    context.candidates, prompt, [], "here", ChoiceRules(), Random(seed)
                ).candidate.back_end.instance
                for seed in range(nodes)
            }
        )


@then(
    "the nodes agree on nearly all prompts, and the first engine gets between {least:d} and {most:d} of "
    "these"
)
def step_uncached_spread(context, least, most):
    agreed = [names for names in context.chosen_names if len(names) == 1]
    assert len(agreed) >= 0.9 * len(context.chosen_names), len(agreed)
    num_first = sum("first" in names for names in agreed)
    assert least <= num_first <= most, num_first


@given("{count:d} engines without requests, each with up to {most_ms:d} ms of waiting prompts")
def step_waiting_engines(context, count, most_ms):
    context.candidates = []
    for number in range(count):
        cache = CachedBlocks(CAPACITY)
        cache.record(SCOPE, (SHARED,), is_ready=True)
        waiting = int(most_ms * number / count / 1000.0 / START_RATES.waiting_token_s)
        engine = BackEnd(
            f"r-{number}", "lm", f"10.0.1.{number}:1", "here", BackEndState.READY, SLOTS
        )
        load = Load(0, waiting, 0)
        context.candidates.append(Candidate(engine, load, False, cache, CAPACITY, VERSION))


@when("{nodes:d} nodes choose an engine for a prompt each while gossip is {delay:g} seconds late")
def step_late_gossip(context, nodes, delay):
    dispatcher = Dispatcher(
        Location("here"),
        None,
        None,
        None,
        0.0,
        Random(1),
        lambda: 0.0,
        peers=PeerView(gossip_delay_s=lambda: delay),
    )
    prompt = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    rules = dispatcher.rules("lm")
    choices = [
        choose(context.candidates, prompt, [], "here", rules, Random(seed)) for seed in range(nodes)
    ]
    context.counts = Counter(choice.candidate.back_end.instance for choice in choices)


@then("the most chosen engine gets between {least:d} and {most:d} of the prompts")
def step_most_chosen(context, least, most):
    max_count = max(context.counts.values())
    assert least <= max_count <= most, context.counts


@given("an engine that caches {tokens:d} tokens")
def step_cache(context, tokens):
    context.cache = CachedBlocks(tokens)


@when('the blocks "{first}" and then "{second}" are recorded there')
def step_recorded_blocks(context, first, second):
    context.cache.record(SCOPE, parse_blocks(first), is_ready=True)
    context.cache.record(SCOPE, parse_blocks(second), is_ready=True)


@when('the blocks "{blocks}" are sent there and not prefilled')
def step_not_prefilled(context, blocks):
    context.cache.record(SCOPE, parse_blocks(blocks), is_ready=False)
    context.cache.forget(SCOPE, parse_blocks(blocks))


@then('"{blocks}" matches {tokens:d} cached tokens')
def step_matches(context, blocks, tokens):
    assert context.cache.matched_tokens(SCOPE, parse_blocks(blocks)) == tokens


class CacheFleet:
    """Nodes with tenants, in front of two engines."""

    def __init__(self, num_nodes):
        self.num_nodes = num_nodes
        self.statuses = []

    def run(self, script):
        self.fleet = Fleet()

        async def main():
            async def body():
                tenants = [
                    {"name": "open", "api_keys": ["k-open"]},
                    {"name": "open2", "api_keys": ["k-open2"]},
                    {"name": "isolated", "api_keys": ["k-isolated"], "isolated": True},
                ]
                routes = [
                    route("note", "/n/", "streaming", service="lm", public=False, max_attempts=1),
                ]
                self.fleet.store.put("op/config", configuration(1, routes, tenants))
                for number in (1, 2):
                    self.fleet.add_runner(
                        RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm")
                    )
                for number in range(1, self.num_nodes + 1):
                    await self.fleet.start_node(f"node-{number}")
                await anyio.sleep(0.5)
                await script(list(self.fleet.nodes.values()))

            await with_fleet(self.fleet, body)

        run_in_virtual_time(main)

    async def generate(self, node, request_id, key="k-open"):
        headers = generation_headers(request_id, key=key)
        answer = await ask(node, "/n/1", headers=headers)
        self.statuses.append(answer.status)

    def runs(self):
        return [(runner, run) for runner in self.fleet.runners for run in runner.runs]


@given("{nodes:d} nodes and 2 engines that cache prompts")
def step_cache_fleet(context, nodes):
    context.cache_fleet = CacheFleet(nodes)


@when("one node sends a prompt, and then the other node the same prompt")
def step_same_prompt(context):
    async def script(nodes):
        await context.cache_fleet.generate(nodes[0], "q1")
        await anyio.sleep(0.2)
        for number in range(5):
            await context.cache_fleet.generate(nodes[1], f"p{number}")

    context.cache_fleet.run(script)


@then("all runs were at the same engine")
def step_same_engine(context):
    assert {runner.instance for runner, _ in context.cache_fleet.runs()}.__len__() == 1


@when('tenants "{first}" and "{second}" and "{third}" send the same prompt')
def step_tenants(context, first, second, third):
    async def script(nodes):
        for tenant in (first, second, third):
            await context.cache_fleet.generate(nodes[0], tenant, f"k-{tenant}")

    context.cache_fleet.run(script)


@then('the cache scopes of "{first}" and "{second}" are the same and that of "{other}" differs')
def step_scopes(context, first, second, other):
    scopes = {run.request_id: run.salt for _, run in context.cache_fleet.runs()}
    assert scopes[first] == scopes[second] != scopes[other], scopes


@when("the engine chosen first refuses a request, and 5 more are sent at once")
def step_refuses(context):
    async def script(nodes):
        faults = ["refuse"]
        for runner in context.cache_fleet.fleet.runners:
            runner.faults = faults
        await context.cache_fleet.generate(nodes[0], "q0")
        for number in range(1, 6):
            context.cache_fleet.fleet.tasks.start_soon(
                context.cache_fleet.generate, nodes[0], f"q{number}"
            )
        await anyio.sleep(1.0)

    context.cache_fleet.run(script)


@then("the engine that refused received 1 request")
def step_refusing(context):
    runners = context.cache_fleet.fleet.runners
    refusing = [runner for runner in runners if len(runner.arrivals) > len(runner.runs)]
    assert [len(runner.arrivals) for runner in refusing] == [1]
    assert sorted(context.cache_fleet.statuses) == [200] * 5 + [503]


@given("a back end's circuit breaker")
def step_circuit(context):
    context.health = BackEndHealth(EventRecorder(), Random(1))
    context.now_s = 100.0


@when('the circuit breaker observes "{events}"')
def step_observe_events(context, events):
    for event in events.split(","):
        if event == "wait":
            context.now_s += 1.0
        elif event == "settle":
            context.now_s += 3.0
        elif event == "success":
            context.health.succeeded("r", context.now_s)
        elif event == "failure":
            context.health.failed("r", "reset", context.now_s)
        elif event == "unreachable":
            context.health.unreachable("r", "connect", context.now_s)
        else:
            context.health.probe_succeeded("r", context.now_s)
            context.now_s += 3.0


@then('the circuit breaker "{admits}" requests')
def step_admits(context, admits):
    admitted = sum(context.health.admits("r", context.now_s) for _ in range(TRIALS))
    if admits == "admits":
        assert admitted == TRIALS, admitted
    elif admits == "does not admit":
        assert admitted == 0, admitted
    else:
        assert 0 < admitted < TRIALS / 2, admitted


@given(
    "a retry budget of {share:g} per request and {extra:g} extra in {window_s:g} seconds, shared by "
    "{nodes:d} nodes"
)
def step_shared_budget(context, share, extra, window_s, nodes):
    context.rules = RetryBudgetRules(share, extra, window_s)
    context.num_nodes = nodes


@when("a node that {start} has received {requests:d} requests")
def step_received(context, start, requests):
    context.budget = SharedRetryBudget(context.rules, 100.0, start == "was restarted")
    for _ in range(requests):
        context.budget.record_request("lm", 105.0)


@then("it may retry at most {most:d} and at least {least:d} times")
def step_may_retry(context, most, least):
    taken = 0
    while context.budget.try_take("lm", context.num_nodes, 106.0):
        taken += 1
    assert least <= taken <= most, taken


NUM_TESTED = 200
LATE_S = 2.0
SPREAD_SHARE = 0.15


def make_work(random):
    """Return the work of an engine for a request of random size."""
    waiting = max(0, int(random.gauss(0, 6000)))
    return PrefillWork(int(random.lognormvariate(7.5, 1.2)), waiting, random.randrange(12))


@given(
    "engines that prefill {tokens_per_ms:g} tokens per ms, plus {base_ms:g} ms and {active_ms:g} ms "
    "per active request"
)
def step_true_rates(context, tokens_per_ms, base_ms, active_ms):
    token_s = 1e-3 / tokens_per_ms
    context.true_rates = FirstEventRates(base_ms / 1e3, token_s, 0.7 * token_s, active_ms / 1e3)


def observe_first_event(context, random, late_percent=0):
    """Observe the first event of a prompt without any fetch."""
    work = make_work(random)
    took_s = first_event_s(context.true_rates, work) * random.gauss(1.0, SPREAD_SHARE)
    took_s += LATE_S if random.random() < late_percent / 100 else 0.0
    context.model.observe(work, took_s)


@when("{count:d} first events are observed, {late_percent:d} in a hundred of them 2 s late")
def step_observe(context, count, late_percent):
    context.model = FirstEventModel()
    random = Random(count + late_percent)
    for _ in range(count):
        observe_first_event(context, random, late_percent)


@then("the median error of the next estimates is below {share:g} of the actual time")
def step_error(context, share):
    random = Random(7)
    errors = []
    for _ in range(NUM_TESTED):
        work = make_work(random)
        true_s = first_event_s(context.true_rates, work)
        errors.append(abs(first_event_s(context.model.rates, work) - true_s) / true_s)
    assert sorted(errors)[NUM_TESTED // 2] < share, sorted(errors)[NUM_TESTED // 2]


@when("{count:d} first events of {tokens:d} tokens that took {took_s:g} s are observed")
def step_observe_same(context, count, tokens, took_s):
    context.model = FirstEventModel()
    for _ in range(count):
        context.model.observe(PrefillWork(tokens, 0, 1), took_s)


@then("every rate lies within its bounds")
def step_bounds(context):
    for name in FirstEventRates.__struct_fields__:
        rate = getattr(context.model.rates, name)
        assert getattr(MIN_RATES, name) <= rate <= getattr(MAX_RATES, name), (name, rate)


@given("an engine with old weights and an estimated wait of {seconds:g} s")
def step_old_weights(context, seconds):
    waiting = int(seconds / START_RATES.waiting_token_s)
    engine = BackEnd("r", "lm", "10.0.1.1:1", "here", BackEndState.READY, SLOTS)
    context.candidate = Candidate(
        engine, Load(0, waiting, 0), False, CachedBlocks(CAPACITY), CAPACITY, VERSION,
        newest_version=VERSION + 1,
    )  # fmt: skip


@when("its weights are too old in {left_s:g} s and the longest recent wait was {recent_s:g} s")
def step_time_left(context, left_s, recent_s):
    candidate = msgspec.structs.replace(
        context.candidate, max_start_delay_s=left_s, recent_wait_s=recent_s
    )
    prompt = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    context.choice = choose([candidate], prompt, [], "here", ChoiceRules(), Random(1))


@then("the engine gets {article} request")
def step_gets(context, article):
    assert (context.choice is not None) == (article == "a"), context.choice


@when("a node chooses a back end for {num:d} requests without a prompt")
def step_choose_without_prompt(context, num):
    random = Random(1)
    choices = [
        choose(context.candidates, None, (), "here", ChoiceRules(), random) for _ in range(num)
    ]
    context.chosen = {choice.candidate.back_end.instance for choice in choices}


@then('the chosen back ends are "{names}"')
def step_chosen_names(context, names):
    assert context.chosen == set(names.split(", ")), context.chosen
