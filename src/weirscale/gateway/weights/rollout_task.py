"""Plans which engines load target versions, while this node holds the lease on that duty.

Owns which engines load now and when the last load of each model ended. The rule is in `schedule`,
one engine's load in `engine_load`, the orders in `order_sender`.
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
"""Seconds between two plans, small against the 1.3 s of a load. Not measured."""


class WeightsRolloutTask:
    """Begins loads; `run` must be running.

    Args:
        term: This node's term as the holder.
        cluster: Engines, versions.
        loader: Carries out single loads.
        age_markers: Writes the markers of new target versions.
        num_requests: Returns how many requests are at work at an instance.
        health: Tells which engines have failed lately.
        serves: Whether a back end gets requests; the others are loaded apart from them.
        event_log: Logs the beginning of each load.
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
        self._last_load_s: dict[str, float] = {}

    def set_rules(self, rules: LoadRules) -> None:
        """Change the times."""
        self._rules = rules

    async def run(self) -> None:
        """Plan and load until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self._term.begin():
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
        # Waves are as large as the serving engines can spare; those of a canary don't count.
        self._begin_waves(model, [one for one in engines if self._serves(one)], tasks)
        self._begin_waves(model, [one for one in engines if not self._serves(one)], tasks)

    def _begin_waves(self, model: str, engines: list[BackEnd], tasks: TaskGroup) -> None:
        lagging = [
            one for one in (self._lag(engine, model) for engine in engines) if one is not None
        ]
        others = self._others(model, engines, lagging)
        for instance in engines_to_load(lagging, others, self._clock(), self._rules):
            engine = self._cluster.directory.get(instance)
            if engine is not None:
                self._loading.add(instance)
                self._log_begin(engine, model, lagging, others)
                tasks.start_soon(self._load, engine, model)

    async def _load(self, engine: BackEnd, model: str) -> None:
        try:
            await self._loader.load(engine, model)
        finally:
            self._loading.discard(engine.instance)
            self._last_load_s[model] = self._clock()
            await self._loader.announce_end(engine, model)

    def _log_begin(
        self, engine: BackEnd, model: str, lagging: Sequence[LaggingEngine], others: EngineTotals
    ) -> None:
        self._event_log.event(
            "load_begun", instance=engine.instance, model=model,
            newest=self._cluster.target_versions.newest(model), lagging=len(lagging),
            loading=others.num_loading, old_requests=sum(one.num_requests for one in lagging),
            new_requests=others.num_requests,
        )  # fmt: skip

    def _others(
        self, model: str, engines: Sequence[BackEnd], lagging: Sequence[LaggingEngine]
    ) -> EngineTotals:
        now_s = self._clock()
        not_loading = [one.instance for one in engines if one.instance not in self._loading]
        behind = {one.instance for one in lagging}
        return EngineTotals(
            num_engines=len(engines),
            num_loading=len(engines) - len(not_loading),
            num_suspect=sum(1 for one in not_loading if self._health.is_suspect(one, now_s)),
            num_requests=sum(self._num_requests(one) for one in not_loading if one not in behind),
            last_load_s=self._last_load_s.get(model, -math.inf),
        )

    def _lag(self, engine: BackEnd, model: str) -> LaggingEngine | None:
        """Return an engine's lag; None if it has the target version or loads already."""
        version = self._cluster.engine_versions.version_of(engine.instance, model)
        if version is None or engine.instance in self._loading:
            return None
        missed = self._cluster.target_versions.first_newer(model, version)
        if missed is None:
            return None
        return LaggingEngine(
            engine.instance,
            self._cluster.grace_began_s(missed),
            self._num_requests(engine.instance),
            self._health.is_suspect(engine.instance, self._clock()),
        )
