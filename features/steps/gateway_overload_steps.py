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
from features.support.reading_runner import FetchingRunner, ReadingRunner
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
SEEDS = (1, 2, 3)
"""One seed's goodput is some 10 in 100 off the mean."""
MEAN_OWN = (LONG_OWN + SHORT_OWN) / 2


class OfferedLoad:
    """Callers that ask at random times and come back once when they are told to."""

    def __init__(self, factor, seed, make_runner=ReadingRunner):
        self.random = Random(seed)
        self.make_runner = make_runner
        self.per_s = factor * NUM_RUNNERS * TOKENS_PER_S / MEAN_OWN
        self.num_callers = 0
        self.num_served_well = 0
        self.num_served_late = 0
        self.refusals = []
        self.runs_refused = set()

    def goodput(self):
        """Return the callers served, late ones at the users' price of a late answer."""
        return self.num_served_well + LATE_WORTH * self.num_served_late

    def run(self):
        self.fleet = Fleet()
        run_in_virtual_time(self._main)
        ran = {run.request_id for runner in self.fleet.runners for run in runner.runs}
        self.runs_refused = {one for one, _, _ in self.refusals} & ran
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
                        self.num_served_well += stream.is_in_time()
                        self.num_served_late += not stream.is_in_time()
                    return
                wait_s = float(answer.header("retry-after") or 0.0)
                self.refusals.append((request_id, answer.took_s, wait_s))
                await anyio.sleep(wait_s)
                left_s -= answer.took_s + wait_s


class TimedStream:
    """When the parts of an answer came."""

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


@given("3 nodes before 3 runners that read a quarter as fast as usual")
def step_fleet(context):
    pass


def runners(fetch_each):
    """Return what makes a runner; of `fetch_each` requests one is fetched for, of 0 none."""
    if not fetch_each:
        return ReadingRunner
    others = {}

    def make(instance, address, service):
        runner = FetchingRunner(instance, address, service, others=others, fetch_each=fetch_each)
        others[address] = runner
        return runner

    return make


class PlayedLoad:
    """What came of an offered load, over all seeds."""

    def __init__(self, factor, seeds=SEEDS, fetch_each=0):
        loads = [OfferedLoad(factor, seed, runners(fetch_each)).run() for seed in seeds]
        self.num_callers = sum(load.num_callers for load in loads)
        self.goodput = sum(load.goodput() for load in loads)
        self.refusals = [one for load in loads for one in load.refusals]
        self.runs_refused = {one for load in loads for one in load.runs_refused}


play_load = lru_cache(maxsize=None)(PlayedLoad)


@when("callers offer {first:g} times what the runners can read, and then {second:g} times")
def step_offer(context, first, second):
    context.loads = [play_load(first), play_load(second)]


@when(
    "callers drawn with seeds {least:d} to {most:d} offer {first:g} times what the runners can read, "
    "and then {second:g} times"
)
def step_offer_seeds(context, least, most, first, second):
    seeds = tuple(range(least, most + 1))
    context.loads = [play_load(first, seeds), play_load(second, seeds)]


@when(
    "callers drawn with seeds {least:d} to {most:d} offer {factor:g} times that, to runners that "
    "fetch for one in {each:d} requests with a source"
)
def step_offer_fetching(context, least, most, factor, each):
    context.loads = [play_load(factor, tuple(range(least, most + 1)), each)]


@then("the second load has at least {share:g} of the first one's goodput")
def step_goodput(context, share):
    first, second = (load.goodput for load in context.loads)
    assert first > 0
    assert second >= share * first, (first, second)


@then("every refusal is told within {seconds:g} seconds, with when to come back, and has not run")
def step_refusals(context, seconds):
    for load in context.loads:
        assert all(took_s <= seconds for _, took_s, _ in load.refusals)
        assert all(wait_s > 0.0 for _, _, wait_s in load.refusals)
        assert not load.runs_refused, load.runs_refused


@then("at most {share:d} in 100 callers of either load are refused")
def step_few_refused(context, share):
    for load in context.loads:
        assert len(load.refusals) <= share * load.num_callers / 100, len(load.refusals)


@then("between {least:g} and {most:g} of the bound is in force")
def step_in_force(context, least, most):
    assert least <= context.limit.share <= most, context.limit.share


RUNNER = BackEnd("r-1", "lm", "10.3.0.1:8080", "here", BackEndState.READY, 4)
AIMED = Route(
    "draft", "h", "/", RequestKind.STREAMING, (), timeout_s=4.0, objective_s=1.0, max_pause_s=0.5
)


