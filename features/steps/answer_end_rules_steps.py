"""Steps of `answer_end_rules.feature`."""

import anyio
import httpx
from behave import given, then, when
from result import Err, Ok

from features.support.platform_fleet import EventRecorder
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.back_ends import BackEnd, BackEndDirectory, BackEndState, ServedModel
from weirscale.gateway.ports.back_end import Answer, RunState
from weirscale.gateway.requests.answer_ends import AnswerEnds
from weirscale.gateway.requests.attempt_verdict import proves_run
from weirscale.ports.h11_transport import CONNECTION_EXTENSION
from weirscale_platform.answers import answer_of
from weirscale_platform.run_probe import RunProbe, state_of

SILENCE_S = 3600.0
WAIT_TOLERANCE_S = 0.02


class ScriptedRun:
    """The port of a run whose health checks are answered after a time, until it ends."""

    def __init__(self, answered_s, ends_s=SILENCE_S, has_slotless_call=False):
        self.answered_s = answered_s
        self.ends_s = ends_s
        self.has_slotless_call = has_slotless_call
        self.num_checks = 0

    async def check_run(self, _path, timeout_s):
        self.num_checks += 1
        has_ended = anyio.current_time() >= self.ends_s
        if has_ended:
            return RunState.ENDED
        await anyio.sleep(min(self.answered_s, timeout_s))
        return RunState.RUNNING if self.answered_s < timeout_s else RunState.UNKNOWN

    async def check_run_without_slot(self, _timeout_s):
        return RunState.RUNNING if self.has_slotless_call else RunState.UNKNOWN


class ScriptedPermits:
    """Permits for health checks, which all back ends that do not rest grant."""

    def __init__(self):
        self.is_resting = False

    def take_in_advance(self, _back_end):
        return not self.is_resting


class ScriptedCluster:
    """A platform without a configuration, with registered runs of back ends."""

    def health_path(self, _service):
        return "/healthz"

    def __init__(self, registered=()):
        self.directory = BackEndDirectory()
        for run in registered:
            self.directory.put(run)


def back_end(name="lm-1", started_ms=None):
    models = (ServedModel("m", 1),)
    ready = BackEndState.READY
    return BackEnd(name, "lm", "10.0.0.1:8080", "z", ready, 4, models, started_ms=started_ms)


def new_ends(context):
    context.permits = getattr(context, "permits", None) or ScriptedPermits()
    clock = anyio.current_time
    cluster = ScriptedCluster(getattr(context, "registered", ()))
    return AnswerEnds(cluster, context.permits, EventRecorder(), clock)


def end_answers(context, after_s, script=None):
    """Let answers end after the given times, and keep what is found out about them."""
    context.proofs = {}

    async def end(ends, number, at_s):
        await anyio.sleep(at_s)
        context.proofs[number] = await ends.prove(back_end(), context.run)

    async def main():
        ends = new_ends(context)
        async with anyio.create_task_group() as tasks:
            for number, at_s in enumerate(after_s):
                tasks.start_soon(end, ends, number, at_s)
            if script is not None:
                tasks.start_soon(script, ends)

    run_in_virtual_time(main)


@given("a run whose health checks are answered after {seconds:g} seconds")
def step_run(context, seconds):
    context.run = ScriptedRun(seconds)


@given(
    "a run whose health checks are answered after {seconds:g} seconds, "
    "and that ends after {ends_s:g} seconds"
)
def step_ending_run(context, seconds, ends_s):
    context.run = ScriptedRun(seconds)
    context.ends_after_s = ends_s


@given("a run that answers no health check")
def step_silent_run(context):
    context.run = ScriptedRun(SILENCE_S)


@given("a run that has asked for a rest")
def step_resting_run(context):
    context.run = ScriptedRun(0.0)
    context.permits = ScriptedPermits()
    context.permits.is_resting = True


@given("a run that answers calls that need no slot")
def step_slotless_run(context):
    context.run = ScriptedRun(0.0, has_slotless_call=True)


@when("{num:d} answers of it end within {within_s:g} seconds")
def step_many_ends(context, num, within_s):
    end_answers(context, [within_s * number / num for number in range(num)])


@when('answers of it end after "{times}" seconds')
def step_ends_at(context, times):
    async def set_end(_ends):
        context.run.ends_s = anyio.current_time() + context.ends_after_s

    context.run.ends_s = SILENCE_S * 1e6
    end_answers(context, [float(at_s) for at_s in times.split(", ")], set_end)


@when("an answer of it ends")
def step_end(context):
    end_answers(context, [0.0])


@when("an answer of it ends, and {case} a request that was sent {sent_s:g} seconds after that end")
def step_other_answer(context, case, sent_s):
    answering = back_end("lm-2" if "another run" in case else "lm-1")

    async def answer(ends):
        began_s = anyio.current_time()
        await anyio.sleep(0.3)
        ends.answered(answering, began_s + sent_s)

    end_answers(context, [0.0], answer)


