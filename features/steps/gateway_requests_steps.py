"""Steps of `gateway_requests.feature`."""

import anyio
from behave import given, then, when

from features.support.platform_fleet import (
    Fleet,
    ask,
    configuration,
    generation_headers,
    request_headers,
    with_fleet,
)
from features.support.platform_runner import NUM_EVENTS, RunnerStandIn
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.requests.attempt_verdict import AttemptEnd, Verdict
from weirscale.gateway.requests.retry_decision import AttemptHistory
from weirscale.gateway.settings import RetryBudgetRules

PATHS = {
    "an order": "/o/1",
    "a status": "/s/1",
    "a resumable": "/a/1",
    "a single": "/n/1",
    "a fixed": "/f/1",
}
ROUTES = {"an order": "orders", "a status": "status", "a resumable": "draft", "a single": "note"}
GENERATIONS = ("a resumable", "a single", "a fixed")
WHOLE_STREAM = b"".join(
    f"id: {number}\ndata: token-{number}\n\n".encode() for number in range(1, NUM_EVENTS + 1)
)


def prepare(context, faults):
    context.faults = faults
    context.configuration = configuration()
    context.budget = None
    context.read_s = None
    context.waiting_tokens = 0


@given('two back ends of which the one asked first does "{fault}" once')
def step_one_fault(context, fault):
    prepare(context, [fault])


@given('two back ends that have the faults "{faults}", one at each attempt')
def step_faults(context, faults):
    prepare(context, faults.split(", "))


ENDS = {
    "broken": AttemptEnd.UNCERTAIN,
    "refused": AttemptEnd.NOT_RUN,
    "unreachable": AttemptEnd.NEVER_SENT,
}


@given('attempts that ended "{attempts}"')
def step_attempts(context, attempts):
    context.history = AttemptHistory()
    for attempt in attempts.split(", "):
        name, end = attempt.split(" ")
        context.history.add_verdict(InstanceId(name), Verdict(ENDS[end], end))


@then("{before:d} attempts count before an answer has begun, and {after:d} afterwards")
def step_counted_attempts(context, before, after):
    assert context.history.num_used_attempts(has_begun=False) == before
    assert context.history.num_used_attempts(has_begun=True) == after


@given("two back ends that fail each request")
def step_all_fail(context):
    prepare(context, ["error"] * 1000)


@given("two back ends, of which one fails a request before both become unreachable")
def step_all_unreachable(context):
    prepare(context, ["error"] + ["connect"] * 100_000)


@then("the request ends within {bound_s:g} seconds, after at most {most:d} attempts")
def step_ends(context, bound_s, most):
    num_attempts = sum(len(runner.arrivals) for runner in context.fleet.runners)
    assert num_attempts <= most, num_attempts
    assert context.answer.took_s <= bound_s, context.answer.took_s
    assert context.answer.status == 500, context.answer


@given("the back ends' events have no ids")
def step_no_ids(context):
    context.numbers_events = False


@then("the caller gets each event at most once, and an answer that looks incomplete")
def step_at_most_once(context):
    events = context.answer.body.split(b"\n\n")[:-1]
    assert events and len(events) == len(set(events)), context.answer
    assert not context.answer.is_complete


@then("the caller gets the whole stream with the line ends of the back end")
def step_line_ends(context):
    assert context.answer.is_complete, context.answer
    assert context.answer.body == WHOLE_STREAM.replace(b"\n", b"\r\n"), context.answer.body


@given("no back end")
def step_none(context):
    prepare(context, None)


@given("the route of {kind} requests has a timeout of {timeout_ms:d} ms")
def step_timeout(context, kind, timeout_ms):
    for entry in context.configuration["routes"]:
        if entry["name"] == ROUTES[kind]:
            entry["timeout_ms"] = timeout_ms


@given("a retry budget of {share:g} per request and {extra:g} extra in {window_s:g} seconds")
def step_budget(context, share, extra, window_s):
    context.budget = RetryBudgetRules(share, extra, window_s)


def add_back_ends(context, fleet):
    """Add two back ends of each service, which take their faults from one list, one per attempt."""
    if context.faults is None:
        return
    faults = list(context.faults)
    for number in (1, 2):
        fleet.add_runner(
            RunnerStandIn(
                f"o-{number}", f"10.2.0.{number}:8080", "orders", model=None, faults=faults
            )
        )
        runner = RunnerStandIn(f"r-{number}", f"10.3.0.{number}:8080", "lm", faults=faults)
        runner.read_s = context.read_s or runner.read_s
        runner.probe_s = getattr(context, "probe_s", 0.0)
        runner.software = getattr(context, "software", "")
        runner.numbers_events = getattr(context, "numbers_events", True)
        fleet.add_runner(runner)


