import tempfile
from pathlib import Path

import httpx
import msgspec
from behave import given, then, when
from result import Err, Ok

from features.support.history_cases import BLOCK_SIZE_BYTES, CAPTION, CASES, change
from features.support.virtual_time import run_in_virtual_time
from weirscale.experiments.history.history import History
from weirscale.experiments.history.verdict import judge
from weirscale.experiments.report.figures import ControlCost, Figures, RunIdentity, compute_figures
from weirscale.experiments.report.files import REPORT_FILE, write_report
from weirscale.experiments.run.answers import (
    ReceivedBody,
    ReceivedEnd,
    ReceivedRefusal,
    ReceivedText,
    read_answer,
)
from weirscale.experiments.run.exchange import HttpRequest
from weirscale.experiments.run.http_exchange import HttpExchange
from weirscale.experiments.run.load import check_experiment, workload_shape
from weirscale.standins.engine.answer import expected_text

FILE = """format: 1
name: store-down
deployment: ../deployments/tsehay.yaml
workload:
  preset: yearbook
duration_s: 60
seed: 1
faults:
  - kind: store_down
    at_s: 5
    lasts_s: 3
"""
IDENTITY = RunIdentity("run", "tsehay", 1, 60.0)
TOLERANCE = 0.01
EVENT_STREAM = {"content-type": "text/event-stream"}
FIRST_EVENT = b'data: {"id": "a", "choices": [{"delta": {"content": "abcd"}}]}\n\n'
LAST_EVENT = (
    b'data: {"id": "a", "choices": [{"delta": {"content": "efgh"}, "finish_reason": "length"}]}'
    b"\n\ndata: [DONE]"
)


def figures_of(history):
    return compute_figures(history, judge(history), IDENTITY, ControlCost())


@given('an experiment file with faults "{faults}"')
def step_file_with_faults(context, faults):
    head = FILE.split("faults:")[0]
    words = [fault.split() for fault in faults.split(", ")]
    lines = [
        f"  - {{kind: {kind}, at_s: {at}, lasts_s: {lasts}}}\n" for kind, _, at, _, lasts in words
    ]
    context.experiment_text = head + "faults:\n" + "".join(lines)


@given('an experiment file in which "{before}" is replaced by "{after}"')
def step_file_with_error(context, before, after):
    assert before in FILE
    context.experiment_text = FILE.replace(before, after)


class CutStream(httpx.AsyncByteStream):
    async def __aiter__(self):
        yield FIRST_EVENT
        raise httpx.ReadError("connection reset")


def respond(answer):
    if answer == "no connection":
        raise httpx.ConnectError("connection refused")
    events = {
        "a whole stream": FIRST_EVENT + LAST_EVENT,
        "a stream and error": FIRST_EVENT + b"data: " + error_of("stream_broken", "unknown"),
    }
    if answer == "a cut stream":
        return httpx.Response(200, headers=EVENT_STREAM, stream=CutStream())
    if answer in events:
        return httpx.Response(200, headers=EVENT_STREAM, content=events[answer] + b"\n\n")
    if answer == "a refusal":
        return httpx.Response(503, content=error_of("overloaded", "not_run"))
    return httpx.Response(200, content=b"done")


def error_of(code, run_status):
    return msgspec.json.encode({"error": {"code": code, "run_status": run_status}})


def describe(received, was_connected):
    match received:
        case ReceivedText():
            return f"text {received.text}"
        case ReceivedEnd():
            return f"end {received.finish_reason}"
        case ReceivedRefusal():
            return f"refusal {received.code.value} {received.run_status.value}"
        case ReceivedBody():
            return f"body {received.status} {received.body.decode()}"
        case _:
            return "break " + ("connected" if was_connected else "unconnected")


async def read_over_http(answer):
    transport = httpx.MockTransport(lambda request: respond(answer))
    request = HttpRequest("POST", "/v1/chat/completions", "", (), b"{}")
    async with httpx.AsyncClient(transport=transport) as client:
        exchange = HttpExchange(client, "127.0.0.1:1", request)
        received = [event async for event in read_answer(exchange)]
        await exchange.disconnect()
    return ", ".join(describe(event, exchange.was_connected) for event in received)


@given('a server that answers "{answer}"')
def step_server(context, answer):
    context.server_answer = answer


@when("a caller reads the answer over HTTP")
def step_read_http(context):
    context.received = run_in_virtual_time(read_over_http, context.server_answer)


@then('the caller has received "{received}"')
def step_received(context, received):
    assert context.received == received, context.received


@when("the experiment file is checked")
def step_check(context):
    context.checked = check_experiment(context.experiment_text)


@then("the experiment file is accepted")
def step_accepted(context):
    assert isinstance(context.checked, Ok), context.checked


@then(
    "the experiment's workload shifts its hot set at {at:g} s with twice the rate for {lasts:g} s"
)
def step_shift(context, at, lasts):
    shape = workload_shape(context.checked.ok_value)
    assert shape.hot_shifts_at_s == (at,)
    bursts = [(burst.at_s, burst.lasts_s, burst.factor) for burst in shape.bursts]
    assert bursts == [(at, lasts, 2.0)]


@then('the experiment file has one error at line {line:d} for "{field}" with remedy "{remedy}"')
def step_error(context, line, field, remedy):
    assert isinstance(context.checked, Err)
    (error,) = context.checked.err_value
    assert (error.line, error.path) == (line, field), error
    assert error.remedy.startswith(remedy), error.remedy


@given('the recorded history "{name}" whose caption was due to be sent {early:g} s earlier')
def step_early(context, name, early):
    early_caption = change(CAPTION, intended_at_s=CAPTION.intended_at_s - early)
    records = [early_caption if record is CAPTION else record for record in CASES[name]]
    context.history = History(
        records, lambda sent: expected_text(sent.prompt, sent.max_tokens), BLOCK_SIZE_BYTES
    )


@when("its report figures are computed")
def step_figures(context):
    context.figures = figures_of(context.history)


@then("the report's time to first token is {ttft:g} s and its hit rate is {hit_rate:g}")
def step_measures(context, ttft, hit_rate):
    assert abs(context.figures.ttft_seconds.p99 - ttft) < TOLERANCE, context.figures
    assert abs(context.figures.prefix_hit_rate - hit_rate) < TOLERANCE, context.figures


@then("the report's recomputed tokens ratio is {ratio:g}")
def step_ratio(context, ratio):
    assert abs(context.figures.recomputed_tokens_ratio - ratio) < TOLERANCE, context.figures


@then("the report has the agreed keys and reads back equal")
def step_keys(context):
    with tempfile.TemporaryDirectory() as folder:
        directory = Path(folder)
        write_report(directory, context.figures)
        written = (directory / REPORT_FILE).read_bytes()
        report = msgspec.json.decode(written)
        assert msgspec.json.decode(written, type=Figures) == context.figures
    requests = "sent answered_once refused_not_run failed lost doubled crossed truncated"
    assert {*requests.split(), "false_not_run"} <= set(report["requests"])
    assert {"p50", "p95", "p99"} <= set(report["ttft_seconds"])
    assert "p95" in report["inter_token_seconds"]
    assert "p99" in report["configuration_in_force_seconds"]
    assert {"core_share", "resident_bytes", "bytes_per_second"} == set(report["control"])
    keys = {"prefix_hit_rate", "recomputed_tokens_ratio", "violations", "seed"}
    assert keys <= set(report)
