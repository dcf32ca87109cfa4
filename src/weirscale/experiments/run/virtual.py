"""Runs an experiment: a whole fleet in a single process, in virtual time."""

from collections.abc import Callable, Sequence
from random import Random

import anyio
import msgspec

from weirscale.experiments.faults.injector import Injector
from weirscale.experiments.faults.kinds import PlannedFault
from weirscale.experiments.faults.world import World
from weirscale.experiments.history.history import Bounds, History
from weirscale.experiments.history.records import GenerationSent
from weirscale.experiments.history.verdict import judge
from weirscale.experiments.memory_network import LinkQuality, MemoryNetwork
from weirscale.experiments.report.figures import ControlCost, Figures, RunIdentity, compute_figures
from weirscale.experiments.run.callers import Callers
from weirscale.experiments.run.fleet import Fleet
from weirscale.experiments.run.links import ZONE_DELAY_S
from weirscale.experiments.run.load import LoadedExperiment
from weirscale.experiments.run.node_factory import ProductNodes
from weirscale.experiments.run.node_process import NodeFactory
from weirscale.experiments.run.operator import Operator
from weirscale.experiments.run.platform import Platform
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.virtual_time import run_in_virtual_time
from weirscale.experiments.workload.items import PlanItem
from weirscale.experiments.workload.plan import PlanSetting, make_plan
from weirscale.ports.event_log import EventLog, SilentEventLog
from weirscale.standins.engine.answer import expected_text

SETTLE_S = 3.0
"""Delay between the start of the nodes and the first requests.

The nodes have received their configuration by then.
"""
LEAVING_BOUND_S = 2.0
"""Time for nodes to stop sending new work once the machine list shows that a back end leaves."""
MEASURING_SLACK_S = 0.5
"""Tolerance added to `LEAVING_BOUND_S`, for polling and for requests in flight."""

Progress = Callable[[int, int, float], None]
"""Called with the ended requests, the planned requests and the elapsed virtual seconds."""
PROGRESS_INTERVAL_S = 1.0

MakeFactory = Callable[[Platform, Fleet, Recorder, Random], NodeFactory]


class RunOutcome(msgspec.Struct, frozen=True):
    """The history and the figures of a run.

    Attributes:
        history: All records, with times of the virtual clock, which starts at 0.
        figures: The figures of the report.
        faults: The injected faults, with times of the virtual clock.
    """

    history: History
    figures: Figures
    faults: tuple[PlannedFault, ...]


class VirtualRun:
    """A run of an experiment; `run` must be called only once.

    Attributes:
        seed: Seed of all random choices.

    Args:
        loaded: The experiment.
        seed: Overrides the experiment's seed.
        event_log: Receives the log events of all nodes; None discards them.
        make_factory: Creates the factory of nodes; None uses real nodes.
        progress: Called once per second of virtual time.
    """

    def __init__(
        self,
        loaded: LoadedExperiment,
        seed: int,
        event_log: EventLog | None = None,
        make_factory: MakeFactory | None = None,
        progress: Progress | None = None,
    ) -> None:
        self._loaded = loaded
        self.seed = seed
        self._event_log = event_log or SilentEventLog()
        self._make_factory = make_factory or self._product_factory
        self._progress = progress
        self._random = Random(seed)
        self._faults_on_clock: tuple[PlannedFault, ...] = ()

    async def run(self) -> RunOutcome:
        """Run the experiment to its end and judge its history."""
        experiment = self._loaded.experiment
        deployment = self._loaded.deployment
        platform = Platform(deployment, experiment.engines, self._fork())
        recorder = Recorder(anyio.current_time)
        async with anyio.create_task_group() as tasks:
            network = MemoryNetwork(tasks, self._fork(), LinkQuality(delay_s=ZONE_DELAY_S))
            fleet = Fleet(tasks, platform.zones, experiment.nodes_per_zone, network, recorder)
            fleet.use_factory(self._make_factory(platform, fleet, recorder, self._fork()))
            operator = Operator(platform.store, recorder, self._fork())
            world = World(platform, fleet, network, operator, recorder)
            platform.start(tasks)
            await operator.declare(deployment)
            for place in fleet.places:
                fleet.start(place.name)
            await anyio.sleep(SETTLE_S)
            self._faults_on_clock = _shift_times(experiment.faults, anyio.current_time())
            Injector(world, self._fork()).start(tasks, self._faults_on_clock)
            await self._send_all(Callers(fleet.find_node, recorder))
            tasks.cancel_scope.cancel()
        return self._outcome(platform, fleet, recorder)

    def _fork(self) -> Random:
        """Return a separate generator, so that random choices of one part do not affect another."""
        return Random(self._random.getrandbits(64))

    def _product_factory(
        self, platform: Platform, fleet: Fleet, recorder: Recorder, random: Random
    ) -> NodeFactory:
        return ProductNodes(platform, fleet, recorder, random, self._event_log).make

    async def _send_all(self, callers: Callers) -> None:
        plan = plan_of(self._loaded, self.seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_progress, callers, len(plan))
            await callers.send_all(plan)
            tasks.cancel_scope.cancel()

    async def _report_progress(self, callers: Callers, num_planned: int) -> None:
        start_s = anyio.current_time()
        while self._progress is not None:
            self._progress(callers.num_ended, num_planned, anyio.current_time() - start_s)
            await anyio.sleep(PROGRESS_INTERVAL_S)

    def _outcome(self, platform: Platform, fleet: Fleet, recorder: Recorder) -> RunOutcome:
        lag_s = platform.machines.faults.lag_s
        history = History(
            [*recorder.records, *platform.run_records()],
            expected_answer,
            self._loaded.deployment.engines[0].block_size_bytes,
            Bounds(leaving_s=lag_s + LEAVING_BOUND_S + MEASURING_SLACK_S),
            is_kv_kept=platform.has_imported_kv,
        )
        identity = run_identity(self._loaded, self.seed)
        node_seconds = len(fleet.places) * anyio.current_time()
        control = ControlCost(bytes_per_second=fleet.num_peer_bytes / node_seconds)
        figures = compute_figures(history, judge(history), identity, control, fleet.failures)
        return RunOutcome(history, figures, self._faults_on_clock)


def plan_of(loaded: LoadedExperiment, seed: int) -> Sequence[PlanItem]:
    """Return the requests that the callers of an experiment send."""
    deployment = loaded.deployment
    setting = PlanSetting(
        tenants=tuple(tenant.name for tenant in deployment.tenants),
        zones=tuple(zone for region in deployment.regions for zone in region.zones),
    )
    return make_plan(loaded.shape, setting, loaded.experiment.duration_s, seed)


def _shift_times(faults: tuple[PlannedFault, ...], by_s: float) -> tuple[PlannedFault, ...]:
    return tuple(msgspec.structs.replace(fault, at_s=fault.at_s + by_s) for fault in faults)


def run_identity(loaded: LoadedExperiment, seed: int) -> RunIdentity:
    """Return the fields that identify a run of an experiment."""
    experiment = loaded.experiment
    return RunIdentity(
        name=experiment.name,
        deployment=loaded.deployment.name,
        seed=seed,
        duration_s=experiment.duration_s,
    )


def expected_answer(sent: GenerationSent) -> str:
    """Return the whole text that a stand-in engine generates for a request."""
    return expected_text(sent.prompt, sent.max_tokens)


def run_experiment(run: VirtualRun) -> RunOutcome:
    """Run an experiment in virtual time; its seed determines the task schedule."""
    return run_in_virtual_time(run.run, seed=run.seed)
