"""Steps of `gateway_unframed_ends.feature`, beside those of `gateway_requests.feature`."""

import anyio
from behave import given, then, when

from features.steps.gateway_requests_steps import PATHS, headers_of, run_with_node
from features.support.platform_fleet import ask

CRASH_CHECK_S = 4.0
"""Seconds within which a lost back end is known to have crashed."""


@given("their health checks wait {seconds:g} seconds for a slot")
def step_slow_health(context, seconds):
    context.probe_s = seconds


@when("{kind} request is sent and its back end is checked for a crash")
def step_send_and_wait(context, kind):
    async def script(node):
        context.answer = await ask(node, PATHS[kind], headers=headers_of(kind))
        await anyio.sleep(CRASH_CHECK_S)

    run_with_node(context, script)


@then(
    "its last byte arrived at most {last_s:g} seconds after the first one, "
    "and its end at most {end_s:g} second later"
)
def step_arrival(context, last_s, end_s):
    answer = context.answer
    assert answer.last_byte_s - answer.first_byte_s <= last_s, answer
    assert answer.took_s - answer.last_byte_s <= end_s, answer


@then("the log has a crash under a request that had been written for at most {most_s:g} seconds")
def step_crash(context, most_s):
    log = context.fleet.logs["node-1"]
    (crash,) = log.named("back_end_crashed")
    assert crash["requests"] == 1, crash
    (interrupted,) = log.named("request_interrupted")
    assert interrupted["writing_ms"] <= 1000.0 * most_s, interrupted


@then("the log says that the end of an answer was unproved, as its run had ended")
def step_unproved(context):
    (line,) = context.fleet.logs["node-1"].named("answer_end_unproved")
    assert line["state"] == "ended", line
