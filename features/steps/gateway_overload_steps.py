"""Steps of `gateway_overload.feature`."""

from functools import lru_cache
from random import Random

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    MODEL,
    Fleet,
    ask,
    configuration,
    generation_headers,
    request_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.reading_runner import FetchingRunner, PrefillRunner
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.configuration import RequestKind, Route
from weirscale.gateway.requests.overload import QueueLimit, should_refuse
from weirscale.gateway.routing.candidate import Candidate, Choice
from weirscale.gateway.routing.load import Load
from weirscale.gateway.routing.overdue import OverdueAttempts

NUM_RUNNERS = 3
TOKENS_PER_S = 14_000.0
OBJECTIVE_S = 0.6
LONGEST_PAUSE_S = 0.5
TIMEOUT_S = 4.0
LOAD_S = 20.0
SETTLE_S = 1.0
LONG_OWN, LONG_OUT = 2000, 9
SHORT_OWN, SHORT_OUT = 400, 36
SHARED_TOKENS, NUM_SHARED = 1500, 20
LATE_WORTH = 0.3
"""Value to users of a late answer, relative to one in time."""
SEEDS = (1, 2, 3)
"""Several seeds, since the goodput of one is about 10 % off the mean."""
MEAN_OWN = (LONG_OWN + SHORT_OWN) / 2


class OfferedLoad:
    """Callers that send requests at random times and retry once after a refusal.

    Args:
        factor: Offered load as a multiple of what the engines can prefill.
        seed: Seed of the random numbers.
        make_runner: Creates an engine.
    """

    def __init__(self, factor, seed, make_runner=PrefillRunner):
        self.random = Random(seed)
        self.make_runner = make_runner
        self.per_s = factor * NUM_RUNNERS * TOKENS_PER_S / MEAN_OWN
        self.num_callers = 0
        self.num_served_in_time = 0
        self.num_served_late = 0
        self.refusals = []
        self.refused_runs = set()

    def goodput(self):
        """Return the number of callers served, each late one weighted by `LATE_WORTH`."""
        return self.num_served_in_time + LATE_WORTH * self.num_served_late

    def run(self):
        self.fleet = Fleet()
        run_in_virtual_time(self._main)
        ran = {run.request_id for runner in self.fleet.runners for run in runner.runs}
        self.refused_runs = {request_id for request_id, _, _ in self.refusals} & ran
        return self

    async def _main(self):
        await with_fleet(self.fleet, self._body)

    async def _body(self):
        fleet = self.fleet
        routes = [
            route(
                name, f"/{name}/", "streaming", service="lm", resumable=resumable,
                gap_slo_ms=1000 * LONGEST_PAUSE_S, slo_ms=1000 * OBJECTIVE_S,
                timeout_ms=1000 * TIMEOUT_S, priority=priority, max_attempts=2,
            )
            for name, resumable, priority in (("long", False, 1), ("short", True, 0))
        ]  # fmt: skip
        fleet.store.put("op/config", configuration(1, routes))
        for number in range(1, NUM_RUNNERS + 1):
            runner = self.make_runner(f"r-{number}", f"10.3.0.{number}:8080", "lm")
            runner.tokens_per_s = TOKENS_PER_S
            fleet.add_runner(runner)
            fleet.tasks.start_soon(runner.work)
        for number in range(1, 4):
            await fleet.start_node(f"node-{number}")
        await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as callers:
            ends_s = anyio.current_time() + LOAD_S
            while anyio.current_time() < ends_s:
                callers.start_soon(self._call, self.num_callers)
                self.num_callers += 1
                await anyio.sleep(self.random.expovariate(self.per_s))

    async def _call(self, number):
        is_long = self.random.random() < 0.5
        own, out = (LONG_OWN, LONG_OUT) if is_long else (SHORT_OWN, SHORT_OUT)
        shared = f"{self.random.randrange(NUM_SHARED):x}"
        path = "/long/x" if is_long else "/short/x"
        parts = f"{shared}:{SHARED_TOKENS},own{number:x}:{own}"
        nodes = list(self.fleet.nodes.values())
        left_s = TIMEOUT_S
        for attempt in range(2):
            request_id = f"q{number}-{attempt}"
            headers = request_headers(
                request_id, x_model=MODEL, x_token_usage=f"{SHARED_TOKENS + own},{out}",
                x_prefix_hash=parts, x_deadline_ms=int(1000 * left_s),
            )  # fmt: skip
            stream = TimedStream()
            with anyio.move_on_after(left_s):
                answer = await ask(
                    self.random.choice(nodes), path, headers=headers, on_body_part=stream
                )
                if answer.status != 503:
                    if answer.is_complete and answer.status == 200:
                        self.num_served_in_time += stream.is_in_time()
                        self.num_served_late += not stream.is_in_time()
                    return
                wait_s = float(answer.header("retry-after") or 0.0)
                self.refusals.append((request_id, answer.took_s, wait_s))
                await anyio.sleep(wait_s)
                left_s -= answer.took_s + wait_s


