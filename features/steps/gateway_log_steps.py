"""Steps of `gateway_log.feature`."""

import fcntl
import os
import re
import signal
from pathlib import Path

import anyio
from behave import given, then, when

from features.steps.gateway_requests_steps import (
    PATHS,
    headers_of,
    prepare,
    run_with_node,
    send,
)
from features.support.platform_fleet import Fleet, ask, configuration, with_fleet
from features.support.virtual_time import run_in_virtual_time
from weirscale.gateway.quarantine.fingerprint import read_fingerprint
from weirscale.gateway.telemetry.line_log import MAX_QUEUED_LINES, LineLog

ROOT = Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "src" / "weirscale" / "gateway"
PAGE = ROOT / "docs" / "OPERATIONS.md"
PIPE_BYTES = 4096
BLOCKED_AFTER_S = 60
EVENT_CALL = re.compile(r"\.event\(\s*\"(\w+)\"")
CHOSEN_EVENT = re.compile(r"\"(back_end_\w+)\" if ")
METRIC_NAME = re.compile(r"\"(weirscale_\w+)\"")


def make_log(context):
    context.reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    os.set_blocking(writer, False)
    os.set_blocking(context.reader, False)
    context.log = LineLog(writer, node="n")
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.log_text = b""


def log_event(log, name, **fields):
    """Log an event as `LineLog.event` does, without the process-wide destinations of eliot."""
    if log._may_log(name, fields.get("outcome")):
        log.take_message({"message_type": name, "timestamp": 0.0, **fields})
    else:
        log.num_dropped += 1


def read_all(context):
    while True:
        try:
            block = os.read(context.reader, 65536)
        except BlockingIOError:
            return
        if not block:
            return
        context.log_text += block


def flush(context):
    for _ in range(1000):
        context.log.flush()
        read_all(context)


@given("a line log on a pipe that is not read")
@given("a line log on a pipe that is read")
def step_log(context):
    make_log(context)


@when("{count:d} events are logged in bursts, with flushes between")
def step_bursts(context, count):
    context.num_events = count
    # If a write to the full pipe blocked, it would wait forever, since the pipe is not read.
    signal.alarm(BLOCKED_AFTER_S)
    for number in range(count):
        log_event(context.log, "back_end_gone", instance=f"i-{number}")
        if number % 100 == 0:
            context.log.flush()
    signal.alarm(0)
    context.has_ended = True


@then("no call blocked, and at most {count:d} lines wait")
def step_not_blocked(context, count):
    assert context.has_ended
    assert len(context.log._lines) <= count == MAX_QUEUED_LINES


@then("the dropped lines are counted")
def step_counted(context):
    waiting = len(context.log._lines)
    assert 0 < context.num_events - waiting - context.log.num_dropped <= MAX_QUEUED_LINES
    assert context.log.num_dropped > 0


@when("{successes:d} successes and {failures:d} failures are logged at once")
def step_mixed(context, successes, failures):
    context.num_failures = failures
    for number in range(successes):
        log_event(context.log, "request_ended", id=f"s{number}", outcome="answered")
    for number in range(failures):
        log_event(context.log, "request_ended", id=f"f{number}", outcome="failed")
    flush(context)


@then("all failures are written and some successes are not")
def step_failures(context):
    lines = context.log_text.decode().splitlines()
    failures = [line for line in lines if "outcome=failed" in line]
    successes = [line for line in lines if "outcome=answered" in line]
    assert len(failures) == context.num_failures, len(failures)
    assert 0 < len(successes) < 1000 and context.log.num_dropped == 1000 - len(successes)


@when("the log is flushed as its task does")
def step_task_flush(context):
    context.logged = []
    context.log.event = lambda name, **fields: context.logged.append((name, fields))
    context.log._log_dropped()
    context.log._log_dropped()


@then("one line states how many lines were dropped")
def step_dropped_logged(context):
    assert context.logged == [("log_lines_dropped", {"total": context.log.num_dropped})]


def request_line(context):
    lines = context.fleet.logs["node-1"].named("request_ended")
    assert len(lines) == 1, lines
    return lines[0]


@then('the request\'s log line has the outcome "{outcome}" and a cause with "{cause}"')
def step_line(context, outcome, cause):
    line = request_line(context)
    assert line["outcome"] == outcome and cause in line["causes"], line


