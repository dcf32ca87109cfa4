"""Steps of `invalid_statuses.feature`."""

import anyio
import httpx
from behave import given, then, when

from features.steps.endless_answers_steps import CALLS, FAILED, port_to
from features.steps.gateway_connection_limits_steps import START_S
from features.steps.gateway_planned_stop_steps import make_program
from features.steps.service_contract_steps import ORDER
from features.support.platform_fleet import configuration, route
from features.support.slow_back_end import BODY, SlowBackEnd
from weirscale.ports.service_http import HttpService

STOP_S = 8.0
TIMEOUT_S = 3.0
MAX_TRIES = 20
PATHS = {"an order": "/o/1", "a status": "/s/1", "a stream": "/t/1"}
OWN_CALLS = ("a report", "a health check", "an order", "a check of its run", "a request")


@given(
    'a node on real sockets before a back end that answers with the status "{status}", and a sound one'
)
def step_node(context, status):
    context.bad = SlowBackEnd("bad", "orders", status=status)
    context.sound = SlowBackEnd("sound", "orders")


@when("a caller sends {kind} request that goes to the first one")
def step_send(context, kind):
    is_repeatable = kind == "a status"
    back_ends = [context.bad, context.sound] if is_repeatable else [context.bad]
    routes = [
        route("orders", "/o/", "mutating"),
        route("status", "/s/", "idempotent"),
        route("stream", "/t/", "streaming"),
    ]

    async def main():
        async with anyio.create_task_group() as tasks:
            for back_end in back_ends:
                await tasks.start(back_end.run)
            program = make_program(back_ends, STOP_S, configuration(routes=routes))
            tasks.start_soon(program.run, anyio.Event())
            with anyio.fail_after(START_S):
                await program.node.cluster.first_read.wait()
            address = program.node.settings.callers
            url = f"http://{address.host}:{address.port}{PATHS[kind]}"
            async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
                for number in range(MAX_TRIES):
                    headers = {"host": "h.example", "x-attempt-id": f"q{number}"}
                    context.answer = await client.post(url, headers=headers, content=b"x")
                    if context.bad.received:
                        break
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


@then("the caller gets {status:d} without a signature")
def step_unsigned(context, status):
    assert context.answer.status_code == status, context.answer
    assert "x-response-seal" not in context.answer.headers


@then("the caller gets the sound back end's answer")
def step_sound(context):
    assert context.answer.status_code == 200, context.answer
    assert context.answer.headers["x-response-seal"] == "seal-sound"
    assert context.answer.content == BODY


@then("the caller gets {status:d} with its signature")
def step_signed(context, status):
    assert context.answer.status_code == status, context.answer
    assert context.answer.headers["x-response-seal"] == "seal-bad"


@then("the back end has received it once")
def step_once(context):
    assert len(context.bad.received) == 1, context.bad.received


@given('a server that answers with the status "{status}"')
def step_server(context, status):
    context.bad = SlowBackEnd("e-1", "lm", status=status)


def run_with_server(context, script):
    async def main():
        async with anyio.create_task_group() as tasks:
            await tasks.start(context.bad.run)
            await script(context.bad.address)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})


@when("the gateway makes each of its calls to it")
def step_calls(context):
    context.outcomes = {}

    async def script(address):
        for call in OWN_CALLS:
            port = port_to(address)
            context.outcomes[call] = await CALLS[call](port)
            await port.close()

    run_with_server(context, script)


@then("all of them have failed")
def step_failed(context):
    assert len(context.outcomes) == len(OWN_CALLS)
    assert all(outcome in FAILED for outcome in context.outcomes.values()), context.outcomes


@when("the older node sends a request to it")
def step_older(context):
    async def script(address):
        service = HttpService(address)
        context.outcome = await service.call(ORDER, TIMEOUT_S)
        await service.aclose()

    run_with_server(context, script)


@then("the request has failed")
def step_request_failed(context):
    assert context.outcome.is_err(), context.outcome
