"""Runs one experiment against real processes: nodes and stand-ins that are running already.

Callers reach the nodes by HTTP; faults of engines and services are switched on, and their records
read, over the stand-ins' admin ports. All processes stand on one machine, whose monotonic clock
the records share.
"""

from collections.abc import Sequence
from random import Random

import anyio
import httpx
import msgspec

from weirscale.domain.identifiers import NodeName, ZoneName
from weirscale.experiments.faults.injector import CROSSED_ENGINE_FAULTS, EVENT_LOSS
from weirscale.experiments.faults.kinds import FaultKind, PlannedFault
from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import AnyRecord
from weirscale.experiments.history.verdict import judge
from weirscale.experiments.report.figures import ControlCost, work_out
from weirscale.experiments.run.callers import Callers
from weirscale.experiments.run.exchange import Connect, HttpRequest
from weirscale.experiments.run.experiment import RealNode, RealStandIn
from weirscale.experiments.run.http_exchange import HttpExchange
from weirscale.experiments.run.load import LoadedExperiment
from weirscale.experiments.run.platform import engine_run, service_run
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.run.virtual import RunOutcome, identity_of, plan_of, right_answer
from weirscale.standins.engine.ledger import RunRecord
from weirscale.standins.faults import EngineFaults
from weirscale.standins.service.model import ServiceRun

ADMIN_TIMEOUT_S = 10.0


class RealRun:
    """One run; `run` is called once, on asyncio.

    Args:
        loaded: The experiment, with its `real` section.
        seed: Replaces the experiment's seed.
    """

    def __init__(self, loaded: LoadedExperiment, seed: int) -> None:
        self._loaded = loaded
        self._seed = seed
        self._random = Random(seed)
        self._engines = [one for one in loaded.experiment.real.stand_ins if one.is_engine]

    async def run(self) -> RunOutcome:
        """Send the plan, inject faults, then read the stand-ins' records and judge."""
        recorder = Recorder(anyio.current_time)
        limits = httpx.Limits(max_connections=None)
        async with httpx.AsyncClient(limits=limits, timeout=None, trust_env=False) as client:
            async with anyio.create_task_group() as tasks:
                for fault in self._loaded.experiment.faults:
                    tasks.start_soon(self._inject, client, fault)
                await Callers(_Reach(client, self._loaded).reach, recorder).send_all(
                    plan_of(self._loaded, self._seed)
                )
                tasks.cancel_scope.cancel()
            for stand_in in self._loaded.experiment.real.stand_ins:
                recorder.records.extend(await _records_of(client, stand_in))
        return self._outcome(recorder)

    async def _inject(self, client: httpx.AsyncClient, fault: PlannedFault) -> None:
        await anyio.sleep(fault.at_s)
        engine = self._random.choice(self._engines)
        if fault.kind is FaultKind.ENGINE_CRASH:
            await client.post(f"http://{engine.admin_address}/actions/crash")
            return
        is_event_loss = fault.kind is FaultKind.EVENT_LOSS
        faults = EVENT_LOSS if is_event_loss else self._random.choice(CROSSED_ENGINE_FAULTS)
        struck = self._engines if is_event_loss else [engine]
        await _set_faults(client, struck, faults)
        await anyio.sleep(fault.lasts_s)
        await _set_faults(client, struck, EngineFaults())

    def _outcome(self, recorder: Recorder) -> RunOutcome:
        block_size_bytes = self._loaded.deployment.engines[0].block_size_bytes
        history = History(recorder.records, right_answer, block_size_bytes)
        identity = identity_of(self._loaded, self._seed)
        figures = work_out(history, judge(history), identity, ControlCost())
        return RunOutcome(history, figures, self._loaded.experiment.faults)


class _Reach:
    """Finds nodes for callers: those of the caller's zone, or all where it has none."""

    def __init__(self, client: httpx.AsyncClient, loaded: LoadedExperiment) -> None:
        self._client = client
        self._nodes = loaded.experiment.real.nodes

    def reach(self, zone: ZoneName, index: int) -> tuple[NodeName, Connect]:
        """Return a node's address as its name, and how to connect to it."""
        near: Sequence[RealNode] = [node for node in self._nodes if node.zone == zone]
        nodes = near or self._nodes
        address = nodes[index % len(nodes)].address

        def connect(request: HttpRequest) -> HttpExchange:
            return HttpExchange(self._client, address, request)

        return NodeName(address), connect


async def _set_faults(
    client: httpx.AsyncClient, engines: Sequence[RealStandIn], faults: EngineFaults
) -> None:
    for engine in engines:
        url = f"http://{engine.admin_address}/faults"
        await client.put(url, content=msgspec.json.encode(faults), timeout=ADMIN_TIMEOUT_S)


async def _records_of(client: httpx.AsyncClient, stand_in: RealStandIn) -> list[AnyRecord]:
    url = f"http://{stand_in.admin_address}/records"
    response = await client.get(url, timeout=ADMIN_TIMEOUT_S)
    if stand_in.is_engine:
        return [
            engine_run(run) for run in msgspec.json.decode(response.content, type=list[RunRecord])
        ]
    runs = msgspec.json.decode(response.content, type=list[ServiceRun])
    return [service_run(run) for run in runs]


def run_against_processes(run: RealRun) -> RunOutcome:
    """Run on asyncio, in real time."""
    return anyio.run(run.run)
