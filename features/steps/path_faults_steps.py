"""Steps of `path_faults.feature`.

Each generation request runs in virtual time against scripted engines. `context.calls` keeps the
node, the answer, the duration and the headers of each request.
"""

import anyio
from behave import given, then, when

from features.support.path_asgi import CallerScript, call_app, call_with_canceller
from features.support.path_engine import FULL_ANSWER, Fault, ScriptedEngine, ScriptedFault, Step
from features.support.path_node import PathNode, generation_body
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import RetryRules

REQUEST_ID = "caption-1"
MANY_TIMES = 1000
KINDS = {"a repeatable": "true", "an at-most-once": "false"}


def configure(context, make_engines, **retry):
    context.make_engines = make_engines
    context.retry = RetryRules(**retry)
    context.versions = {}
    context.calls = []


def create_node(context):
    node = PathNode(context.make_engines(), retry=context.retry)
    node.routing.versions = context.versions
    return node


def send_request(context, streamed, node=None, **script):
    node = node or create_node(context)
    headers = {"x-request-id": REQUEST_ID} | script.pop("headers", {})
    script = CallerScript(body_parts=[generation_body(streamed)], headers=headers, **script)

    async def main():
        started_s = anyio.current_time()
        answer = await call_with_canceller(node, script)
        return answer, anyio.current_time() - started_s

    answer, duration_s = run_in_virtual_time(main)
    context.calls.append((node, answer, duration_s, headers))
    return answer


def outcome_of(answer):
    if answer.is_complete:
        return "complete"
    return f"{answer.error['code']} {answer.error['run_status']}"


@given('an engine with the fault "{fault:w}" once at the step "{step}" and a healthy engine')
def step_one_faulty_engine(context, fault, step):
    def engines():
        script = [ScriptedFault(Step(step), Fault(fault))]
        return [ScriptedEngine("runner-1", script), ScriptedEngine("runner-2")]

    configure(context, engines)


@given('two engines with the fault "{fault:w}" each time at the step "{step}"')
def step_all_engines_faulty(context, fault, step):
    def engines():
        scripts = [[ScriptedFault(Step(step), Fault(fault), MANY_TIMES)] for _ in range(2)]
        return [ScriptedEngine(f"runner-{i + 1}", script) for i, script in enumerate(scripts)]

    configure(context, engines)


@given("two healthy engines")
def step_healthy_engines(context):
    configure(context, lambda: [ScriptedEngine("runner-1"), ScriptedEngine("runner-2")])


@given("an engine whose chunks arrive together")
def step_chunks_together(context):
    configure(context, lambda: [ScriptedEngine("runner-1", arrives_together=True)])


@given("the healthy engine serves another weight version")
def step_other_weight_version(context):
    context.versions = {"runner-2": "v2"}


@given("a retry budget of zero")
def step_no_budget(context):
    context.retry = RetryRules(budget_ratio=0.0, min_retries_per_s=0.0)


@given("hedging after {after:d} ms")
def step_hedging(context, after):
    context.retry = RetryRules(hedge_after_s=after / 1000)


@when("{kind} generation request is sent, streamed and non-streamed")
def step_ask(context, kind):
    for streamed in (True, False):
        send_request(context, streamed, headers={"x-repeatable": KINDS[kind]})


@when("a generation request with a deadline of {deadline:d} ms is sent")
def step_ask_deadline(context, deadline):
    send_request(context, True, headers={"x-deadline-ms": str(deadline)})


@when("the caller of a generation request disconnects after {after:f} seconds")
def step_disconnect(context, after):
    send_request(context, True, disconnects_after_s=after)


@when("a caller that needs {delay:d} seconds to read each part sends a generation request")
def step_slow_caller(context, delay):
    send_request(context, True, read_delay_s=delay)


@when("an at-most-once generation request is sent twice with the same idempotency key")
def step_ask_twice(context):
    node = create_node(context)
    for _ in range(2):
        send_request(
            context, True, node, headers={"x-repeatable": "false", "idempotency-key": "k1"}
        )


