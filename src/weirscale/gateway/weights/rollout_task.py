"""Plans which engines load target versions, while this node holds the lease on that duty.

Owns the set of engines that load now, and when the last load of each model ended. The rule is in
`schedule`, the load of one engine in `engine_load`, the orders in `order_sender`.
"""

import math
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.gateway.weights.age_markers import AgeMarkerWriter
from weirscale.gateway.weights.engine_load import EngineLoader
from weirscale.gateway.weights.holder_term import HolderTerm
from weirscale.gateway.weights.schedule import (
    EngineTotals,
    LaggingEngine,
    LoadRules,
    engines_to_load,
)
from weirscale.ports.event_log import EventLog

PLAN_INTERVAL_S = 0.1
"""Seconds between two plans; short compared with the 1.3 s of a load."""


class WeightsRolloutTask:
    """Starts loads; `run` must be running.

    Args:
        term: This node's term as the holder.
        cluster: Provides engines and versions.
        loader: Carries out single loads.
        age_markers: Writes the markers of new target versions.
        num_requests: Returns how many requests an instance is serving.
        health: Provides which engines failed recently.
        serves: Returns whether a back end gets requests. Other back ends load in separate waves.
        event_log: Logs the start of each load.
        rules: Times and shares of the plan.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        term: HolderTerm,
        cluster: ClusterState,
        loader: EngineLoader,
        age_markers: AgeMarkerWriter,
        num_requests: Callable[[InstanceId], int],
        health: BackEndHealth,
        serves: Callable[[BackEnd], bool],
        event_log: EventLog,
        rules: LoadRules,
        clock: Callable[[], float],
    ) -> None:
        self._term = term
        self._cluster = cluster
        self._loader = loader
        self._age_markers = age_markers
        self._num_requests = num_requests
        self._health = health
        self._serves = serves
        self._event_log = event_log
        self._rules = rules
        self._clock = clock
        self._loading: set[InstanceId] = set()
        self._last_load_at_s: dict[str, float] = {}

    def set_rules(self, rules: LoadRules) -> None:
        """Replace the times and shares of the plan."""
        self._rules = rules

    async def run(self) -> None:
        """Plan and start loads until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self._term.refresh():
                    for model in self._cluster.target_versions.models():
                        self._age_markers.write(model, self._rules.unusable_after_s, tasks)
                        self._begin_loads(model, tasks)
                await sleep_to_tick(PLAN_INTERVAL_S)

    def _begin_loads(self, model: str, tasks: TaskGroup) -> None:
        engines = [
            engine
            for engine in self._cluster.directory.all()
            if engine.version_of(model) is not None and engine.state is BackEndState.READY
        ]
        # Separate waves: their size depends on what the serving engines can spare, and engines of a
        # canary do not count for that.
        self._begin_waves(model, [engine for engine in engines if self._serves(engine)], tasks)
        self._begin_waves(model, [engine for engine in engines if not self._serves(engine)], tasks)

    def _begin_waves(self, model: str, engines: list[BackEnd], tasks: TaskGroup) -> None:
        lagging = [
            candidate
            for candidate in (self._lagging_engine(engine, model) for engine in engines)
            if candidate is not None
        ]
        totals = self._totals(model, engines, lagging)
        for instance in engines_to_load(lagging, totals, self._clock(), self._rules):
            engine = self._cluster.directory.get(instance)
            if engine is not None:
                self._loading.add(instance)
                self._log_begin(engine, model, lagging, totals)
                tasks.start_soon(self._load, engine, model)

    async def _load(self, engine: BackEnd, model: str) -> None:
        try:
            await self._loader.load(engine, model)
        finally:
            self._loading.discard(engine.instance)
            self._last_load_at_s[model] = self._clock()
            await self._loader.announce_end(engine, model)

    def _log_begin(
        self, engine: BackEnd, model: str, lagging: Sequence[LaggingEngine], totals: EngineTotals
    ) -> None:
        self._event_log.event(
            "load_begun", instance=engine.instance, model=model,
            newest=self._cluster.target_versions.newest(model), lagging=len(lagging),
            loading=totals.num_loading,
            old_requests=sum(candidate.num_requests for candidate in lagging),
            new_requests=totals.num_requests,
        )  # fmt: skip

    def _totals(
        self, model: str, engines: Sequence[BackEnd], lagging: Sequence[LaggingEngine]
    ) -> EngineTotals:
        now_s = self._clock()
        not_loading = [
            engine.instance for engine in engines if engine.instance not in self._loading
        ]
        lagging_instances = {candidate.instance for candidate in lagging}
        return EngineTotals(
            num_engines=len(engines),
            num_loading=len(engines) - len(not_loading),
            num_suspect=sum(
                1 for instance in not_loading if self._health.is_suspect(instance, now_s)
            ),
            num_requests=sum(
                self._num_requests(instance)
                for instance in not_loading
                if instance not in lagging_instances
            ),
            last_load_at_s=self._last_load_at_s.get(model, -math.inf),
        )

    def _lagging_engine(self, engine: BackEnd, model: str) -> LaggingEngine | None:
        """Return the state of a lagging engine; None if it is up to date or is loading already."""
        version = self._cluster.engine_versions.version_of(engine.instance, model)
        if version is None or engine.instance in self._loading:
            return None
        first_missed = self._cluster.target_versions.first_newer(model, version)
        if first_missed is None:
            return None
        return LaggingEngine(
            engine.instance,
            self._cluster.grace_began_s(first_missed),
            self._num_requests(engine.instance),
            self._health.is_suspect(engine.instance, self._clock()),
        )
