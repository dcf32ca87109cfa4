"""The demonstration: a deployment at its declared size, a few hundred requests, a table."""

from collections import Counter
from pathlib import Path
from random import Random

import anyio
import msgspec
from result import Err
from rich.console import Console
from rich.table import Table

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.configuration.parse import check_deployment
from weirscale.experiments.demo.callers import CallerResult, CallerVerdict, DemoCallers
from weirscale.experiments.demo.embedded import EmbeddedDeployment, start_embedded
from weirscale.experiments.report.figures import percentiles
from weirscale.experiments.workload.items import ServiceItem
from weirscale.experiments.workload.plan import PlanSetting, make_plan
from weirscale.experiments.workload.shape import PRESETS, WorkloadShape

DEFAULT_DURATION_S = 12.0
DEFAULT_REQUESTS_PER_S = 30.0
DEFAULT_SEED = 1
MILLISECONDS_PER_S = 1000
EXIT_CLEAN = 0
EXIT_VIOLATED = 1


async def _run(
    deployment: Deployment, shape: WorkloadShape, duration_s: float, seed: int
) -> tuple[EmbeddedDeployment, list[CallerResult]]:
    zones = tuple(zone for region in deployment.regions for zone in region.zones)
    setting = PlanSetting(tuple(tenant.name for tenant in deployment.tenants), zones)
    plan = make_plan(shape, setting, duration_s, seed)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        embedded = await start_embedded(deployment, tasks, stop, Random(seed))
        callers = DemoCallers(embedded)
        await callers.send_all(plan)
        stop.set()
        for node in embedded.nodes:
            await node.stopped.wait()
        tasks.cancel_scope.cancel()
    return embedded, callers.results


def count_doubled(embedded: EmbeddedDeployment, results: list[CallerResult]) -> int:
    """Count idempotency keys and unrepeatable requests that ran more than once."""
    unrepeatable = {
        result.item.request_id
        for result in results
        if isinstance(result.item, ServiceItem) and not result.item.repeatable
    }
    runs = [run for service in embedded.services for run in service.model.runs()]
    by_key = Counter(run.idempotency_key for run in runs if run.idempotency_key)
    by_request = Counter(run.request_id for run in runs if run.request_id in unrepeatable)
    doubled = [*by_key.values(), *by_request.values()]
    return sum(1 for num_runs in doubled if num_runs > 1)


def _table(name: str, embedded: EmbeddedDeployment, results: list[CallerResult]) -> Table:
    verdicts = Counter(result.verdict for result in results)
    refusals = Counter(
        result.detail for result in results if result.verdict is CallerVerdict.REFUSED
    )
    num_prompt_tokens = sum(result.num_prompt_tokens for result in results)
    num_cached_tokens = sum(result.num_cached_tokens for result in results)
    ttft = percentiles(result.ttft_s for result in results if result.ttft_s is not None)
    table = Table(title=f"{name}: {len(results)} requests, {len(embedded.nodes)} nodes")
    table.add_column("figure")
    table.add_column("value", justify="right")
    rows = (
        ("answered once", str(verdicts[CallerVerdict.ANSWERED])),
        ("refused", f"{verdicts[CallerVerdict.REFUSED]} {dict(refusals) or ''}"),
        ("lost", str(verdicts[CallerVerdict.LOST])),
        ("wrong or crossed", str(verdicts[CallerVerdict.WRONG])),
        ("doubled", str(count_doubled(embedded, results))),
        ("prefix hit rate", f"{num_cached_tokens / max(1, num_prompt_tokens):.3f}"),
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
        Exit code: 0 if nothing was lost, wrong or doubled.
    """
    console = Console()
    checked = check_deployment(deployment_file.read_text())
    if isinstance(checked, Err):
        console.print(str(checked.err_value))
        return EXIT_VIOLATED
    deployment = checked.ok_value
    shape = _shape(preset, requests_per_s)
    options = {"use_uvloop": True}
    embedded, results = anyio.run(
        _run, deployment, shape, duration_s, seed, backend_options=options
    )
    console.print(_table(deployment.name, embedded, results))
    bad = {CallerVerdict.LOST, CallerVerdict.WRONG}
    problems = [result for result in results if result.verdict in bad]
    for result in problems[:10]:
        console.print(f"{result.item.request_id}: {result.verdict.value}: {result.detail}")
    is_clean = not problems and count_doubled(embedded, results) == 0
    return EXIT_CLEAN if is_clean else EXIT_VIOLATED


def _shape(preset: str, requests_per_s: float) -> WorkloadShape:
    return msgspec.structs.replace(
        PRESETS[preset], requests_per_s=requests_per_s, leave_share=0.0, slow_share=0.0
    )
