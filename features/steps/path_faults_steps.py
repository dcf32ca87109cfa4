"""Steps of `path_faults.feature`."""

import anyio
from behave import given, then, when

from features.support.path_asgi import CallerScript, call_app, call_with_canceller
from features.support.path_engine import FULL_ANSWER, Fault, ScriptedEngine, ScriptedFault, Step
from features.support.path_node import PathNode, generation_body
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import RetryRules

REQUEST_ID = "caption-1"
EACH_TIME = 1000
KINDS = {"a repeatable": "true", "an at-most-once": "false"}


def prepare(context, make_engines, **retry):
    context.make_engines = make_engines
    context.retry = RetryRules(**retry)
    context.versions = {}
    context.calls = []


def new_node(context):
    node = PathNode(context.make_engines(), retry=context.retry)
    node.routing.versions = context.versions
    return node


def ask(context, streamed, node=None, **script):
    node = node or new_node(context)
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


@given('an engine that will {fault:w} once at the step "{step}" and a healthy engine')
def step_one_faulty(context, fault, step):
    def engines():
        script = [ScriptedFault(Step(step), Fault(fault))]
        return [ScriptedEngine("runner-1", script), ScriptedEngine("runner-2")]

    prepare(context, engines)


@given('two engines that {fault:w} each time at the step "{step}"')
def step_all_faulty(context, fault, step):
    def engines():
        scripts = [[ScriptedFault(Step(step), Fault(fault), EACH_TIME)] for _ in range(2)]
        return [ScriptedEngine(f"runner-{i + 1}", script) for i, script in enumerate(scripts)]

    prepare(context, engines)


@given("two healthy engines")
def step_healthy(context):
    prepare(context, lambda: [ScriptedEngine("runner-1"), ScriptedEngine("runner-2")])


@given("an engine whose chunks arrive together")
def step_together(context):
    prepare(context, lambda: [ScriptedEngine("runner-1", arrives_together=True)])


@given("the healthy engine serves other weights")
def step_other_weights(context):
    context.versions = {"runner-2": "v2"}


@given("a retry budget of nothing")
def step_no_budget(context):
    context.retry = RetryRules(budget_ratio=0.0, min_retries_per_s=0.0)


@given("hedging after {after:d} ms")
def step_hedging(context, after):
    context.retry = RetryRules(hedge_after_s=after / 1000)


@when("{kind} caption is asked for, streamed and whole")
def step_ask(context, kind):
    for streamed in (True, False):
        ask(context, streamed, headers={"x-repeatable": KINDS[kind]})


@when("a caption with {deadline:d} ms is asked for")
def step_ask_deadline(context, deadline):
    ask(context, True, headers={"x-deadline-ms": str(deadline)})


@when("a caller leaves a caption after {after:f} seconds")
def step_leave(context, after):
    ask(context, True, leaves_after_s=after)


@when("a caller that needs {delay:d} seconds for each piece asks for a caption")
def step_slow_whole(context, delay):
    ask(context, True, read_delay_s=delay)


@when("an at-most-once caption is asked for twice with one key")
def step_ask_twice(context):
    node = new_node(context)
    for _ in range(2):
        ask(context, True, node, headers={"x-repeatable": "false", "idempotency-key": "k1"})


@when("a caller that needs {delay:d} seconds for each piece has read {num:d} pieces")
def step_slow(context, delay, num):
    context.node = new_node(context)
    script = CallerScript(body_parts=[generation_body()], read_delay_s=delay)

    async def main():
        with anyio.move_on_after(delay * num):
            await call_app(context.node.app, script)

    run_in_virtual_time(main)


@then('each caption ends as "{outcome}"')
def step_outcome(context, outcome):
    for _, answer, _, _ in context.calls:
        assert outcome_of(answer) == outcome, (outcome_of(answer), answer)


@then('the second caption is refused as "{outcome}"')
def step_second(context, outcome):
    assert outcome_of(context.calls[0][1]) == "complete"
    assert outcome_of(context.calls[1][1]) == outcome


@then("the captions took at most {limit:f} seconds")
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


@then("the streamed caption came in {parts:d} parts with {events:d} events")
def step_parts(context, parts, events):
    answer = context.calls[0][1]
    assert len(answer.parts) == parts, answer.parts
    assert len(answer.events) == events, answer.events


@then("at most {num:d} chunks were taken from the engine")
def step_pulled(context, num):
    assert 0 < context.node.engines[0].num_pulled <= num, context.node.engines[0].num_pulled


@then("the history of the request path is clean")
def step_clean(context):
    assert context.calls
    for node, answer, _, headers in context.calls:
        check_answer(node, answer)
        check_runs(node, answer, headers)
        check_books(node)


def check_answer(node, answer):
    """Nothing crossed, doubled or reordered; truncated only with an error and no end marker."""
    if answer.has_caller_left:
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
    if answer.has_caller_left:
        return
    if answer.is_complete:
        assert num_runs >= 1
    elif answer.error["run_status"] == "not_run":
        assert num_runs == 0, f"said not_run and ran {num_runs} times"
    elif answer.error["run_status"] == "ran":
        assert num_runs >= 1, "said ran and did not run"


def check_books(node):
    """Each choice has its outcome, each permit is back, each request has its line."""
    assert node.routing.num_chosen == len(node.routing.outcomes)
    assert node.admission.num_held == 0
    assert node.drain.num_running == 0
    lines = [fields for name, fields in node.log.events if name == "request"]
    assert len(lines) == node.admission.num_admitted


@then("every call expected the chosen incarnation and weights")
def step_expected(context):
    calls = [
        call
        for node, _, _, _ in context.calls
        for engine in node.routing.engines
        for call in engine.calls
    ]
    assert len(calls) > len(context.calls), calls
    expected = {(call.expected_incarnation, call.expected_weight_version) for call in calls}
    assert expected == {(1, "v1")}, expected