@when("a caller that needs {delay:d} seconds to read each part has read {num:d} parts")
def step_slow_caller_has_read(context, delay, num):
    context.node = create_node(context)
    script = CallerScript(body_parts=[generation_body()], read_delay_s=delay)

    async def main():
        with anyio.move_on_after(delay * num):
            await call_app(context.node.app, script)

    run_in_virtual_time(main)


@then('each generation request ends as "{outcome}"')
def step_outcome(context, outcome):
    for _, answer, _, _ in context.calls:
        assert outcome_of(answer) == outcome, (outcome_of(answer), answer)


@then('the second generation request is refused as "{outcome}"')
def step_second(context, outcome):
    assert outcome_of(context.calls[0][1]) == "complete"
    assert outcome_of(context.calls[1][1]) == outcome


@then("the generation requests took at most {limit:f} seconds")
def step_took(context, limit):
    for _, _, duration_s, _ in context.calls:
        assert duration_s <= limit, duration_s


@then("the first engine's work was cancelled")
def step_cancelled(context):
    for node, _, _, _ in context.calls:
        assert node.engines[0].cancelled == [(REQUEST_ID, 0)], node.engines[0].cancelled


@then("the first engine was not asked to resume")
def step_not_resumed(context):
    assert context.calls[0][0].engines[0].num_resumes == 0


@then("the streamed answer arrived in {parts:d} parts with {events:d} events")
def step_parts(context, parts, events):
    answer = context.calls[0][1]
    assert len(answer.parts) == parts, answer.parts
    assert len(answer.events) == events, answer.events


@then("at most {num:d} chunks were read from the engine")
def step_chunks_read(context, num):
    assert 0 < context.node.engines[0].num_read <= num, context.node.engines[0].num_read


@then("the request path kept its guarantees")
def step_guarantees(context):
    assert context.calls
    for node, answer, _, headers in context.calls:
        check_answer(node, answer)
        check_runs(node, answer, headers)
        check_released(node)


def check_answer(node, answer):
    """Check that no chunk is foreign, repeated or out of order.

    A truncated answer must end with an error and without the end marker.
    """
    if answer.has_caller_disconnected:
        return
    if answer.is_complete:
        assert answer.text == FULL_ANSWER, answer.text
        return
    assert answer.is_ended and answer.error["remedy"], answer
    assert answer.error["request_id"] == REQUEST_ID
    assert b"[DONE]" not in answer.body
    if answer.is_streamed:
        assert FULL_ANSWER.startswith(answer.text), answer.text
        assert answer.error["run_status"] == "ran"
    else:
        assert answer.headers["x-run-status"] == answer.error["run_status"]


def check_runs(node, answer, headers):
    num_runs = node.num_runs(REQUEST_ID)
    if headers.get("x-repeatable") == "false":
        assert num_runs <= 1, f"ran {num_runs} times"
    if answer.has_caller_disconnected:
        return
    if answer.is_complete:
        assert num_runs >= 1
    elif answer.error["run_status"] == "not_run":
        assert num_runs == 0, f"stated not_run but ran {num_runs} times"
    elif answer.error["run_status"] == "ran":
        assert num_runs >= 1, "stated ran but did not run"


def check_released(node):
    """Check that each choice has a reported outcome, permits are released and requests are logged."""
    assert node.routing.num_chosen == len(node.routing.outcomes)
    assert node.admission.num_held == 0
    assert node.drain.num_running == 0
    lines = [fields for name, fields in node.log.events if name == "request"]
    assert len(lines) == node.admission.num_admitted


@then("every call expected the chosen incarnation and weight version")
def step_expected_run(context):
    calls = [
        call
        for node, _, _, _ in context.calls
        for engine in node.routing.engines
        for call in engine.calls
    ]
    assert len(calls) > len(context.calls), calls
    expected = {(call.expected_incarnation, call.expected_weight_version) for call in calls}
    assert expected == {(1, "v1")}, expected
