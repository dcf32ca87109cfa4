"""Steps of `gateway_unsendable.feature`."""

import json

import httpx
from behave import given, then, when

from features.steps.transport_connections_steps import ask as ask_server
from features.steps.transport_connections_steps import request_to
from features.steps.transport_connections_steps import run as run_server
from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    request_headers,
    route,
    with_fleet,
)
from features.support.platform_runner import RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.ports.http_client import was_never_sent

KEY = "key-of-the-tenant"
INVALID_PARTS = {
    "a line feed in a header": {"headers": [(b"x-note", b"a\nx-tenant: other")]},
    "a zero byte in a header": {"headers": [(b"x-note", b"a\x00b")]},
    "a space in a header's name": {"headers": [(b"x note", b"a")]},
    "a space in the path": {"path": "/s/a b"},
    "a line feed in the query": {"path": "/s/a?b\nc"},
    "a space in the method": {"method": "GET X"},
}


@given("a node with two back ends")
def step_node(context):
    context.tenant = None
    context.requests = []


@given("the operators name a tenant {name}")
def step_tenant(context, name):
    context.tenant = json.loads(name)


@when("a request over HTTP/2 has {part}")
def step_invalid_part(context, part):
    invalid = INVALID_PARTS[part]
    headers = [*request_headers(), *invalid.get("headers", ())]
    rest = {name: value for name, value in invalid.items() if name != "headers"}
    send_two(context, {"path": "/s/1", "headers": headers, "http_version": "2"} | rest)


@when("the tenant sends a request")
def step_tenant_request(context):
    headers = [*request_headers(), (b"authorization", f"Bearer {KEY}".encode())]
    send_two(context, {"path": "/t/1", "headers": headers})


def send_two(context, first):
    """Send a request, then a valid one of a public route, and keep both answers."""
    context.fleet = Fleet()

    async def body():
        fleet = context.fleet
        for number in (1, 2):
            runner = RunnerStandIn(f"o{number}", f"10.2.0.{number}:9000", "orders", model=None)
            fleet.add_runner(runner)
        tenants = [{"name": context.tenant, "api_keys": [KEY]}] if context.tenant else []
        routes = [route("status", "/s/", "idempotent")]
        if context.tenant:
            routes.append(route("tenants", "/t/", "idempotent", public=False))
        fleet.store.put("op/config", configuration(routes=routes, tenants=tenants))
        context.node = await fleet.start_node()
        context.answers = [
            await ask(context.node, **first),
            await ask(context.node, path="/s/2", headers=request_headers("q2")),
        ]

    run_in_virtual_time(lambda: with_fleet(context.fleet, body))


@then("it is refused with 400 before it reaches a back end")
def step_refused(context):
    assert context.answers[0].status == 400, context.answers[0]
    assert arrivals(context, "q1") == []


def arrivals(context, request_id):
    """Return the headers of a request's arrivals at all back ends."""
    return [
        headers
        for runner in context.fleet.runners
        for _, arrived_id, headers in runner.arrivals
        if arrived_id == request_id
    ]


@then("it gets the status {status:d}, and the back end is told {told}")
def step_told(context, status, told):
    assert context.answers[0].status == status, context.answers[0]
    told_tenants = [headers["x-tenant"] for headers in arrivals(context, "q1")]
    expected = json.loads(told)
    assert told_tenants == ([] if expected is None else [expected]), told_tenants


@then("the next request is answered, and no back end is suspected")
def step_next(context):
    assert context.answers[1].status == 200, context.answers[1]
    assert context.fleet.logs["node-1"].named("back_end_suspected") == []


@when("a request with a line feed in a header is sent to it, and then a valid one")
def step_line_feed(context):
    async def script(server, transport):
        request = request_to(server.address)
        request.headers = httpx.Headers([*request.headers.raw, (b"x-note", b"a\nb")])
        try:
            await transport.handle_async_request(request)
        except httpx.HTTPError as error:
            context.error = error
        context.answer = await ask_server(transport, server.address)

    run_server(script, context.behaviour)


@then("the first one was never sent, its connection is closed, and the second one is answered")
def step_never_sent(context):
    assert was_never_sent(context.error), context.error
    assert context.answer.startswith("answer"), context.answer
