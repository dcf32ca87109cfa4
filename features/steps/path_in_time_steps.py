"""Steps of `path_in_time.feature`; all requests run in virtual time."""

from contextlib import asynccontextmanager

import anyio
import trio
from behave import given, then, when

from features.support.path_asgi import CallerScript, call_app, call_with_canceller
from features.support.path_engine import FULL_ANSWER, Fault, ScriptedEngine, ScriptedFault, Step
from features.support.path_node import PathNode, ScriptedBackend, generation_body
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.request.retry_policy import NextStep
from weirscale.node.execution.history import RequestHistory
from weirscale.ports.event_log import render_line
from weirscale.ports.service import ServiceFailureKind

MANY_TIMES = 1000
HEDGE_AFTER_S = 0.2
NEVER_S = 10_000.0
MID_STREAM_S = 0.17
NUM_SEEDS = 8
TOLERANCE_S = 0.15
GENERATION_REQUEST = CallerScript(body_parts=[generation_body()])
AT_MOST_ONCE = {"x-repeatable": "false"}
KEY = {"idempotency-key": "k1"}
KINDS = {
    "a generation request": {},
    "an at-most-once generation request": AT_MOST_ONCE,
    "a generation request with a key": AT_MOST_ONCE | KEY,
    "an order": {},
    "an order with a key": KEY,
}
FAULTS = {
    "kills at connect": ScriptedFault(Step.CONNECT, Fault.KILL),
    "resets at mid-stream": ScriptedFault(Step.MID_STREAM, Fault.RESET),
    "kills at mid-stream": ScriptedFault(Step.MID_STREAM, Fault.KILL),
    "stalls at headers": ScriptedFault(Step.HEADERS, Fault.STALL),
}
SERVICE_FAILURES = {
    "is unreachable": ServiceFailureKind.UNREACHABLE,
    "is broken": ServiceFailureKind.BROKEN,
}


async def never_answer(*_):
    await anyio.sleep(NEVER_S)
    raise AssertionError("the request path waited without a timeout")


class SlowClosingEngine(ScriptedEngine):
    """An engine whose connections take long to close."""

    @asynccontextmanager
    async def generate(self, call):
        async with super().generate(call) as chunks:
            try:
                yield chunks
            finally:
                await anyio.sleep(NEVER_S)


def create_healthy_node():
    return PathNode([ScriptedEngine("runner-1")], [ScriptedBackend("press-1")])


@given("a request path whose choice of engines never answers")
def step_no_engines(context):
    context.node = create_healthy_node()
    context.node.routing.choose = never_answer


@given("a request path whose choice of back ends never answers")
def step_no_backends(context):
    context.node = create_healthy_node()
    context.node.service_routing.choose = never_answer


@given("a request path whose ledger of claims never answers")
def step_no_ledger(context):
    context.node = create_healthy_node()
    context.node.ledger.claim = never_answer


@given("a request path whose engines reject requests and close connections slowly")
def step_slow_close(context):
    fault = ScriptedFault(Step.CONNECT, Fault.INVALID, MANY_TIMES)
    context.node = PathNode([SlowClosingEngine("runner-1", [fault])])


@given("a request path with one engine")
def step_one_engine(context):
    context.node = create_healthy_node()


@given("a request path whose engine breaks the connection each time")
def step_engine_breaks(context):
    fault = ScriptedFault(Step.HEADERS, Fault.RESET, MANY_TIMES)
    context.node = PathNode([ScriptedEngine("runner-1", [fault])])


@given("a request path whose first back end {failure} and whose second is healthy")
def step_first_fails(context, failure):
    fault = FAULTS.get(failure)
    engines = [ScriptedEngine("runner-1", [fault] if fault else []), ScriptedEngine("runner-2")]
    failures = [SERVICE_FAILURES[failure]] if failure in SERVICE_FAILURES else []
    backends = [ScriptedBackend("press-1", failures), ScriptedBackend("press-2")]
    context.node = PathNode(engines, backends, RetryRules(hedge_after_s=HEDGE_AFTER_S))


