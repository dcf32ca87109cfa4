"""Cost of routing without the policy, by number of engines: `python -m bench.routing_cost`.

Prints, for each number of engines of one model, the time of a whole choice (mailbox, candidates,
record), of finding the candidates alone, and of taking in one load report; then the memory of one
engine and of one remembered decision.
"""

import gc
import time
import tracemalloc
from collections.abc import Sequence
from random import Random

import anyio

from weirscale.domain.choice.policy import (
    CandidateEstimate,
    Choice,
    ChoiceRequest,
    EngineCandidate,
)
from weirscale.domain.configuration.model import Deployment, Engine, Model, Region
from weirscale.domain.identifiers import (
    AdapterName,
    BlockHash,
    ConfigurationRevision,
    EngineName,
    Incarnation,
    ModelName,
    NodeName,
    RegionName,
    RequestId,
    TenantName,
    WeightVersion,
    ZoneName,
)
from weirscale.domain.request.model import GenerationRequest
from weirscale.messages.cache import LoadReport
from weirscale.messages.explain import AttemptRecord
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.backends.probe_pace import ProbeRules
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.node.routing.decisions import DecisionLog
from weirscale.node.routing.engine_router import EngineRouter
from weirscale.ports.engine import EnginePort

ENGINE_COUNTS = (6, 23, 47, 94)
NUM_CHOICES = 2000
NUM_REPORT_ROUNDS = 20
MEMORY_COUNTS = (100, 1000)
NUM_RECORDS = 512
NUM_ESTIMATES = 8
MODEL = ModelName("qalam")
ZONE = ZoneName("bole-hall")
SETTLE_S = 0.01


class FirstCandidate:
    """A policy that costs next to nothing."""

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose the first candidate."""
        return Choice(candidates[0].engine, ())

    def note_sent(self, request: ChoiceRequest, engine: EngineName, now_s: float) -> None:
        """Learn nothing."""

    def note_finished(
        self, request: ChoiceRequest, engine: EngineName, num_cached_tokens: int, now_s: float
    ) -> None:
        """Learn nothing."""


class FixedConfiguration:
    """One configuration for ever."""

    def __init__(self, deployment: Deployment) -> None:
        self._in_force = ConfigurationInForce(ConfigurationRevision(1), deployment)

    def current(self) -> ConfigurationInForce | None:
        """Return it."""
        return self._in_force

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Return it once."""
        if revision:
            await anyio.sleep_forever()
        return self._in_force


def make_no_port(declared: object) -> EnginePort:
    """Stand for a port that is never called."""
    return None  # type: ignore[return-value]


def declare(num_engines: int) -> Deployment:
    """Return a deployment of one model."""
    engines = tuple(
        Engine(EngineName(f"qalam-{index}"), ZONE, f"10.0.0.{index}:8000", MODEL)
        for index in range(num_engines)
    )
    regions = (Region(RegionName("addis"), (ZONE,)),)
    models = (Model(MODEL, WeightVersion("v1")),)
    return Deployment(1, "bench", regions, models, engines, ())


def load_report(index: int, num_running: int) -> LoadReport:
    """Return a report of one engine."""
    return LoadReport(
        engine=EngineName(f"qalam-{index}"),
        incarnation=Incarnation(1),
        model=MODEL,
        weight_version=WeightVersion("v1"),
        adapters=(),
        num_running=num_running,
        num_waiting=0,
        num_waiting_prefill_tokens=100,
        num_cached_blocks=1000,
        num_total_blocks=4096,
        is_leaving=False,
        order_token=0,
    )


def make_request(number: int) -> GenerationRequest:
    """Return a small request: hashing is measured elsewhere."""
    no_adapter: AdapterName | None = None
    return GenerationRequest(
        request_id=RequestId(f"request-{number}"),
        tenant=TenantName("bole-school"),
        model=MODEL,
        adapter=no_adapter,
        prompt=b"a caption",
        body={},
        path="/v1/completions",
        max_tokens=16,
        priority=10,
        deadline_s=float("inf"),
        repeatable=True,
        idempotency_key=None,
        streamed=True,
    )


