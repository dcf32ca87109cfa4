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
    "waiting": Load(3, 12_000, 3000),
    "full memory": Load(2, 0, 9500),
    "full slots": Load(SLOTS + 2, 0, 0),
    "far behind": Load(4, 20_000, 4000),
}
TRIALS = 300


def parse_blocks(text):
    blocks = []
    for one in text.split(","):
        block_id, _, tokens = one.partition(":")
        blocks.append(PromptBlock(block_id, int(tokens)))
    return tuple(blocks)


def make_candidate(name, traits):
    cache = CachedBlocks(CAPACITY)
    if "keeps it" in traits:
        cache.record(SCOPE, (SHARED,), is_ready=True)
    if "keeps it unread" in traits:
        cache.record(SCOPE, (SHARED,), is_ready=False)
    if "keeps it for another" in traits:
        cache.record(CacheScope("m", VERSION, "t9").text(), (SHARED,), is_ready=True)
    if "keeps it of old weights" in traits:
        cache.record(CacheScope("m", VERSION - 1).text(), (SHARED,), is_ready=True)
    load = next((LOADS[trait] for trait in traits if trait in LOADS), Load())
    zone = "there" if "elsewhere" in traits else "here"
    end = BackEnd(name, "lm", f"10.0.0.1:{len(name)}", zone, BackEndState.READY, SLOTS)
    return Candidate(
        end,
        load,
        "suspect" in traits,
        cache,
        CAPACITY,
        VERSION,
        newest_version=VERSION + 1 if "newer named" in traits else None,
    )


@given('runners that differ: "{first}" and "{second}"')
def step_runners(context, first, second):
    context.candidates = [
        make_candidate("first", first.split(",")),
        make_candidate("second", second.split(",")),
    ]


@when('a prompt of 800 shared and 200 own tokens is to be placed in zone "{zone}"')
def step_place(context, zone):
    need = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    sources = [
        FetchSource(
            one.back_end.address, one.back_end.zone, one.cache, VERSION, one.back_end.instance
        )
        for one in context.candidates
    ]
    context.choices = [
        choose(context.candidates, need, sources, zone, ChoiceRules(), Random(seed))
        for seed in range(20)
    ]


@then('"{name}" is chosen, with {cached:d} tokens cached and {fetched:d} fetched')
def step_chosen(context, name, cached, fetched):
    names = {choice.candidate.back_end.instance for choice in context.choices}
    assert len(names) == 1 if name == "one" else names == {name}, names
    assert {choice.cached_tokens for choice in context.choices} == {cached}
    assert {choice.fetched_tokens for choice in context.choices} == {fetched}
    for choice in context.choices:
        assert (choice.fetch_from is not None) == (fetched > 0)
        assert choice.read_tokens == PROMPT.num_tokens - cached - fetched


@when("{count:d} prompts that nobody keeps are to be placed by {nodes:d} nodes")
def step_place_cold(context, count, nodes):
    context.placed = []
    for number in range(count):
        parts = (PromptBlock(f"{number:x}", 800), PromptBlock(f"own{number:x}", 200))
        need = ScopedPrompt(Prompt("m", parts, 1000, 20), {VERSION: SCOPE})
        context.placed.append(
            {
                choose(
                    context.candidates, need, [], "here", ChoiceRules(), Random(seed)
                ).candidate.back_end.instance
                for seed in range(nodes)
            }
        )


@then("each prompt goes to one runner, and each runner gets between {least:d} and {most:d}")
def step_cold_spread(context, least, most):
    together = [names for names in context.placed if len(names) == 1]
    assert len(together) >= 0.9 * len(context.placed), len(together)
    num_first = sum("first" in names for names in together)
    assert least <= num_first <= most, num_first


