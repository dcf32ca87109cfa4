"""Steps of `path_services.feature`; all orders run in virtual time against scripted back ends."""

import anyio
from behave import given, then, when

from features.support.path_asgi import CallerScript, call_app
from features.support.path_node import PathNode, ScriptedBackend
from features.support.virtual_time import run_in_virtual_time
from weirscale.ports.event_log import render_line
from weirscale.ports.service import ServiceFailureKind

ORDER_ID = "order-1"
ORDER = b'{"books": 31}'


def order_script(method="POST", key=None, body=ORDER, request_id=ORDER_ID, **others):
    headers = {"x-request-id": request_id, "x-school": "addis", "connection": "keep-alive"}
    if key:
        headers["idempotency-key"] = key
    return CallerScript(
        method=method,
        path="/services/matemia/orders",
        query=b"urgent=1",
        headers=headers,
        body_parts=[body],
        **others,
    )


def send_order(context, **script):
    context.answer = run_in_virtual_time(call_app, context.node.app, order_script(**script))


def outcome_of(answer):
    if answer.error is None:
        return str(answer.status)
    return f"{answer.error['code']} {answer.error['run_status']}"


def create_print_shops(context, scripts, delay_s=0.0):
    shops = [ScriptedBackend(f"press-{i}", s, delay_s=delay_s) for i, s in enumerate(scripts)]
    context.node = PathNode(backends=shops)


@given('two print shops, the first of which fails {num:d} times with "{failure}"')
def step_first_fails(context, num, failure):
    script = [] if failure == "none" else [ServiceFailureKind(failure)] * num
    create_print_shops(context, [script, []])


@given("two print shops that need {delay:d} seconds per order")
def step_slow_shops(context, delay):
    create_print_shops(context, [[], []], delay)


@given("two unreachable print shops")
def step_unreachable(context):
    create_print_shops(context, [[ServiceFailureKind.UNREACHABLE] for _ in range(2)])


@given("the node is draining")
def step_draining(context):
    context.node.drain.begin()


@given("the node is not configured")
def step_not_configured(context):
    context.node.configuration.in_force = None


@given("the node receives its configuration {after:g} seconds after the order")
def step_configured_later(context, after):
    configuration = context.node.configuration
    configuration.next_in_force, configuration.in_force = configuration.in_force, None
    configuration.changes_after_s = after


@when("both print shops are reachable again")
def step_reachable_again(context):
    assert all(not shop.script for shop in context.node.backends)


@when("an order is sent by {method:w}")
def step_order(context, method):
    send_order(context, method=method)


@when('an order is sent by POST with key "{key}"')
def step_order_key(context, key):
    send_order(context, key=key)


@when('another order is sent by POST with key "{key}"')
def step_other_order(context, key):
    send_order(context, key=key, body=b'{"books": 32}')


@when('two orders are sent concurrently with key "{key}"')
def step_two_orders(context, key):
    context.answers = []

    async def send():
        context.answers.append(await call_app(context.node.app, order_script(key=key)))

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            tasks.start_soon(send)

    run_in_virtual_time(main)


@when('the caller of an order with key "{key}" disconnects after {after:d} seconds')
def step_disconnect(context, key, after):
    send_order(context, key=key, disconnects_after_s=after)


@when("a drain begins {after:d} seconds after an order")
def step_drain(context, after):
    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(after)
            context.node.drain.begin()
            await context.node.drain.wait_idle()
            context.drained_after_s = anyio.current_time()

    async def send():
        context.started_s = anyio.current_time()
        context.answer = await call_app(context.node.app, order_script())

    run_in_virtual_time(main)


@then('the order ends as "{outcome}" after {num:d} runs')
def step_ends(context, outcome, num):
    assert outcome_of(context.answer) == outcome, context.answer
    assert context.node.num_runs(ORDER_ID) == num, context.node.num_runs(ORDER_ID)
    if outcome == "201":
        assert context.answer.body == b"order taken"
        assert context.answer.headers["x-run-status"] == "ran"


@then('one order ends as "{outcome}" and the other as "{other_outcome}" after {num:d} runs')
def step_both_end(context, outcome, other_outcome, num):
    assert sorted(map(outcome_of, context.answers)) == sorted([outcome, other_outcome])
    assert context.node.num_runs(ORDER_ID) == num


@then("the service path holds nothing for the request")
def step_released(context):
    node = context.node
    assert node.service_routing.num_chosen == node.service_routing.num_reported
    assert node.admission.num_held == 0 and node.drain.num_running == 0
    assert [name for name, _ in node.log.events].count("request") == 1


@then("the answer is marked as replayed")
def step_replayed(context):
    assert context.answer.headers["idempotent-replayed"] == "true"


@then("the print shop received the complete order without the API key")
def step_complete_order(context):
    (request,) = context.node.backends[0].requests
    assert (request.method, request.path) == ("POST", "/orders?urgent=1")
    assert request.body == ORDER
    assert request.headers == {
        "x-request-id": ORDER_ID,
        "x-school": "addis",
        "idempotency-key": "k1",
    }, request.headers


@then("the drain ended after {num:d} seconds")
def step_drained(context, num):
    assert abs(context.drained_after_s - context.started_s - num) < 0.01


@then('"{path}" answers {status:d} with "{text}"')
def step_operations(context, path, status, text):
    script = CallerScript(method="GET", path=path)
    answer = run_in_virtual_time(call_app, context.node.app, script)
    assert answer.status == status and text in answer.body.decode(), answer


@then("an event with a line break in a value is rendered as one line")
def step_line(context):
    fields = {"request_id": "r-1", "detail": 'a "b"\nc=d', "duration_s": 0.25, "task_uuid": "x"}
    line = render_line({"timestamp": 1.5, "message_type": "request"} | fields)
    assert line == (
        "time=1970-01-01T00:00:01.500Z event=request request_id=r-1 "
        'detail="a \\"b\\"\\nc=d" duration_s=0.25'
    ), line
