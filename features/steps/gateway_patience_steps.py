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


@given("a node with three runners of streams and one repeat to spend")
def step_one_repeat(context):
    context.fleet = Fleet()
    context.fleet.budget = RetryBudgetRules(0.0, 1.5, 60.0)
    context.fleet.store.put("op/config", configuration())
    context.runners = [
        RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm") for number in range(3)
    ]
    for runner in context.runners:
        context.fleet.add_runner(runner)


@when("two resumable streams fall silent for {pause:g} seconds at the same moment")
def step_silent(context, pause):
    context.answers = []

    async def one(node, number):
        headers = generation_headers(f"q{number}", parts=f"a{number}:800,b{number}:200")
        context.answers.append(await ask(node, "/a/x", headers=headers))

    async def body():
        node = await context.fleet.start_node()
        await anyio.sleep(1.0)
        for runner in context.runners:
            runner.faults = [f"pause:{pause}"]
        async with anyio.create_task_group() as tasks:
            for number in range(2):
                tasks.start_soon(one, node, number)

    run_in_virtual_time(lambda: with_fleet(context.fleet, body))


@then("both are answered whole, one of them by another runner")
def step_both_whole(context):
    expected = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, NUM_EVENTS + 1))
    for answer in context.answers:
        assert answer.is_complete and answer.body == expected, answer
    assert sum(len(one.runs) for one in context.runners) == 3
