"""Steps of `gateway_suspension.feature`."""

import ast
import time
from random import Random
from types import SimpleNamespace

import anyio
from behave import given, then, when

from features.support.platform_fleet import EventRecorder, ask, request_headers
from features.support.platform_runner import RunnerStandIn
from weirscale.gateway.program import GatewayProgram
from weirscale.gateway.settings import GatewaySettings, ListenAddress
from weirscale.ports.boot_clock import boot_time_s

DEADLINE_MS = 900


@when("the machine of the node that gives the orders is suspended for {seconds:g} seconds")
def step_suspend(context, seconds):
    async def action(play):
        play.node = play.holder()
        await play.node.order_fence.acquire()
        play.fleet.suspend(play.node.settings.name, seconds)
        play.at_once = {
            "holds the duty": play.node._lease.is_held(),
            "holds a turn to order": play.node.order_fence._is_renewed(),
            "has a proof of its configuration": play.node.cluster.age_s() < 1.0,
        }

    context.play.actions.append(action)


@then("it holds the duty right after that")
def step_holds(context):
    assert context.play.run().at_once["holds the duty"]


@then("it does not hold the duty right after that")
def step_does_not_hold(context):
    assert not context.play.run().at_once["holds the duty"]


@then("it does not hold a turn to order right after that")
def step_no_turn(context):
    assert not context.play.run().at_once["holds a turn to order"]


@then("it has no proof of its configuration right after that")
def step_no_proof(context):
    assert not context.play.run().at_once["has a proof of its configuration"]


@when("{seconds:g} seconds pass after the suspension")
def step_pass(context, seconds):
    async def action(play):
        play.fleet.add_runner(RunnerStandIn("o-1", "10.2.0.1:8080", "orders", model=None))
        await anyio.sleep(seconds)
        play.age_s = play.node.cluster.age_s()
        headers = request_headers("after", x_deadline_ms=DEADLINE_MS)
        play.answer = await ask(play.node, "/s/1", headers=headers)
        play.told_ms = int(play.fleet.runners[-1].arrivals[-1][2]["x-deadline-ms"])
        play.fleet.runners[-1].read_s = 5.0
        play.late = await ask(play.node, "/s/1", headers=headers)

    context.play.actions.append(action)


@then("its proof of the configuration is less than {seconds:g} seconds old")
def step_proof(context, seconds):
    assert context.play.run().age_s < seconds, context.play.age_s


@then("it answers a request, and has told a deadline that ends with the caller's")
def step_answers(context):
    play = context.play.run()
    assert play.answer.status == 200
    assert 0.8 * DEADLINE_MS < play.told_ms <= DEADLINE_MS, play.told_ms
    assert play.late.status == 504
    assert abs(play.late.took_s - DEADLINE_MS / 1000.0) < 0.05, play.late.took_s


@given("the program of a node")
def step_program(context):
    listen = ListenAddress("127.0.0.1", 0)
    settings = GatewaySettings(
        name="node-1", zone="hall-a", callers=listen, readiness=listen, peers=listen, metrics=None
    )
    adapter = SimpleNamespace(
        settings=None, feed=lambda: None, store=lambda: None, connector=lambda: None,
        codec=lambda: None,
    )  # fmt: skip

    async def make():
        return GatewayProgram(adapter, settings, EventRecorder(), Random(1))

    context.program = anyio.run(make)


@then("it tells ages by the clock that counts them")
def step_clock(context):
    assert context.program.node._clock is boot_time_s
    before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before_s <= boot_time_s() <= time.clock_gettime(time.CLOCK_BOOTTIME)


@then('only "{timers}" read the loop\'s clock')
def step_only_timers(context, timers):
    allowed = set(timers.split())
    reading = {file.stem for file in context.modules if reads_loop_clock(file)}
    assert reading <= allowed, reading - allowed


@then('only "" read the loop\'s clock')
def step_no_timers(context):
    assert not any(reads_loop_clock(file) for file in context.modules)


def reads_loop_clock(file):
    """Whether a module calls the function that tells the event loop's time."""
    calls = (node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.Call))
    return any(getattr(call.func, "attr", "") == "current_time" for call in calls)
