from random import Random

import anyio
import msgspec
from behave import given, then, when
from result import Err, Ok

from features.support.served_stand_ins import serve_engine
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.identifiers import Incarnation
from weirscale.messages.cache import LoadReport
from weirscale.messages.digest import LoadSummary
from weirscale.ports.engine import ChangeRole, EngineOrder, LoadModel
from weirscale.ports.engine_http import HttpEngine
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings

RUN = Incarnation(3)
SETTINGS = EngineSettings(
    name="qalam-1", model="qalam", weight_version="v1", load_report_interval_s=0.001
)


class DelayedWeights:
    """A weight source that answers once `release` is set."""

    def __init__(self, answer):
        self.release = anyio.Event()
        self._answer = answer

    async def fetch(self, engine, load, num_bytes):
        await self.release.wait()
        return self._answer


def run_engine(port_kind, scenario, weights=None):
    async def main():
        source = weights and weights()
        engine = InProcessEngine(SETTINGS, Random(5), incarnation=RUN, weight_source=source)
        async with anyio.create_task_group() as tasks:
            if port_kind == "HTTP":
                server = await tasks.start(serve_engine, engine)
                port = HttpEngine(server.address)
                result = await scenario(engine, port, source)
                await port.aclose()
            else:
                tasks.start_soon(engine.run)
                result = await scenario(engine, engine, source)
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(main) if port_kind == "HTTP" else run_in_virtual_time(main)


@given('an engine in run 3 behind the "{port}" port')
def step_engine(context, port):
    context.port = port


@when("a role order with token 9 for run {run} is given and then one with token 5 for run 3")
def step_role_orders(context, run):
    expected = None if run == "any" else Incarnation(int(run))

    async def send_orders(engine, port, source):
        orders = [
            EngineOrder(9, ChangeRole("decode"), expected),
            EngineOrder(5, ChangeRole("prefill"), RUN),
        ]
        answers = [await port.order(order) for order in orders]
        return answers, engine.model.role

    context.answers, context.role = run_engine(context.port, send_orders)


@then("the answers are {first} and {second} and the role is {role}")
def step_answers(context, first, second, role):
    kinds = [
        "accepted" if answer.is_ok() else answer.err_value.kind.value for answer in context.answers
    ]
    assert (kinds, context.role) == ([first, second], role), (kinds, context.role)


@when("a load with token 4 is ordered that {ends}")
def step_load(context, ends):
    answer = Ok(None) if ends == "succeeds" else Err("no such version")

    async def load(engine, port, source):
        assert (await port.order(EngineOrder(4, LoadModel("qalam", "v2"), RUN))).is_ok()
        during_load = await next_report(port, lambda report: report.model is None)
        source.release.set()
        after = await next_report(port, lambda report: report.loading_token == 0)
        return during_load, after

    context.reports = run_engine(context.port, load, lambda: DelayedWeights(answer))


async def next_report(port, is_expected):
    while True:
        report = (await port.load()).ok_value
        if is_expected(report):
            return report
        await anyio.sleep(SETTINGS.load_report_interval_s)


@then(
    "the report says loading 4 and failed 0 during the load, and loading 0 and failed {failed:d} after it"
)
def step_reports(context, failed):
    tokens = [(report.loading_token, report.failed_load_token) for report in context.reports]
    assert tokens == [(4, 0), (0, failed)], tokens
    assert [report.role for report in context.reports] == ["both", "both"]


LATER_FIELDS = ("role", "loading_token", "failed_load_token")


@when("a load report without role and load tokens is decoded")
def step_old_report(context):
    report = LoadReport("qalam-1", 1, "qalam", "v1", (), 0, 0, 0, 0, 9, False, 4, "decode", 3, 2)
    fields = msgspec.to_builtins(report)
    for name in LATER_FIELDS:
        del fields[name]
    context.whole = report
    context.report = msgspec.convert(fields, LoadReport)


@then("its role is unknown and it reports no load")
def step_no_role(context):
    assert [getattr(context.report, name) for name in LATER_FIELDS] == [None, 0, 0]


@then("a load summary without them is decoded too")
def step_old_summary(context):
    summary = LoadSummary.of(context.whole, 1.0)
    identity = ("qalam-1", 1, "qalam", "v1")
    assert summary.report(*identity) == context.whole
    fields = msgspec.to_builtins(summary)[: -len(LATER_FIELDS)]
    assert msgspec.convert(fields, LoadSummary).report(*identity) == context.report