def send_request(context, kind, deadline_ms, read_delay_s=0.0):
    headers = {"x-deadline-ms": str(deadline_ms)} | KINDS[kind]
    is_order = "order" in kind
    script = CallerScript(
        path="/services/matemia/orders" if is_order else GENERATION_REQUEST.path,
        body_parts=[b"{}"] if is_order else GENERATION_REQUEST.body_parts,
        headers=headers,
        read_delay_s=read_delay_s,
    )

    async def main():
        started_s = anyio.current_time()
        if read_delay_s:
            answer = await call_with_canceller(context.node, script)
        else:
            answer = await timed_call(context, script, started_s)
        context.ended_after_s = anyio.current_time() - started_s
        return answer

    context.answer = run_in_virtual_time(main)


async def timed_call(context, script, started_s):
    """Record when the last part of the answer was sent, which may be before the call ends."""

    async def app(scope, receive, send):
        async def timed_send(message):
            await send(message)
            context.answered_after_s = anyio.current_time() - started_s

        await context.node.app(scope, receive, timed_send)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(context.node.canceller.run)
        answer = await call_app(app, script)
        tasks.cancel_scope.cancel()
    return answer


@when("{kind} with a deadline of {deadline:d} seconds is sent")
def step_send(context, kind, deadline):
    send_request(context, kind, deadline * 1000)


@when("{kind} with a deadline of {deadline:d} ms is sent")
def step_send_ms(context, kind, deadline):
    send_request(context, kind, deadline)


@when("{kind} with a deadline of {deadline:d} seconds is sent and its answer is never read")
def step_send_unread(context, kind, deadline):
    send_request(context, kind, deadline * 1000, NEVER_S)


@when(
    "a generation request is sent and the process is suspended for {pause:d} seconds during the stream"
)
def step_suspended(context, pause):
    """Use several seeds: the scheduler decides whether the stall watch or the stream runs first."""

    async def main(node):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(suspend_process)
            return await call_with_canceller(node, GENERATION_REQUEST)

    async def suspend_process():
        await anyio.sleep(MID_STREAM_S)
        trio.lowlevel.current_clock().jump(pause)

    context.suspended_runs = []
    for seed in range(NUM_SEEDS):
        node = create_healthy_node()
        context.suspended_runs.append((node, run_in_virtual_time(main, node, seed=seed)))


@then("each answer is complete and no stream was resumed")
def step_complete(context):
    for node, answer in context.suspended_runs:
        assert answer.text == FULL_ANSWER and answer.is_complete, answer
        assert node.engines[0].num_resumes == 0


def check_refused(context, outcome, after_s):
    error = context.answer.error
    assert f"{error['code']} {error['run_status']}" == outcome, error
    assert 0 <= context.answered_after_s - after_s <= TOLERANCE_S, context.answered_after_s


@then('the request is refused as "{outcome}" after {after:d} seconds')
def step_refused(context, outcome, after):
    check_refused(context, outcome, after)


@then('the request is refused as "{outcome}" after {after:d} ms')
def step_refused_ms(context, outcome, after):
    check_refused(context, outcome, after / 1000)


@then("the request is over after {after:d} seconds")
def step_over(context, after):
    assert abs(context.ended_after_s - after) <= TOLERANCE_S, context.ended_after_s


@then("the node holds nothing for the request")
def step_nothing_held(context):
    node = context.node
    assert node.admission.num_held == 0 and node.drain.num_running == 0
    assert node.routing.num_chosen == len(node.routing.outcomes)
    assert node.service_routing.num_chosen == node.service_routing.num_reported


@then('the request\'s log line ends with "{line}"')
def step_log_line(context, line):
    (fields,) = [fields for name, fields in context.node.log.events if name == "request"]
    rendered = render_line({"message_type": "request"} | fields)
    assert rendered.endswith(" " + line), rendered


@then('the metrics contain "{metric}"')
def step_metric(context, metric):
    script = CallerScript(method="GET", path="/metrics")
    answer = run_in_virtual_time(call_app, context.node.app, script)
    assert metric in answer.body.decode().splitlines(), answer.body.decode()


@then('a history of {num:d} failures lists {num_listed:d} of them and "{rest}"')
def step_history(context, num, num_listed, rest):
    history = RequestHistory()
    for number in range(num):
        history.record_failure(f"runner-{number}", "broken", NextStep.RESUME)
    *causes, last = history.causes.split(",")
    assert (len(causes), last) == (num_listed, rest), history.causes
