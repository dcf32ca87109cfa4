"""The demonstration: run a few hundred requests on a deployment and print a table."""

from pathlib import Path
from random import Random

import anyio
import httpx
import msgspec
from result import Err
from rich.console import Console
from rich.table import Table

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import check_deployment
from weirscale.domain.identifiers import NodeName, ZoneName
from weirscale.experiments.demo.embedded import EmbeddedDeployment, start_embedded
from weirscale.experiments.history.history import History
from weirscale.experiments.history.verdict import judge
from weirscale.experiments.report.figures import ControlCost, Figures, RunIdentity, compute_figures
from weirscale.experiments.run.callers import Callers
from weirscale.experiments.run.exchange import Connect
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.run.virtual import expected_answer
from weirscale.experiments.workload.plan import PlanSetting, make_plan
from weirscale.experiments.workload.shape import PRESETS, WorkloadShape

DEFAULT_DURATION_S = 12.0
DEFAULT_REQUESTS_PER_S = 30.0
DEFAULT_SEED = 1
MILLISECONDS_PER_S = 1000
EXIT_CLEAN = 0
EXIT_VIOLATED = 1
MAX_PRINTED_VIOLATIONS = 10


async def _run(
    deployment: Deployment, shape: WorkloadShape, duration_s: float, seed: int
) -> Figures:
    zones = tuple(zone for region in deployment.regions for zone in region.zones)
    setting = PlanSetting(tuple(tenant.name for tenant in deployment.tenants), zones)
    plan = make_plan(shape, setting, duration_s, seed)
    recorder = Recorder(anyio.current_time)
    stop = anyio.Event()
    limits = httpx.Limits(max_connections=None)
    async with (
        httpx.AsyncClient(limits=limits, timeout=None, trust_env=False) as client,
        anyio.create_task_group() as tasks,
    ):
        embedded = await start_embedded(deployment, tasks, stop, Random(seed))

        def reach(zone: ZoneName, _index: int) -> tuple[NodeName, Connect]:
            return embedded.reach(client, zone)

        await Callers(reach, recorder).send_all(plan)
        stop.set()
        for node in embedded.nodes:
            await node.stopped.wait()
        tasks.cancel_scope.cancel()
    identity = RunIdentity(deployment.name, deployment.name, seed, duration_s)
    return _figures(embedded, recorder, identity)


def _figures(embedded: EmbeddedDeployment, recorder: Recorder, identity: RunIdentity) -> Figures:
    """Check the records of callers and stand-ins, and compute the figures."""
    history = History(
        [*recorder.records, *embedded.run_records()],
        expected_answer,
        embedded.deployment.engines[0].block_size_bytes,
    )
    return compute_figures(history, judge(history), identity, ControlCost())


def _table(name: str, num_nodes: int, figures: Figures) -> Table:
    requests = figures.requests
    refusals = " ".join(f"{code}={number}" for code, number in figures.refusals.items())
    ttft = figures.ttft_seconds
    hit_rate = figures.prefix_hit_rate
    table = Table(title=f"{name}: {requests.sent} requests, {num_nodes} nodes")
    table.add_column("figure")
    table.add_column("value", justify="right")
    rows = (
        ("answered once", str(requests.answered_once)),
        ("refused as not run", f"{requests.refused_not_run} {refusals}".strip()),
        ("refused repeats of answered requests", str(requests.refused_repeats)),
        ("failed", str(requests.failed)),
        ("lost", str(requests.lost)),
        ("crossed or truncated", str(requests.crossed + requests.truncated)),
        ("doubled", str(requests.doubled)),
        ("prefix hit rate", "none" if hit_rate is None else f"{hit_rate:.3f}"),
        ("time to first token p50", _milliseconds(ttft.p50)),
        ("time to first token p95", _milliseconds(ttft.p95)),
        ("time to first token p99", _milliseconds(ttft.p99)),
    )
    for figure, value in rows:
        table.add_row(figure, value)
    return table


def _milliseconds(duration_s: float | None) -> str:
    return "none" if duration_s is None else f"{duration_s * MILLISECONDS_PER_S:.0f} ms"


def run(
    deployment_file: Path,
    preset: str,
    duration_s: float = DEFAULT_DURATION_S,
    requests_per_s: float = DEFAULT_REQUESTS_PER_S,
    seed: int = DEFAULT_SEED,
) -> int:
    """Run the demonstration and print its table.

    Returns:
        The exit code: 0 if no rule was violated and no request failed, else 1.
    """
    console = Console()
    checked = check_deployment(deployment_file.read_text())
    if isinstance(checked, Err):
        console.print(str(checked.err_value))
        return EXIT_VIOLATED
    deployment = checked.ok_value
    shape = _shape(preset, requests_per_s)
    options = {"use_uvloop": True}
    figures = anyio.run(_run, deployment, shape, duration_s, seed, backend_options=options)
    num_nodes = sum(len(region.zones) for region in deployment.regions)
    console.print(_table(deployment.name, num_nodes, figures))
    for violation in figures.violations[:MAX_PRINTED_VIOLATIONS]:
        requests = " ".join(violation.request_ids)
        console.print(f"{violation.rule}: {violation.detail} {requests}")
    is_clean = not figures.violations and not figures.requests.failed
    return EXIT_CLEAN if is_clean else EXIT_VIOLATED


def _shape(preset: str, requests_per_s: float) -> WorkloadShape:
    return msgspec.structs.replace(
        PRESETS[preset], requests_per_s=requests_per_s, leave_share=0.0, slow_share=0.0
    )
