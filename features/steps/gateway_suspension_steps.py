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


@when("the machine of the node that sends the orders is suspended for {seconds:g} seconds")
def step_suspend(context, seconds):
    async def action(fleet_run):
        fleet_run.node = fleet_run.holder()
        await fleet_run.node.order_fence.acquire()
        fleet_run.fleet.suspend(fleet_run.node.settings.name, seconds)
        fleet_run.state_after = {
            "holds the duty": fleet_run.node._lease.is_held(),
            "holds the order fence": fleet_run.node.order_fence._is_renewed(),
            "has a proof of its configuration": fleet_run.node.cluster.age_s() < 1.0,
        }

    context.fleet_run.actions.append(action)


@then("the node holds the duty right after that")
def step_holds(context):
    assert context.fleet_run.run().state_after["holds the duty"]


@then("the node does not hold the duty right after that")
def step_does_not_hold(context):
    assert not context.fleet_run.run().state_after["holds the duty"]


@then("the node does not hold the order fence right after that")
def step_no_fence(context):
    assert not context.fleet_run.run().state_after["holds the order fence"]


@then("the node has no proof of its configuration right after that")
def step_no_proof(context):
    assert not context.fleet_run.run().state_after["has a proof of its configuration"]


@when("{seconds:g} seconds pass after the suspension")
def step_pass(context, seconds):
    async def action(fleet_run):
        fleet_run.fleet.add_runner(RunnerStandIn("o-1", "10.2.0.1:8080", "orders", model=None))
        await anyio.sleep(seconds)
        fleet_run.age_s = fleet_run.node.cluster.age_s()
        headers = request_headers("after", x_deadline_ms=DEADLINE_MS)
        fleet_run.answer = await ask(fleet_run.node, "/s/1", headers=headers)
        fleet_run.passed_on_ms = int(fleet_run.fleet.runners[-1].arrivals[-1][2]["x-deadline-ms"])
        fleet_run.fleet.runners[-1].read_s = 5.0
        fleet_run.late_answer = await ask(fleet_run.node, "/s/1", headers=headers)

    context.fleet_run.actions.append(action)


@then("the node's proof of the configuration is less than {seconds:g} seconds old")
def step_proof(context, seconds):
    assert context.fleet_run.run().age_s < seconds, context.fleet_run.age_s


@then("the node answers a request, and passes on a deadline that ends with the caller's")
def step_answers(context):
    fleet_run = context.fleet_run.run()
    assert fleet_run.answer.status == 200
    assert 0.8 * DEADLINE_MS < fleet_run.passed_on_ms <= DEADLINE_MS, fleet_run.passed_on_ms
    assert fleet_run.late_answer.status == 504
    assert abs(fleet_run.late_answer.took_s - DEADLINE_MS / 1000.0) < 0.05, (
        fleet_run.late_answer.took_s
    )


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


@then("the program measures ages with the clock that counts suspensions")
def step_clock(context):
    assert context.program.node._clock is boot_time_s
    before_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before_s <= boot_time_s() <= time.clock_gettime(time.CLOCK_BOOTTIME)


@then('only "{timers}" read the event loop\'s clock')
def step_only_timers(context, timers):
    allowed = set(timers.split())
    reading = {file.stem for file in context.modules if reads_loop_clock(file)}
    assert reading <= allowed, reading - allowed


@then('only "" read the event loop\'s clock')
def step_no_timers(context):
    assert not any(reads_loop_clock(file) for file in context.modules)


def reads_loop_clock(file):
    """Return whether a module calls the function that returns the event loop's time."""
    calls = (node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.Call))
    return any(getattr(call.func, "attr", "") == "current_time" for call in calls)