@given("{count:d} idle runners, each with up to {most_ms:d} ms of waiting prompts")
def step_waiting_runners(context, count, most_ms):
    context.candidates = []
    for number in range(count):
        cache = CachedBlocks(CAPACITY)
        cache.record(SCOPE, (SHARED,), is_ready=True)
        waiting = int(most_ms * number / count / 1000.0 / START_RATES.waiting_token_s)
        end = BackEnd(f"r-{number}", "lm", f"10.0.1.{number}:1", "here", BackEndState.READY, SLOTS)
        load = Load(0, waiting, 0)
        context.candidates.append(Candidate(end, load, False, cache, CAPACITY, VERSION))


@when("{nodes:d} nodes place a prompt each while news is {delay:g} seconds late")
def step_late_news(context, nodes, delay):
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
    need = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    rules = dispatcher.rules("lm")
    chosen = [
        choose(context.candidates, need, [], "here", rules, Random(seed)) for seed in range(nodes)
    ]
    context.counts = Counter(choice.candidate.back_end.instance for choice in chosen)


@then("the busiest runner gets between {least:d} and {most:d} of them")
def step_busiest(context, least, most):
    busiest = max(context.counts.values())
    assert least <= busiest <= most, context.counts


@given("a place that keeps {tokens:d} tokens")
def step_place_keeps(context, tokens):
    context.cache = CachedBlocks(tokens)


@when('the parts "{first}" and then "{second}" are noted there')
def step_noted(context, first, second):
    context.cache.record(SCOPE, parse_blocks(first), is_ready=True)
    context.cache.record(SCOPE, parse_blocks(second), is_ready=True)


@when('the parts "{parts}" are sent there and not read')
def step_unread(context, parts):
    context.cache.record(SCOPE, parse_blocks(parts), is_ready=False)
    context.cache.forget(SCOPE, parse_blocks(parts))


@then('"{parts}" matches {tokens:d} tokens')
def step_matches(context, parts, tokens):
    assert context.cache.matched_tokens(SCOPE, parse_blocks(parts)) == tokens


class CacheFleet:
    """Nodes and runners, with tenants."""

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
                    {"name": "walled", "api_keys": ["k-walled"], "isolated": True},
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


@given("{nodes:d} nodes and 2 runners that keep prompts")
def step_cache_fleet(context, nodes):
    context.caches = CacheFleet(nodes)


@when("one node sends a generation and the other one the same prompt")
def step_same_prompt(context):
    async def script(nodes):
        await context.caches.generate(nodes[0], "q1")
        await anyio.sleep(0.2)
        for number in range(5):
            await context.caches.generate(nodes[1], f"p{number}")

    context.caches.run(script)


@then("both runs were at one runner")
def step_one_runner(context):
    assert {runner.instance for runner, _ in context.caches.runs()}.__len__() == 1


@when('tenants "{one}" and "{two}" and "{three}" send the same prompt')
def step_tenants(context, one, two, three):
    async def script(nodes):
        for tenant in (one, two, three):
            await context.caches.generate(nodes[0], tenant, f"k-{tenant}")

    context.caches.run(script)


@then('the scopes of "{one}" and "{two}" are one and that of "{three}" is its own')
def step_scopes(context, one, two, three):
    scopes = {run.request_id: run.salt for _, run in context.caches.runs()}
    assert scopes[one] == scopes[two] != scopes[three], scopes


@when("the runner chosen first refuses, and 5 more generations are sent at once")
def step_refuses(context):
    async def script(nodes):
        faults = ["refuse"]
        for runner in context.caches.fleet.runners:
            runner.faults = faults
        await context.caches.generate(nodes[0], "q0")
        for number in range(1, 6):
            context.caches.fleet.tasks.start_soon(context.caches.generate, nodes[0], f"q{number}")
        await anyio.sleep(1.0)

    context.caches.run(script)


@then("the refusing runner got 1 request")
def step_refusing(context):
    runners = context.caches.fleet.runners
    refusing = [runner for runner in runners if len(runner.arrivals) > len(runner.runs)]
    assert [len(runner.arrivals) for runner in refusing] == [1]
    assert sorted(context.caches.statuses) == [200] * 5 + [503]