@when("two answers of it end and the first one is abandoned after {seconds:g} seconds")
def step_abandoned(context, seconds):
    async def main():
        ends = new_ends(context)

        async def abandon():
            with anyio.move_on_after(seconds):
                await ends.prove(back_end(), context.run)

        async def go_on():
            await anyio.sleep(0.001)
            context.proofs = {1: await ends.prove(back_end(), context.run)}

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(abandon)
            tasks.start_soon(go_on)

    run_in_virtual_time(main)


def result_of(proof):
    return "whole" if proof.is_whole else "broken"


@then("all of them are whole, after at most {most:d} health checks")
def step_all_whole(context, most):
    assert all(proof.is_whole for proof in context.proofs.values()), context.proofs
    assert context.run.num_checks <= most, context.run.num_checks


@then('the answers are "{results}"')
def step_results(context, results):
    found = [result_of(context.proofs[number]) for number in sorted(context.proofs)]
    assert found == results.split(", "), found


@then("the answer is {result} after {waited_s:g} seconds")
def step_result(context, result, waited_s):
    (proof,) = context.proofs.values()
    assert result_of(proof) == result, proof
    assert abs(proof.waited_s - waited_s) <= WAIT_TOLERANCE_S, proof


@then("the second answer is whole within {within_s:g} seconds")
def step_second(context, within_s):
    proof = context.proofs[1]
    assert proof.is_whole and proof.waited_s <= within_s, proof


@then("the run got no health check")
def step_no_check(context):
    assert context.run.num_checks == 0


SAME, ANOTHER = object(), object()


@given("an engine that has answered {before}")
def step_engine(context, before):
    context.answers = []
    context.before = before

    async def call(_path, _timeout_s):
        return context.answers.pop(0)

    context.probe = RunProbe(back_end(), call)


def answered_on(connection, instance=None):
    headers = {} if instance is None else {"X-Instance-Id": instance}
    return Ok(httpx.Response(200, headers=headers, extensions={CONNECTION_EXTENSION: connection}))


@when("a report is asked for on {connection}")
def step_report(context, connection):
    checks = {"a health check": "lm-1", "another run's check": "lm-2"}
    refused = httpx.ConnectError("refused")
    refused.__cause__ = ConnectionRefusedError()
    reports = {
        "the same connection": answered_on(SAME),
        "another connection": answered_on(ANOTHER),
        "a refused connection": Err(refused),
    }

    async def main():
        if context.before in checks:
            context.answers.append(answered_on(SAME, checks[context.before]))
            await context.probe.check("/healthz", 0.2)
        context.answers.append(reports[connection])
        context.state = await context.probe.check_without_slot(0.2)

    run_in_virtual_time(main)


@then('the state of the run is "{state}"')
def step_state(context, state):
    assert context.state.value == state, context.state


@given('an answer with the status {status:d} to a {method} request and the headers "{headers}"')
def step_answer(context, status, method, headers):
    fields = [tuple(headers.split(": "))] if headers else []
    context.framing = answer_of(httpx.Response(status, headers=fields), method).framing


@given('an answer with the status {status:d} to a {method} request and the headers ""')
def step_bare_answer(context, status, method):
    step_answer(context, status, method, "")


@then('the end of its body is marked by "{framing}"')
def step_framing(context, framing):
    assert context.framing.value == framing, context.framing


ANSWERS = {
    "to that request": {},
    "that names the run": {"instance": "lm-1"},
    "that names another run": {"instance": "lm-2"},
    "to another request": {"request_id": "q2"},
    "that names no request": {"request_id": None},
    "of status 421": {"status": 421},
    "of status 503 to that request": {"status": 503, "is_proved_unrun": True},
}


@given("an answer {answer} to a request")
def step_request_answer(context, answer):
    fields = {
        "status": 200, "headers": (), "request_id": "q1", "instance": None,
        "is_proved_unrun": False, "is_signed": True, "weight_version": None, "body": None,
    }  # fmt: skip
    context.answer = Answer(**(fields | ANSWERS[answer]))


@then("it proves that the run was running as the request was sent: {proved}")
def step_proves_run(context, proved):
    assert proves_run(context.answer, "q1", "lm-1") is (proved == "yes"), context.answer


@given("a later run is registered under its name")
def step_registered_again(context):
    context.registered = [back_end(started_ms=2000)]


@given("a run that its registration states to have started at {registered} ms")
def step_started(context, registered):
    context.back_end = back_end(started_ms=read_start(registered))


def read_start(text):
    return None if text == "no" else int(text)


@when("a health check is answered under its name with the start {answered} ms")
def step_answered_start(context, answered):
    start = read_start(answered)
    body = b"" if start is None else b'{"id": "lm-1", "born": %d}' % start
    answer = httpx.Response(200, headers={"X-Instance-Id": "lm-1"}, content=body)
    context.state = state_of(Ok(answer), context.back_end)


@then('the state of that run is "{state}"')
def step_state_of_run(context, state):
    assert context.state.value == state, context.state