class Bench:
    """A directory and a router whose reports are posted by hand."""

    def __init__(self, num_engines: int) -> None:
        self.num_engines = num_engines
        self.directory = BackendDirectory(
            FixedConfiguration(declare(num_engines)),
            make_no_port,
            make_no_port,  # type: ignore[arg-type]
            None,
            Random(1),
            probe_rules=ProbeRules(polls_engines=False),
        )
        self.router = EngineRouter(
            self.directory,
            FirstCandidate(),
            DecisionLog(NodeName("node-1")),
            lambda zone: 0.001,
            Random(1),
            hash_prompt=lambda seed, prompt, size: list[BlockHash](),
        )

    async def report_all(self, num_running: int) -> None:
        """Post a report of each engine and let the directory take them in."""
        for index in range(self.num_engines):
            self.directory.note_load_report(load_report(index, num_running), 0.0)
        await anyio.sleep(0.0)

    async def wait_for_reports(self, num_reports: int) -> None:
        """Wait until the directory has taken in so many reports of each engine."""
        last = EngineName(f"qalam-{self.num_engines - 1}")
        while self.directory.snapshot().engines[last].num_reports < num_reports:
            await self.directory.wait_for_change()


async def measure_times(num_engines: int) -> None:
    """Print the times for one number of engines."""
    bench = Bench(num_engines)
    requests = [make_request(number) for number in range(NUM_CHOICES)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.directory.run)
        tasks.start_soon(bench.router.run)
        await anyio.sleep(SETTLE_S)
        await bench.report_all(0)
        await anyio.sleep(SETTLE_S)
        started_s = time.perf_counter()
        for request in requests:
            await bench.router.choose(request, 0, frozenset(), None)
        choose_us = (time.perf_counter() - started_s) / NUM_CHOICES * 1e6
        started_s = time.perf_counter()
        for round_number in range(NUM_REPORT_ROUNDS):
            await bench.report_all(round_number % 5)
        await bench.wait_for_reports(NUM_REPORT_ROUNDS + 1)
        report_us = (time.perf_counter() - started_s) / NUM_REPORT_ROUNDS / num_engines * 1e6
        print(f"{num_engines} engines: choose {choose_us:.0f} us, report {report_us:.0f} us")
        tasks.cancel_scope.cancel()


async def measure_memory(num_engines: int) -> int:
    """Return the bytes that a directory and a router hold."""
    gc.collect()
    tracemalloc.start()
    bench = Bench(num_engines)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(bench.directory.run)
        tasks.start_soon(bench.router.run)
        await anyio.sleep(SETTLE_S)
        await bench.report_all(0)
        await anyio.sleep(SETTLE_S)
        await bench.router.choose(make_request(0), 0, frozenset(), None)
        gc.collect()
        num_bytes = tracemalloc.get_traced_memory()[0]
        tasks.cancel_scope.cancel()
    tracemalloc.stop()
    return num_bytes


def measure_records() -> float:
    """Return the bytes of one remembered decision."""
    gc.collect()
    tracemalloc.start()
    log = DecisionLog(NodeName("node-1"), NUM_RECORDS)
    for number in range(NUM_RECORDS):
        estimates = tuple(
            CandidateEstimate(EngineName(f"qalam-{rank}"), number + rank / 7, 3, rank / 3, rank / 9)
            for rank in range(NUM_ESTIMATES)
        )
        record = AttemptRecord(
            attempt=0,
            decided_at_s=number / 3,
            engine=EngineName("qalam-0"),
            address="10.0.0.0:8000",
            incarnation=Incarnation(1),
            weight_version=WeightVersion("v1"),
            num_candidates=94,
            num_held_out=0,
            estimates=estimates,
            num_predicted_cached_tokens=1000 + number,
            estimated_ttft_s=number / 11,
        )
        log.note_decision(make_request(number), record)
    num_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return num_bytes / NUM_RECORDS


def main() -> None:
    """Print every figure."""
    options = {"use_uvloop": True}
    for num_engines in ENGINE_COUNTS:
        anyio.run(measure_times, num_engines, backend="asyncio", backend_options=options)
    few, many = (anyio.run(measure_memory, count) for count in MEMORY_COUNTS)
    slope = (many - few) / (MEMORY_COUNTS[1] - MEMORY_COUNTS[0])
    print(f"memory of one engine: {slope:.0f} bytes")
    print(f"memory of one remembered decision: {measure_records():.0f} bytes")


if __name__ == "__main__":
    main()
