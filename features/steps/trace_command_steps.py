"""Steps of `trace_command.feature`."""

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given, then, when

from weirscale.cli import trace

OWN_LOG = """\
  1.0 node-a time=2026-01-01T00:00:01.000Z event=configuration_taken node=node-a version=3
  1.1 node-a time=2026-01-01T00:00:01.100Z event=back_end_seen node=node-a instance=i-1
  1.2 node-a time=2026-01-01T00:00:01.200Z event=back_end_seen node=node-a instance=i-2
  9.0 node-a time=2026-01-01T00:00:09.000Z event=request_ended node=node-a id=q7 outcome=failed \
ms=500 instance=i-1 causes=i-1:no_answer
  9.9 node-a time=2026-01-01T00:00:09.900Z event=back_end_gone node=node-a instance=i-1
noise without a time
"""
OTHER_LOG = """\
time=2026-01-01T00:00:02.000Z event=back_end_suspected node=node-b instance=i-1 reason=probe
time=2026-01-01T00:00:08.800Z event=back_end_suspected node=node-b instance=i-1 reason=connect
time=2026-01-01T00:00:08.900Z event=back_end_suspected node=node-b instance=i-2 reason=connect
"""


@given("the logs of two nodes around a failed request")
def step_logs(context):
    context.logs = (OWN_LOG, OTHER_LOG)


@when('the request "{request_id}" is traced')
def step_trace(context, request_id):
    parsed = [trace.parse_line(text) for log in context.logs for text in log.splitlines()]
    lines = sorted((line for line in parsed if line), key=lambda line: line.at)
    context.entries = trace.trace(lines, request_id)


@then("the trace has these lines in order")
def step_lines(context):
    expected = [(row["role"], row["event"]) for row in context.table]
    assert [(entry.role, entry.line.event) for entry in context.entries] == expected


@when('the request "{request_id}" is traced in "{files}"')
def step_trace_files(context, request_id, files):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.log"
        path.write_text(OWN_LOG)
        paths = {"logs": [str(path)], "missing": [str(path) + ".no"], "none": []}[files]
        with contextlib.redirect_stderr(io.StringIO()) as text:
            context.code = trace.run(request_id, paths)
        context.message = text.getvalue()


@then('the exit code is {code:d} and the message contains "{remedy}"')
def step_code(context, code, remedy):
    assert context.code == code, context.code
    assert remedy in context.message and context.message.count("\n") == 1, context.message