@given("a back end's circuit")
def step_circuit(context):
    context.health = BackEndHealth(EventRecorder(), Random(1))
    context.now_s = 100.0


@when('it sees "{events}"')
def step_sees(context, events):
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


@then('its circuit "{admits}" requests')
def step_admits(context, admits):
    admitted = sum(context.health.admits("r", context.now_s) for _ in range(TRIALS))
    if admits == "admits":
        assert admitted == TRIALS, admitted
    elif admits == "does not admit":
        assert admitted == 0, admitted
    else:
        assert 0 < admitted < TRIALS / 2, admitted


@given(
    "a retry budget of {share:g} with {extra:g} extra over {window_s:g} seconds, shared by "
    "{nodes:d} nodes"
)
def step_shared_budget(context, share, extra, window_s, nodes):
    context.rules = RetryBudgetRules(share, extra, window_s)
    context.num_nodes = nodes


@when("a node that {start} has seen {requests:d} requests")
def step_seen(context, start, requests):
    context.budget = SharedRetryBudget(context.rules, 100.0, start == "starts anew")
    for _ in range(requests):
        context.budget.record_request("lm", 105.0)


@then("it may repeat at most {most:d} and at least {least:d}")
def step_may_repeat(context, most, least):
    taken = 0
    while context.budget.try_take("lm", context.num_nodes, 106.0):
        taken += 1
    assert least <= taken <= most, taken


NUM_TESTED = 200
LATE_S = 2.0
SPREAD_SHARE = 0.15


def make_work(random):
    """Return what requests of mixed sizes meet at a runner."""
    waiting = max(0, int(random.gauss(0, 6000)))
    return PrefillWork(int(random.lognormvariate(7.5, 1.2)), waiting, random.randrange(12))


@given(
    "runners that read {tokens_per_ms:g} tokens a ms, with {base_ms:g} ms and {active_ms:g} ms "
    "a request on top"
)
def step_true_rates(context, tokens_per_ms, base_ms, active_ms):
    token_s = 1e-3 / tokens_per_ms
    context.true_rates = FirstEventRates(base_ms / 1e3, token_s, 0.7 * token_s, active_ms / 1e3)


def observe_one(context, random, far_off=0):
    """Observe a first event of a prompt without any fetch."""
    work = make_work(random)
    took_s = first_event_s(context.true_rates, work) * random.gauss(1.0, SPREAD_SHARE)
    took_s += LATE_S if random.random() < far_off / 100 else 0.0
    context.model.observe(work, took_s)


@when("{count:d} first events are observed, {far_off:d} in a hundred of them 2 s late")
def step_observe(context, count, far_off):
    context.model = FirstEventModel()
    random = Random(count + far_off)
    for _ in range(count):
        observe_one(context, random, far_off)


@then("the median error of the next estimates is under {share:g} of the time")
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


@given("a runner with old weights where a request is to wait for {seconds:g} s")
def step_waiting_runner(context, seconds):
    waiting = int(seconds / START_RATES.waiting_token_s)
    end = BackEnd("r", "lm", "10.0.1.1:1", "here", BackEndState.READY, SLOTS)
    context.candidate = Candidate(
        end, Load(0, waiting, 0), False, CachedBlocks(CAPACITY), CAPACITY, VERSION,
        newest_version=VERSION + 1,
    )  # fmt: skip


@when("its weights are too old in {left_s:g} s and the longest wait of late was {recent_s:g} s")
def step_time_left(context, left_s, recent_s):
    candidate = msgspec.structs.replace(
        context.candidate, max_start_delay_s=left_s, recent_wait_s=recent_s
    )
    need = ScopedPrompt(PROMPT, {VERSION: SCOPE})
    context.choice = choose([candidate], need, [], "here", ChoiceRules(), Random(1))


@then("it gets {what} request")
def step_gets(context, what):
    assert (context.choice is not None) == (what == "a"), context.choice
