import anyio
import msgspec
from behave import given, then, when
from result import Ok

from features.support.engine_calls import wait_until_closed
from features.support.served_stand_ins import serve_service
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.request.model import ServiceRequest
from weirscale.ports.service_http import MAX_ANSWER_BYTES, HttpService
from weirscale.standins.faults import ServiceFaults
from weirscale.standins.service.in_process import InProcessService
from weirscale.standins.service.model import ServiceAnswer, ServiceSettings, body_digest

ORDER = ServiceRequest(
    request_id="order-1",
    tenant="bole-school",
    service="matemia",
    method="POST",
    path="/orders?copies=30",
    headers={"content-type": "application/json", "connection": "close"},
    body=b'{"book": "class 8b"}',
    deadline_s=0.0,
    repeatable=False,
    idempotency_key="key-1",
    priority=10,
)
LONG_S = 60.0
SHORT_S = 0.2


async def send_order(kind, faults, max_answer_bytes):
    service = InProcessService(ServiceSettings(name="press-1", service="matemia"))
    never_answers = faults.stall_before_run or faults.lose_answer
    time_left_s = SHORT_S if never_answers else LONG_S
    if kind == "in-process":
        service.faults.set(faults)
        return await service.call(ORDER, time_left_s), service.model.runs()
    async with anyio.create_task_group() as tasks:
        server = await tasks.start(serve_service, service)
        service.faults.set(faults)
        if not service.is_reachable:
            await wait_until_closed(server.address)
        port = HttpService(server.address, max_answer_bytes=max_answer_bytes)
        answer = await port.call(ORDER, time_left_s)
        await port.aclose()
        tasks.cancel_scope.cancel()
    return answer, service.model.runs()


@given('a print-shop service behind the "{port}" service port with the fault "{fault}"')
def step_service(context, port, fault):
    name, _, number = fault.partition("=")
    context.kind = port
    context.faults = ServiceFaults()
    if fault != "none":
        context.faults = ServiceFaults(**{name: int(number) if number else True})


@when("one order is sent to the service")
def step_send(context):
    step_send_with_room(context, MAX_ANSWER_BYTES)


@when("one order is sent to the service with room for {num_bytes:d} bytes of answer")
def step_send_with_room(context, num_bytes):
    run = anyio.run if context.kind == "HTTP" else run_in_virtual_time
    context.answer, context.runs = run(send_order, context.kind, context.faults, num_bytes)


@then('the service port answers "{outcome}"')
def step_outcome(context, outcome):
    if not isinstance(context.answer, Ok):
        assert context.answer.err_value.kind.value == outcome, context.answer
        return
    response = context.answer.ok_value
    assert str(response.status) == outcome, response
    if response.status == 200:
        body = msgspec.json.decode(response.body, type=ServiceAnswer)
        assert body == ServiceAnswer("press-1", "order-1", body_digest(ORDER.body), 1)


@then("the service has recorded {count:d} runs of the order with its idempotency key")
def step_runs(context, count):
    runs = [(run.request_id, run.idempotency_key, run.path) for run in context.runs]
    assert runs == [("order-1", "key-1", "/orders?copies=30")] * count, runs
    failure = None if isinstance(context.answer, Ok) else context.answer.err_value
    assert failure is None or not (failure.provably_not_run and context.runs)