def run_with_node(context, script):
    """Run `script(node)` in a fleet of one node, in virtual time."""
    fleet = Fleet()
    if context.budget is not None:
        fleet.budget = context.budget

    context.fleet = fleet

    async def main():
        async def body():
            fleet.store.put("op/config", context.configuration)
            add_back_ends(context, fleet)
            node = await fleet.start_node()
            for runner in fleet.runners:
                node.load.request_sent(runner.instance, context.waiting_tokens, 0)
            await script(node)
            await anyio.sleep(0.3)
            context.metrics_text = node.metrics_text().decode()

        await with_fleet(fleet, body)

    run_in_virtual_time(main)


def headers_of(kind, request_id="q1", **more):
    make = generation_headers if kind in GENERATIONS else request_headers
    return make(request_id, **more)


def send(context, kind, path=None, extra=(), **more):
    leave_after_s = more.pop("leave_after_s", None)

    async def script(node):
        headers = headers_of(kind, **more) + list(extra)
        context.answer = await ask(
            node, path or PATHS[kind], headers=headers, leave_after_s=leave_after_s
        )

    run_with_node(context, script)


@when("{kind} request is sent")
def step_send(context, kind):
    send(context, kind)


@when("{kind} request is sent with a deadline of {deadline_ms:d} ms")
def step_send_deadline(context, kind, deadline_ms):
    send(context, kind, x_deadline_ms=deadline_ms)


@when("a single request of {tokens:d} prompt tokens is sent with a deadline of {deadline_ms:d} ms")
def step_send_long(context, tokens, deadline_ms):
    prompt = {"parts": f"aa:800,bb:{tokens - 800}", "tokens": f"{tokens},20"}
    send(context, "a single", x_deadline_ms=deadline_ms, **prompt)


@given("a timeout of {timeout_ms:d} ms on all routes to engines")
def step_generation_timeout(context, timeout_ms):
    context.timeout_ms = timeout_ms
    for entry in context.configuration["routes"]:
        if entry["service"] == "lm":
            entry["timeout_ms"] = timeout_ms


@when("the caller retries after the stated Retry-After")
def step_retry(context):
    assert context.answer.status == 503, context.answer
    waited_ms = 1000 * float(context.answer.header("retry-after"))
    send(context, "a single", x_deadline_ms=int(context.timeout_ms - waited_ms))


@when("{kind} request is sent and its caller disconnects after {seconds:g} seconds")
def step_send_disconnect(context, kind, seconds):
    context.disconnect_after_s = seconds
    send(context, kind, leave_after_s=seconds)


@when('{kind} request is sent with the header "{header}" of "{value}"')
def step_send_header(context, kind, header, value):
    secret = (b"x-secret", b"1")
    send(context, kind, extra=[(header.encode(), value.encode()), secret])


SYSTEM_HEADERS = (
    b"x-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from", b"x-cache-salt", b"x-kv-source",
    b"x-kv-target", b"x-tenant", b"x-request-priority", b"x-expect-instance", b"x-expect-version",
)  # fmt: skip
FORGED = b"forged"


def forge_header(name, form):
    """Return the header fields with which a caller tries to forge a header of the system."""
    forms = {
        "twice": [(name, FORGED), (name, FORGED)],
        "in upper case": [(name.upper(), FORGED)],
        "in mixed case": [(name.title(), FORGED)],
        "after all other headers": [(name, FORGED)],
        "named in the connection header": [(b"connection", name), (name, FORGED)],
        "next to a header with a similar name": [(name + b"-x", b"own"), (name, FORGED)],
        "with an empty value and then a forged one": [(name, b""), (name, FORGED)],
    }
    return forms[form]


@when("a single request is sent with each such header {form}")
def step_send_forged(context, form):
    fields = [field for name in SYSTEM_HEADERS for field in forge_header(name, form)]
    send(context, "a single", extra=[*fields, (b"x-secret", b"1")])


@then("no back end receives a forged value of them")
def step_none_forged(context):
    received = [headers for runner in context.fleet.runners for _, _, headers in runner.arrivals]
    assert received
    for headers in received:
        assert FORGED.decode() not in "".join(headers.values()), headers


@then("the request's other headers reach the back end")
def step_other_headers(context):
    received = [headers for runner in context.fleet.runners for _, _, headers in runner.arrivals]
    for headers in received:
        assert headers["x-secret"] == "1" and headers["x-model"] == "m", headers


