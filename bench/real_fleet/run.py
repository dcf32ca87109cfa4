"""One run: start everything, send, break things, collect, judge; always end every process."""

import time
from pathlib import Path
from random import Random

import anyio
import httpx
import msgspec

from bench.real_fleet.collect import configurations_taken, internal_errors, stand_in_records
from bench.real_fleet.experiment import RealExperiment
from bench.real_fleet.faults import Injector
from bench.real_fleet.fleet import NodeStart, RealFleet, is_listening
from bench.real_fleet.layout import Layout, make_layout, stand_in_settings
from bench.real_fleet.operator_commands import OperatorCommands
from bench.real_fleet.ports import PortTaker
from bench.real_fleet.processes import ProcessSet, Usage
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import NodeName
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.records import AnyRecord
from weirscale.experiments.history.verdict import judge
from weirscale.experiments.report.figures import ControlCost, Figures, RunIdentity, work_out
from weirscale.experiments.run.callers import Callers
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.run.virtual import right_answer
from weirscale.experiments.workload.items import PlanItem
from weirscale.experiments.workload.plan import PlanSetting, make_plan
from weirscale.experiments.workload.shape import PRESETS

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
SETTLE_S = 2.0
"""Callers begin this long after the configuration is in force: probes and dumps are done then."""
BYTES_PER_MIB = 1 << 20


class RealOutcome(msgspec.Struct, frozen=True):
    """What a run gave.

    Attributes:
        history: All records, times on the monotonic clock.
        figures: Content of `report.json`.
        starts: Every start of a node, with how soon it answered.
        usages: What nodes used up to the end of the load.
    """

    history: History
    figures: Figures
    starts: tuple[NodeStart, ...]
    usages: tuple[Usage, ...]


class RealFleetRun:
    """One run; `run` is called once, on asyncio.

    Args:
        experiment: What is run.
        declared: The deployment; addresses are replaced.
        seed: Determines workload and targets; the schedule is the machine's.
        directory: Settings and logs go there.
    """

    def __init__(
        self, experiment: RealExperiment, declared: Deployment, seed: int, directory: Path
    ) -> None:
        self._experiment = experiment
        self._seed = seed
        self._random = Random(seed)
        self._directory = directory
        self._processes = ProcessSet(directory)
        taker = PortTaker(Random())
        self._layout: Layout = make_layout(declared, experiment.nodes_per_zone, taker.take)
        self._recorder = Recorder(time.monotonic)

    async def run(self) -> RealOutcome:
        """Run to the end, then judge.

        Raises:
            CommandFailedError: The fleet did not come up.
        """
        limits = httpx.Limits(max_connections=None)
        try:
            async with (
                httpx.AsyncClient(limits=limits, timeout=None, trust_env=False) as client,
                anyio.create_task_group() as tasks,
            ):
                fleet = RealFleet(
                    self._layout,
                    self._processes,
                    self._directory,
                    self._recorder,
                    client,
                    tasks,
                )
                outcome = await self._run_fleet(client, fleet)
                tasks.cancel_scope.cancel()
        finally:
            self._processes.end_all()
        return outcome

    async def _run_fleet(self, client: httpx.AsyncClient, fleet: RealFleet) -> RealOutcome:
        operator = OperatorCommands(self._layout, self._processes, self._directory, self._recorder)
        injector = Injector(
            self._layout, fleet, operator, self._recorder, client, Random(self._seed)
        )
        await self._start_stand_ins(client)
        await injector.list_machines()
        for place in self._layout.nodes:
            fleet.start(place.name)
        await operator.apply(self._layout.deployment)
        await operator.wait_in_force()
        await anyio.sleep(SETTLE_S)
        callers = Callers(fleet.reach, self._recorder)
        async with anyio.create_task_group() as tasks:
            injector.start(tasks, self._experiment.faults)
            await callers.send_all(self._plan())
        usages = self._usages()
        await fleet.stop_all()
        records = await stand_in_records(client, self._layout)
        return self._outcome(fleet, injector, records, usages)

    async def _start_stand_ins(self, client: httpx.AsyncClient) -> None:
        for place in self._layout.stand_ins:
            file = self._directory / f"{place.name}.yaml"
            file.write_bytes(msgspec.json.encode(stand_in_settings(place)))
            self._processes.start(place.name, ["stand_in", place.kind, f"--settings={file}"])
        with anyio.fail_after(READY_TIMEOUT_S):
            for place in self._layout.stand_ins:
                for port in filter(None, (place.port, place.admin_port)):
                    await _wait_until_listening(port)

    def _plan(self) -> tuple[PlanItem, ...]:
        deployment = self._layout.deployment
        shape = msgspec.structs.replace(
            PRESETS[self._experiment.workload], requests_per_s=self._experiment.requests_per_s
        )
        setting = PlanSetting(
            tuple(tenant.name for tenant in deployment.tenants), self._layout.zones
        )
        return tuple(make_plan(shape, setting, self._experiment.duration_s, self._seed))

    def _usages(self) -> tuple[Usage, ...]:
        nodes = {place.name for place in self._layout.nodes}
        usages = (one.usage() for one in self._processes.started if one.name in nodes)
        return tuple(usage for usage in usages if usage is not None)

    def _outcome(
        self,
        fleet: RealFleet,
        injector: Injector,
        run_records: list[AnyRecord],
        usages: tuple[Usage, ...],
    ) -> RealOutcome:
        offset_s = time.time() - time.monotonic()
        errors: list[Exception] = []
        nodes = {place.name for place in self._layout.nodes}
        for process in self._processes.started:
            lines = process.log_file.read_text(errors="replace").splitlines()
            if process.name in nodes:
                name = NodeName(process.name)
                run_records.extend(configurations_taken(name, lines, offset_s))
                errors.extend(internal_errors(lines))
        history = History(
            [*self._recorder.records, *run_records],
            right_answer,
            self._layout.deployment.engines[0].block_size_bytes,
        )
        identity = RunIdentity(
            name=self._experiment.name,
            deployment=self._layout.deployment.name,
            policy="default",
            seed=self._seed,
            duration_s=self._experiment.duration_s,
        )
        figures = work_out(history, judge(history), identity, _control(usages), errors)
        own: tuple[Violation, ...] = (*fleet.violations, *injector.violations)
        figures = msgspec.structs.replace(figures, violations=(*figures.violations, *own))
        return RealOutcome(history, figures, tuple(fleet.starts), usages)


def _control(usages: tuple[Usage, ...]) -> ControlCost:
    """Return the mean use of nodes, the load's cost included."""
    if not usages:
        return ControlCost()
    num_nodes = len(usages)
    return ControlCost(
        core_share=sum(one.core_share for one in usages) / num_nodes,
        resident_bytes=sum(one.resident_mib for one in usages) * BYTES_PER_MIB / num_nodes,
    )


async def _wait_until_listening(port: int) -> None:
    while True:
        if await is_listening(port):
            return
        await anyio.sleep(READY_POLL_S)