@then('the request\'s log line has the outcome "{outcome}" and a cause with ""')
def step_line_no_cause(context, outcome):
    line = request_line(context)
    assert line["outcome"] == outcome and "causes" not in line, line


@then("the request's log line has the request's fingerprint")
def step_line_fingerprint(context):
    line = request_line(context)
    assert read_fingerprint(line["request"]) is not None, line


@given('two back ends of one version of which the one asked first does "break" once')
def step_one_version(context):
    prepare(context, ["break"])
    context.software = "v1"


@when("a resumable request is sent that breaks off and goes on")
def step_send_broken(context):
    send(context, "a resumable")


@when('a resumable request is sent that takes up the stream of "{try_id}" after event {event:d}')
def step_send_taking_up(context, try_id, event):
    extra = [(b"resumes", try_id.encode()), (b"last-event-id", str(event).encode())]
    send(context, "a resumable", extra=extra)


@then('the request\'s log line has "{first}" and "{second}"')
def step_line_has(context, first, second):
    line = request_line(context)
    for field in (first, second):
        name, _, value = field.partition("=")
        assert line[name] == value, line


@then("the operators' page has the name of each field of the request's log line")
def step_fields(context):
    page = PAGE.read_text()
    missing = [name for name in request_line(context) if f"`{name}`" not in page]
    assert not missing, missing


@given("the source files of the gateway")
def step_gateway_files(context):
    context.sources = [file.read_text() for file in GATEWAY.rglob("*.py")]


@then("the operators' page has the name of each event that they log")
def step_events_documented(context):
    page = PAGE.read_text()
    names = {
        name
        for source in context.sources
        for pattern in (EVENT_CALL, CHOSEN_EVENT)
        for name in pattern.findall(source)
    }
    assert len(names) > 10, names
    undocumented = [name for name in sorted(names) if f"`{name}`" not in page]
    assert not undocumented, undocumented


@then("the operators' page has the name of each metric that they define")
def step_metrics_documented(context):
    page = PAGE.read_text()
    source = (GATEWAY / "telemetry" / "metrics.py").read_text()
    names = METRIC_NAME.findall(source)
    assert len(names) > 5
    assert not [name for name in names if f"`{name}`" not in page]


@then("the metrics count {count:d} streaming request that was answered")
def step_metrics(context, count):
    expected = f'weirscale_requests_total{{kind="streaming",outcome="answered"}} {count}.0'
    assert expected in context.metrics_text, context.metrics_text


@when("a single request is sent and the choice of a back end raises a ZeroDivisionError")
def step_internal_error(context):
    def fail(*_):
        raise ZeroDivisionError

    async def script(node):
        node.context.selector.choose = fail
        try:
            await ask(node, PATHS["a single"], headers=headers_of("a single"))
        except ExceptionGroup as error:
            assert error.subgroup(ZeroDivisionError), error

    run_with_node(context, script)


@then('the metrics count {count:d} body that was framed by "{framing}" and ended "{end}"')
def step_body_metrics(context, count, framing, end):
    labels = f'{{end="{end}",framing="{framing}"}}'
    expected = f"weirscale_answer_bodies_total{labels} {count}.0"
    assert expected in context.metrics_text, context.metrics_text


@given("a gateway whose store is down for a while after the start")
def step_store_down(context):
    fleet = Fleet()

    async def body():
        fleet.store.put("op/config", configuration())
        node = await fleet.start_node()
        await anyio.sleep(3.0)
        fleet.store.put("op/config", configuration(2))
        await anyio.sleep(1.0)
        fleet.store.is_down = True
        fleet.store.cut_watches()
        await anyio.sleep(3.0)
        context.metrics = node.metrics_text().decode()

    run_in_virtual_time(lambda: with_fleet(fleet, body))


@then('the metrics count calls "{first}" and "{second}" that succeeded, and some that failed')
def step_store_calls(context, first, second):
    lines = [
        line
        for line in context.metrics.splitlines()
        if line.startswith("weirscale_store_calls_total")
    ]
    for kind in (first, second):
        assert any(f'kind="{kind}",result="ok"' in line for line in lines), lines
    assert any('result="unreachable"' in line for line in lines), lines