@given("a wait of {others:g} seconds that others cause and {own:g} seconds of its own")
def step_wait(context, others, own):
    candidate = Candidate(RUNNER, Load(), False)
    context.choice = Choice(candidate, scope="m@1", estimate_s=others + own, idle_s=own)


@when('a caller that "{asks}" asks with {share:g} of the bound in force')
def step_asks(context, asks, share):
    timeout_s = AIMED.timeout_s if asks == "first" else 0.8 * AIMED.timeout_s
    context.is_told = should_refuse(context.choice, AIMED, timeout_s, QueueLimit(share))


@then('that caller is "{answer}"')
def step_told(context, answer):
    assert context.is_told == (answer == "told")


@given("an attempt expected to take {expected:g} seconds at a runner that {lives}")
def step_attempt(context, expected, lives):
    context.overdue = OverdueAttempts()
    candidate = Candidate(RUNNER, Load(), False)
    context.choice = Choice(candidate, scope="m@1", estimate_s=expected)
    context.overdue.engine_alive(RUNNER.instance, 9.9)
    context.overdue.attempt_sent(context.choice, 10.0)
    if lives == "makes other events":
        context.overdue.engine_alive(RUNNER.instance, 10.01)


@when("{waited:g} seconds have passed")
def step_waited(context, waited):
    context.waited_s = waited
    context.due = context.overdue.take_due(10.0 + waited)


@then('it "{tells}", and tells once more after {again} seconds')
def step_tells(context, tells, again):
    assert bool(context.due) == (tells == "tells"), context.due
    assert all(abs(waited_s - context.waited_s) < 1e-9 for _, waited_s in context.due)
    if again == "never":
        assert not context.overdue.take_due(100.0)
        return
    assert not context.overdue.take_due(10.0 + context.waited_s + 0.001)
    assert context.overdue.take_due(10.0 + float(again))
    context.overdue.wait_ended(context.choice)
    assert not context.overdue.take_due(100.0)


def play_with_node(body, faults=()):
    """Run a body with one node before two runners of which the first one asked has faults."""
    fleet = Fleet()

    async def main():
        async def inner():
            fleet.store.put("op/config", configuration(1))
            for number in (1, 2):
                runner = RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm")
                runner.faults = list(faults)
                fleet.add_runner(runner)
            node = await fleet.start_node()
            await anyio.sleep(0.5)
            await body(node)

        await with_fleet(fleet, inner)

    run_in_virtual_time(main)
    return fleet


@given(
    "streams of a service that usually pause for {usual:g} seconds and may for {allowed:g} seconds"
)
def step_usual(context, usual, allowed):
    async def body(node):
        for _ in range(400):
            node.context.pauses.record_pause("lm", usual)
        context.timeout_s = node.context.pauses.stall_timeout_s(AIMED, "lm")

    assert allowed == AIMED.max_pause_s
    play_with_node(body)


@then("a silent one is left after {patience:g} seconds")
def step_patience(context, patience):
    assert abs(context.timeout_s - patience) < 0.01, context.timeout_s


@when("the retry budget is spent and a stream pauses for {seconds:g} seconds")
def step_no_repeat(context, seconds):
    async def body(node):
        while node.context.retry_budget.try_take("lm"):
            pass
        headers = generation_headers("q1", parts="own:200", x_deadline_ms=4000)
        context.answer = await ask(node, "/a/x", headers=headers)

    context.fleet = play_with_node(body, [f"pause:{seconds}"])


@then("the stream is answered by its first runner")
def step_first_runner(context):
    runs = [run for runner in context.fleet.runners for run in runner.runs]
    assert len(runs) == 1, runs
    assert context.answer.status == 200 and context.answer.is_complete


@given("a node that knows of no idle runners")
def step_no_reserve(context):
    context.level = 1.0


@when(
    "a stream whose runner pauses for {runner:g} seconds is read by a caller that takes "
    "{caller:g} seconds a part"
)
def step_slow_reader(context, runner, caller):
    async def body(node):
        node.context.pauses.queue_limit("lm").level = context.level
        headers = generation_headers("q1", parts="own:200", x_deadline_ms=9000)
        answer = await ask(node, "/n/x", headers=headers, part_delay_s=caller)
        assert answer.status == 200 and answer.is_complete
        context.limit = node.context.pauses.queue_limit("lm")

    play_with_node(body, [f"pause:{runner}"])