@given("the first event of every stream takes {seconds:g} seconds")
def step_read_s(context, seconds):
    context.read_s = seconds


@when("{kind} request is sent while all registrations are removed")
def step_send_unregistered(context, kind):
    async def script(node):
        async def remove_registrations():
            await anyio.sleep(0.2)
            for runner in context.fleet.runners:
                context.fleet.store.delete(f"servers/{runner.instance}")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(remove_registrations)
            context.answer = await ask(node, PATHS[kind], headers=headers_of(kind))

    run_with_node(context, script)


@then("no run was cancelled")
def step_none_cancelled(context):
    assert not [entry for runner in context.fleet.runners for entry in runner.cancelled]


@when('{kind} request is sent to "{target}"')
def step_send_target(context, kind, target):
    send(context, kind, path=target)


@when("{count:d} status requests are sent")
def step_send_many(context, count):
    async def script(node):
        for number in range(count):
            await ask(node, PATHS["a status"], headers=headers_of("a status", f"q{number}"))
            await anyio.sleep(0.1)

    run_with_node(context, script)


def arrivals(context):
    """Return (time, request id, headers) of each request at a back end, in order of time."""
    entries = [entry for runner in context.fleet.runners for entry in runner.arrivals]
    return sorted(entries, key=lambda entry: entry[0])


def runs(context):
    all_runs = [run for runner in context.fleet.runners for run in runner.runs]
    return sorted(all_runs, key=lambda run: run.began_s)


@then('the caller gets "{answer}"')
def step_answer(context, answer):
    got = context.answer
    if answer == "whole":
        assert got.status == 200 and got.is_complete and got.body.startswith(b"done by "), got
        assert got.header("x-response-seal"), got
    elif answer == "stream":
        assert got.status == 200 and got.is_complete, got
        assert got.body == WHOLE_STREAM, got.body
        assert got.header("x-response-seal"), got
    elif answer == "cut":
        assert got.status == 200 and not got.is_complete, got
        assert WHOLE_STREAM.startswith(got.body) and got.body.endswith(b"\n\n"), got.body
    else:
        assert got.status == int(answer) and got.is_complete, got
        has_seal = got.header("x-response-seal") is not None
        assert has_seal == (answer == "500"), got


@then("the request has run {count:d} times")
def step_runs(context, count):
    assert len(runs(context)) == count, runs(context)


@then("the answer's Retry-After is at most {seconds:g} second")
def step_retry_after(context, seconds):
    assert 0.0 < float(context.answer.header("retry-after")) <= seconds


@then("the answer took at most {seconds:g} seconds")
def step_within(context, seconds):
    assert context.answer.took_s <= seconds, context.answer


@then("no back end was given a deadline of more than {left_ms:d} ms")
def step_given_deadline(context, left_ms):
    given_ms = [int(arrival[2]["x-deadline-ms"]) for arrival in arrivals(context)]
    assert given_ms and max(given_ms) <= left_ms, given_ms


@then("the second back end was asked to resume after event {number:d}")
def step_resumed_after(context, number):
    assert arrivals(context)[1][2]["last-event-id"] == str(number), arrivals(context)


@then("the answer has the headers of the back end tried first")
def step_first_headers(context):
    first = next(
        runner for runner in context.fleet.runners if arrivals(context)[0] in runner.arrivals
    )
    assert context.answer.header("x-response-seal") == f"seal-{first.instance}".encode()


@then("the run is cancelled within {seconds:g} seconds")
def step_cancelled(context, seconds):
    cancelled = [entry for runner in context.fleet.runners for entry in runner.cancelled]
    assert len(cancelled) == 1, cancelled
    assert cancelled[0][0] - arrivals(context)[0][0] <= context.disconnect_after_s + seconds


@then('the back end does not receive "{value}" in "{header}"')
def step_value_not_forwarded(context, value, header):
    assert arrivals(context)[0][2].get(header) != value, arrivals(context)[0]


@then('the back end does not receive the header "{header}"')
def step_header_not_forwarded(context, header):
    assert arrivals(context) and header not in arrivals(context)[0][2]


@then('the back end received the target "{target}" and the body')
def step_target(context, target):
    received = [entry for runner in context.fleet.runners for entry in runner.targets]
    assert received == [(target.encode(), b"hello")], received


@then("at most {count:d} of them were retried")
def step_retried(context, count):
    ids = [arrival[1] for arrival in arrivals(context)]
    assert 0 < len(ids) - len(set(ids)) <= count, len(ids) - len(set(ids))


@given("both engines have {tokens:d} prompt tokens waiting")
def step_waiting(context, tokens):
    context.waiting_tokens = tokens