class TimedStream:
    """Records when the parts of an answer arrive."""

    def __init__(self):
        self.began_s = anyio.current_time()
        self.times_s = []

    def __call__(self):
        self.times_s.append(anyio.current_time())

    def is_in_time(self):
        if not self.times_s or self.times_s[0] - self.began_s > OBJECTIVE_S:
            return False
        pauses = zip(self.times_s, self.times_s[1:], strict=False)
        return all(later - earlier <= LONGEST_PAUSE_S for earlier, later in pauses)


@given("3 nodes and 3 engines that prefill at a quarter of the usual rate")
def step_fleet(context):
    pass


def runner_factory(fetch_each):
    """Return a function that creates an engine.

    The engine fetches for one in `fetch_each` requests with a source; with 0 for none.
    """
    if not fetch_each:
        return PrefillRunner
    others = {}

    def make(instance, address, service):
        runner = FetchingRunner(instance, address, service, others=others, fetch_each=fetch_each)
        others[address] = runner
        return runner

    return make


class LoadResult:
    """Results of an offered load, summed over all seeds."""

    def __init__(self, factor, seeds=SEEDS, fetch_each=0):
        loads = [OfferedLoad(factor, seed, runner_factory(fetch_each)).run() for seed in seeds]
        self.num_callers = sum(load.num_callers for load in loads)
        self.goodput = sum(load.goodput() for load in loads)
        self.refusals = [refusal for load in loads for refusal in load.refusals]
        self.refused_runs = {run for load in loads for run in load.refused_runs}


run_load = lru_cache(maxsize=None)(LoadResult)


@when("callers offer {first:g} times what the engines can prefill, and then {second:g} times")
def step_offer(context, first, second):
    context.loads = [run_load(first), run_load(second)]


@when(
    "callers drawn with seeds {least:d} to {most:d} offer {first:g} times what the engines can "
    "prefill, and then {second:g} times"
)
def step_offer_seeds(context, least, most, first, second):
    seeds = tuple(range(least, most + 1))
    context.loads = [run_load(first, seeds), run_load(second, seeds)]


@when(
    "callers drawn with seeds {least:d} to {most:d} offer {factor:g} times what engines can "
    "prefill that fetch for one in {each:d} requests with a source"
)
def step_offer_fetching(context, least, most, factor, each):
    context.loads = [run_load(factor, tuple(range(least, most + 1)), each)]


@then("the second load has at least {share:g} of the first one's goodput")
def step_goodput(context, share):
    first, second = (load.goodput for load in context.loads)
    assert first > 0
    assert second >= share * first, (first, second)


@then(
    "every refusal takes at most {seconds:g} seconds and has a Retry-After, and its request has not run"
)
def step_refusals(context, seconds):
    for load in context.loads:
        assert all(took_s <= seconds for _, took_s, _ in load.refusals)
        assert all(wait_s > 0.0 for _, _, wait_s in load.refusals)
        assert not load.refused_runs, load.refused_runs


@then("at most {share:d} in 100 callers of either load are refused")
def step_few_refused(context, share):
    for load in context.loads:
        assert len(load.refusals) <= share * load.num_callers / 100, len(load.refusals)


@then("between {least:g} and {most:g} of the queue limit is in force")
def step_in_force(context, least, most):
    assert least <= context.limit.share <= most, context.limit.share


RUNNER = BackEnd("r-1", "lm", "10.3.0.1:8080", "here", BackEndState.READY, 4)
ROUTE = Route(
    "draft", "h", "/", RequestKind.STREAMING, (), timeout_s=4.0, objective_s=1.0, max_pause_s=0.5
)


