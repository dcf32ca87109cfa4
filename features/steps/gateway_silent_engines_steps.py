"""Steps of `gateway_silent_engines.feature`."""

from random import Random

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    MODEL,
    Fleet,
    ask,
    configuration,
    request_headers,
    with_fleet,
)
from features.support.reading_runner import ReadingRunner
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.topology import Location
from weirscale.gateway.requests.attempt_timeout import AttemptTimeout, AttemptTimeoutWatch
from weirscale.gateway.routing.candidate import Candidate, Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.load import FleetLoad, Load

STREAM_OUT = 60
PROMPT_OUT = 9
TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.01
GIVEN_UP_S = 10.0
ENGINE = BackEnd("r-1", "lm", "10.3.0.1:8080", "here", BackEndState.READY, 4)


@given("2 nodes before {count:d} runners that read {rate:d} tokens a second")
def step_runners(context, count, rate):
    context.runners = [
        ReadingRunner(f"r-{number}", f"10.3.0.{number}:8080", "lm", tokens_per_s=rate)
        for number in range(1, count + 1)
    ]


@when(
    "a stream has begun at each runner and {count:d} prompts of {tokens:d} tokens come at once to "
    "{where}"
)
def step_prompts(context, count, tokens, where):
    fleet = context.fleet = Fleet()
    context.answers = []

    async def call(node, request_id, own, out):
        # Without a deadline nobody is refused for the queue.
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
                asked = node if where == "the same node" else other
                callers.start_soon(call, asked, f"b{number:x}", tokens, PROMPT_OUT)

    async def main():
        await with_fleet(fleet, body)

    run_in_virtual_time(main)


@then("every request has run once and is answered whole")
def step_ran_once(context):
    ran = [run.request_id for runner in context.runners for run in runner.runs]
    assert len(ran) == len(set(ran)) == len(context.answers), ran
    assert all(one.status == 200 and one.is_complete for one in context.answers)


@given(
    "an engine that {worked} since the attempt's last event, with {others:d} tokens of others to read"
)
def step_engine(context, worked, others):
    context.worked, context.others = worked, others


async def play_silence(worked, others, own, timeout_s):
    """Return when an attempt is left that an engine leaves without an event from 0 s on."""
    now_s = 0.0
    load = FleetLoad()
    dispatcher = Dispatcher(
        Location("here"), None, load, None, 0.0, Random(1), lambda: now_s
    )  # fmt: skip
    choice = Choice(Candidate(ENGINE, Load(), False))
    load.request_sent(ENGINE.instance, own + others, own + others)
    scope = anyio.CancelScope()
    timeout = AttemptTimeout(
        scope, lambda: True, lambda since_s: dispatcher.is_busy_with_others(choice, own, since_s)
    )
    timeout.start(now_s, timeout_s)
    while not scope.cancel_called and now_s < GIVEN_UP_S:
        now_s += CHECK_INTERVAL_S
        if worked != "made no event" and (now_s < 0.5 or "until" not in worked):
            dispatcher.event_received(ENGINE.instance)
        if worked == "has read for others by 1.1 s" and abs(now_s - 1.1) < CHECK_INTERVAL_S / 2:
            load.first_event_received(ENGINE.instance, others)
        timeout.check(now_s)
    return now_s


@when("the attempt, with {own:d} tokens of its own unread, may be silent for {timeout_s:g} seconds")
def step_silent(context, own, timeout_s):
    async def main():
        context.left_s = await play_silence(context.worked, context.others, own, timeout_s)

    run_in_virtual_time(main)


@then("it is left after {seconds:g} seconds")
def step_left_after(context, seconds):
    assert abs(context.left_s - seconds) <= 2 * CHECK_INTERVAL_S, context.left_s


@given("a watch of attempts that are checked on ticks")
def step_watch(context):
    context.still_s = 0.0


@when(
    "the node stands still for {still:g} seconds, {apart:g} s before an event of an attempt that may "
    "be silent for {timeout_s:g} seconds"
)
def step_stand_still(context, still, apart, timeout_s):
    def clock():
        return anyio.current_time() + context.still_s

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
            # The ticks' own clock does not see a standstill; the node's does.
            context.still_s = still
            with anyio.move_on_after(2.0):
                await anyio.sleep(apart)
                timeout.start(clock(), timeout_s)
                await anyio.sleep(0.5)
            context.ended = scope.cancel_called
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


@then('the attempt is "{ended}"')
def step_ended(context, ended):
    assert context.ended == (ended == "ended"), context.ended
