"""Steps of `gateway_overload.feature` about silent streams and the retry budget."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    generation_headers,
    with_fleet,
)
from features.support.platform_runner import NUM_EVENTS, RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.settings import RetryBudgetRules


@given("a node with three engines and a retry budget of one retry")
def step_one_retry(context):
    context.fleet = Fleet()
    context.fleet.budget = RetryBudgetRules(0.0, 1.5, 60.0)
    context.fleet.store.put("op/config", configuration())
    context.runners = [
        RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm") for number in range(3)
    ]
    for runner in context.runners:
        context.fleet.add_runner(runner)


@when("two resumable streams become silent for {pause:g} seconds at the same time")
def step_silent(context, pause):
    context.answers = []

    async def send_request(node, number):
        headers = generation_headers(f"q{number}", parts=f"a{number}:800,b{number}:200")
        context.answers.append(await ask(node, "/a/x", headers=headers))

    async def body():
        node = await context.fleet.start_node()
        await anyio.sleep(1.0)
        for runner in context.runners:
            runner.faults = [f"pause:{pause}"]
        async with anyio.create_task_group() as tasks:
            for number in range(2):
                tasks.start_soon(send_request, node, number)

    run_in_virtual_time(lambda: with_fleet(context.fleet, body))


@then("both streams are complete, one of them resumed at another engine")
def step_both_complete(context):
    expected = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, NUM_EVENTS + 1))
    for answer in context.answers:
        assert answer.is_complete and answer.body == expected, answer
    assert sum(len(runner.runs) for runner in context.runners) == 3
