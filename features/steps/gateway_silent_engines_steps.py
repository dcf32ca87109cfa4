"""Steps of `gateway_silent_engines.feature`."""

from random import Random

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    MODEL,
    EventRecorder,
    Fleet,
    ask,
    configuration,
    request_headers,
    with_fleet,
)
from features.support.reading_runner import PrefillRunner
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.topology import Location
from weirscale.gateway.requests.attempt_timeout import AttemptTimeout, AttemptTimeoutWatch
from weirscale.gateway.routing.candidate import Candidate, Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad, Load

STREAM_OUT = 60
PROMPT_OUT = 9
TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.01
MAX_WAIT_S = 10.0
ENGINE = BackEnd("r-1", "lm", "10.3.0.1:8080", "here", BackEndState.READY, 4)


@given("2 nodes and {count:d} engines that prefill {rate:d} tokens per second")
def step_runners(context, count, rate):
    context.runners = [
        PrefillRunner(f"r-{number}", f"10.3.0.{number}:8080", "lm", tokens_per_s=rate)
        for number in range(1, count + 1)
    ]


@when(
    "a stream has begun at each engine and {count:d} prompts of {tokens:d} tokens are sent at once "
    "to {where}"
)
def step_prompts(context, count, tokens, where):
    fleet = context.fleet = Fleet()
    context.answers = []

    async def call(node, request_id, own, out):
        # Without a deadline, no request is refused because of the queue.
        headers = request_headers(
            request_id, x_model=MODEL, x_token_usage=f"{own},{out}",
            x_prefix_hash=f"{request_id}:{own}",
        )  # fmt: skip
        context.answers.append(await ask(node, "/a/x", headers=headers))

    async def body():
        fleet.store.put("op/config", configuration(1))
        for runner in context.runners:
            fleet.add_runner(runner)
            fleet.tasks.start_soon(runner.work)
        node = await fleet.start_node("node-1")
        other = await fleet.start_node("node-2")
        await anyio.sleep(1.0)
        async with anyio.create_task_group() as callers:
            for number in range(len(context.runners)):
                callers.start_soon(call, node, f"a{number:x}", 400, STREAM_OUT)
                await anyio.sleep(0.04)
            for number in range(count):
                target = node if where == "the same node" else other
                callers.start_soon(call, target, f"b{number:x}", tokens, PROMPT_OUT)

    async def main():
        await with_fleet(fleet, body)

    run_in_virtual_time(main)


@then("every request has run once and its answer is complete")
def step_ran_once(context):
    ran = [run.request_id for runner in context.runners for run in runner.runs]
    assert len(ran) == len(set(ran)) == len(context.answers), ran
    assert all(answer.status == 200 and answer.is_complete for answer in context.answers)


@given(
    "an engine that {activity} since the attempt's last event, with {others:d} tokens of other requests "
    "to prefill"
)
def step_engine(context, activity, others):
    context.activity, context.others = activity, others


async def time_until_abandoned(activity, others, own, timeout_s):
    """Return after how many seconds an attempt is abandoned that receives no event from 0 s on."""
    now_s = 0.0
    load, health = FleetLoad(), BackEndHealth(EventRecorder(), Random(2))
    dispatcher = Dispatcher(
        Location("here"), None, load, health, 0.0, Random(1), lambda: now_s
    )  # fmt: skip
    choice = Choice(Candidate(ENGINE, Load(), False))
    load.request_sent(ENGINE.instance, own + others, own + others)
    scope = anyio.CancelScope()
    timeout = AttemptTimeout(
        scope, lambda: True, lambda since_s: dispatcher.is_busy_with_others(choice, own, since_s)
    )
    timeout.start(now_s, timeout_s)
    while not scope.cancel_called and now_s < MAX_WAIT_S:
        now_s += CHECK_INTERVAL_S
        if activity != "emitted no event" and (now_s < 0.5 or "until" not in activity):
            dispatcher.event_received(ENGINE.instance)
        if (
            activity == "finished the other prefill at 1.1 s"
            and abs(now_s - 1.1) < CHECK_INTERVAL_S / 2
        ):
            load.first_event_received(ENGINE.instance, others)
        timeout.check(now_s)
    return now_s


@when("the attempt, with {own:d} own tokens to prefill, has a timeout of {timeout_s:g} seconds")
def step_silent(context, own, timeout_s):
    async def main():
        context.abandoned_s = await time_until_abandoned(
            context.activity, context.others, own, timeout_s
        )

    run_in_virtual_time(main)


@then("the attempt is abandoned after {seconds:g} seconds")
def step_abandoned_after(context, seconds):
    assert abs(context.abandoned_s - seconds) <= 2 * CHECK_INTERVAL_S, context.abandoned_s


@given("a watch that checks attempts on ticks")
def step_watch(context):
    context.suspended_s = 0.0


@when(
    "the node is suspended for {suspended:g} seconds, {apart:g} s before an event of an attempt with a "
    "timeout of {timeout_s:g} seconds"
)
def step_suspend(context, suspended, apart, timeout_s):
    def clock():
        return anyio.current_time() + context.suspended_s

    async def main():
        watch = AttemptTimeoutWatch(clock)
        scope = anyio.CancelScope()
        timeout = AttemptTimeout(scope, lambda: True, lambda _since_s: False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch.run)
            await anyio.sleep(0.5)
            timeout.start(clock(), timeout_s)
            watch.watch(timeout)
            await anyio.sleep(0.2)
            # The clock of the ticks leaves the suspension out; the clock of the node includes it.
            context.suspended_s = suspended
            with anyio.move_on_after(2.0):
                await anyio.sleep(apart)
                timeout.start(clock(), timeout_s)
                await anyio.sleep(0.5)
            context.is_abandoned = scope.cancel_called
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


@then('the attempt is "{outcome}"')
def step_outcome(context, outcome):
    assert context.is_abandoned == (outcome == "abandoned"), context.is_abandoned