@given(
    "an estimated wait of {others:g} seconds for other requests and {own:g} seconds for the own prompt"
)
def step_wait(context, others, own):
    candidate = Candidate(RUNNER, Load(), False)
    context.choice = Choice(candidate, scope="m@1", estimate_s=others + own, idle_s=own)


@when("a caller's {number} try arrives with {share:g} of the queue limit in force")
def step_try(context, number, share):
    timeout_s = ROUTE.timeout_s if number == "first" else 0.8 * ROUTE.timeout_s
    context.is_refused = should_refuse(context.choice, ROUTE, timeout_s, QueueLimit(share))


@then('the try is "{result}"')
def step_refused(context, result):
    assert context.is_refused == (result == "refused")


@given("an attempt with an expected wait of {expected:g} seconds at an engine that {activity}")
def step_attempt(context, expected, activity):
    context.overdue = OverdueAttempts()
    candidate = Candidate(RUNNER, Load(), False)
    context.choice = Choice(candidate, scope="m@1", estimate_s=expected)
    context.overdue.engine_alive(RUNNER.instance, 9.9)
    context.overdue.attempt_sent(context.choice, 10.0)
    if activity == "emits other events":
        context.overdue.engine_alive(RUNNER.instance, 10.01)


@when("the attempt has waited for {waited:g} seconds")
def step_waited(context, waited):
    context.waited_s = waited
    context.due = context.overdue.take_due(10.0 + waited)


@then('the attempt is "{reported}", and reported again after {again} seconds')
def step_reported(context, reported, again):
    assert bool(context.due) == (reported == "reported"), context.due
    assert all(abs(waited_s - context.waited_s) < 1e-9 for _, waited_s in context.due)
    if again == "never":
        assert not context.overdue.take_due(100.0)
        return
    assert not context.overdue.take_due(10.0 + context.waited_s + 0.001)
    assert context.overdue.take_due(10.0 + float(again))
    context.overdue.wait_ended(context.choice)
    assert not context.overdue.take_due(100.0)


def run_with_node(body, faults=()):
    """Run `body(node)` with one node and two engines, each of which has the faults once."""
    fleet = Fleet()

    async def main():
        async def run_body():
            fleet.store.put("op/config", configuration(1))
            for number in (1, 2):
                runner = RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm")
                runner.faults = list(faults)
                fleet.add_runner(runner)
            node = await fleet.start_node()
            await anyio.sleep(0.5)
            await body(node)

        await with_fleet(fleet, run_body)

    run_in_virtual_time(main)
    return fleet


@given(
    "streams of a service with usual pauses of {usual:g} seconds and allowed pauses of {allowed:g} "
    "seconds"
)
def step_usual(context, usual, allowed):
    async def body(node):
        for _ in range(400):
            node.context.pauses.record_pause("lm", usual)
        context.timeout_s = node.context.pauses.stall_timeout_s(ROUTE, "lm")

    assert allowed == ROUTE.max_pause_s
    run_with_node(body)


@then("a silent stream is abandoned after {timeout:g} seconds")
def step_timeout(context, timeout):
    assert abs(context.timeout_s - timeout) < 0.01, context.timeout_s


@when("the retry budget is used up and a stream pauses for {seconds:g} seconds")
def step_no_retry(context, seconds):
    async def body(node):
        while node.context.retry_budget.try_take("lm"):
            pass
        headers = generation_headers("q1", parts="own:200", x_deadline_ms=4000)
        context.answer = await ask(node, "/a/x", headers=headers)

    context.fleet = run_with_node(body, [f"pause:{seconds}"])


@then("the first engine completes the stream")
def step_first_runner(context):
    runs = [run for runner in context.fleet.runners for run in runner.runs]
    assert len(runs) == 1, runs
    assert context.answer.status == 200 and context.answer.is_complete


@given("a node with no reserve from idle engines")
def step_no_reserve(context):
    context.level = 1.0


@when(
    "a stream whose engine pauses for {engine:g} seconds is read by a caller that takes "
    "{caller:g} seconds per part"
)
def step_slow_caller(context, engine, caller):
    async def body(node):
        node.context.pauses.queue_limit("lm").level = context.level
        headers = generation_headers("q1", parts="own:200", x_deadline_ms=9000)
        answer = await ask(node, "/n/x", headers=headers, part_delay_s=caller)
        assert answer.status == 200 and answer.is_complete
        context.limit = node.context.pauses.queue_limit("lm")

    run_with_node(body, [f"pause:{engine}"])
