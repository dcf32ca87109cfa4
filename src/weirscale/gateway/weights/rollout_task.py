"""Brings named weights to the engines, while this node holds the lease on that duty.

Orders carry the lease's fencing token, the incarnation that is meant and the number of orders that
the engine has taken, so one that is carried out late changes nothing.
"""

import math
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.ports.back_end import BackEndPort, EngineReport, OrderOutcome, WeightOrder
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.expiring_record import write_timed_record
from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.gateway.weights.order_turn import OrderTurn
from weirscale.gateway.weights.schedule import (
    LaggingEngine,
    LoadedEngines,
    WeightsRolloutRules,
    engines_to_load,
)
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

PLAN_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.8
ANNOUNCE_LEAD_S = 0.06
"""Time for peers to hear that an engine is about to load, before the order goes out."""

RUNS_END_S = 0.4
"""How long the order waits for the runs at the engine to end: what they make afterwards is of
mixed weights."""

RUNS_POLL_S = 0.05

MAX_LOAD_S = 6.0
"""A load that has not ended by then is looked at anew."""

MAX_SILENT_REPORTS = 2
"""An engine that leaves so many reports unanswered is down; others load meanwhile."""

TAKEN_BY_S = 1.0
"""An order without an answer that shows no effect by then is given again."""

MIN_YOUNG_S = 1.5
"""Shorter records are not worth the calls."""

YOUNG_SHARE = 0.7
"""The record of a newly named version lives for this share of older weights' grace. A node that
starts lets them serve while the last proof of the record, up to a second old, leaves them grace."""

WRITE_DELAY_S = 1.0
"""So much later than worked out a record may vanish; one whose lease comes later is not written."""


class WeightsRolloutTask:
    """Gives orders; `run` must be running.

    Args:
        holder: Name of this node.
        lease: Lease on the duty; asked at each order.
        knowledge: Engines, versions.
        port_of: Returns the port of a back end.
        announce: Tells peers that an engine loads (`is_done` False) or has the version.
        num_requests: Requests at work at an instance.
        health: Engines that fail; those that leave reports unanswered are told to it.
        event_log: Where orders are told.
        rules: Times.
        turn: Keeps orders apart from another holder's.
        store: Takes the records of newly named versions.
        serves: Whether a back end gets requests; the others are loaded apart from them.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        holder: str,
        lease: DutyLeaseTask,
        cluster: ClusterState,
        port_of: Callable[[BackEnd], BackEndPort],
        announce: Callable[[InstanceId, str, int, bool], Awaitable[None]],
        num_requests: Callable[[InstanceId], int],
        health: BackEndHealth,
        event_log: EventLog,
        rules: WeightsRolloutRules,
        turn: OrderTurn,
        store: KeyValuePort,
        serves: Callable[[BackEnd], bool],
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._serves = serves
        self._holder = holder
        self._lease = lease
        self._cluster = cluster
        self._port_of = port_of
        self._announce = announce
        self._num_requests = num_requests
        self._health = health
        self._event_log = event_log
        self._rules = rules
        self._turn = turn
        self._store = store
        self._loading: set[InstanceId] = set()
        self._last_load_s: dict[str, float] = {}
        self._recorded: dict[str, int] = {}
        self._token = 0

    def set_rules(self, rules: WeightsRolloutRules) -> None:
        """Change the times."""
        self._rules = rules

    async def run(self) -> None:
        """Plan and order until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self._holds_lease():
                    for model in self._cluster.target_versions.models():
                        self._write_weights_age_marker(model, tasks)
                        self._begin_loads(model, tasks)
                await sleep_to_tick(PLAN_INTERVAL_S)

    def _holds_lease(self) -> bool:
        token = self._lease.token()
        if token is None:
            return False
        if token != self._token:
            self._token = token
            self._event_log.event("lease_won", duty=self._lease.duty.key, token=token)
        return True

    def _write_weights_age_marker(self, model: str, tasks: TaskGroup) -> None:
        """Record that a version was named just now, for nodes that start meanwhile."""
        named = self._cluster.target_versions.newest_named(model)
        if named is None or self._recorded.get(model, 0) >= named.version:
            return
        self._recorded[model] = named.version
        life_s = YOUNG_SHARE * self._rules.urgent_s
        left_s = named.named_after_s + life_s - self._clock()
        if left_s > MIN_YOUNG_S:
            record = WeightsAgeMarker(model, named.version, life_s + WRITE_DELAY_S)
            tasks.start_soon(
                write_timed_record,
                self._store,
                record.key(),
                record.value(),
                left_s,
                WRITE_DELAY_S,
                self._clock,
            )

    def _begin_loads(self, model: str, tasks: TaskGroup) -> None:
        engines = [
            engine
            for engine in self._cluster.directory.all()
            if engine.version_of(model) is not None and engine.state is BackEndState.READY
        ]
        # Waves are as large as those can spare that serve; engines on trial are not counted.
        self._begin_waves(model, [one for one in engines if self._serves(one)], tasks)
        self._begin_waves(model, [one for one in engines if not self._serves(one)], tasks)

    def _begin_waves(self, model: str, engines: list[BackEnd], tasks: TaskGroup) -> None:
        lagging = [one for one in map(self._lag_of(model), engines) if one is not None]
        others = self._others(model, engines, lagging)
        for instance in engines_to_load(lagging, others, self._clock(), self._rules):
            engine = self._cluster.directory.get(instance)
            if engine is not None:
                self._loading.add(instance)
                self._tell_begun(engine, model, lagging, others)
                tasks.start_soon(self._load, engine, model)

    def _tell_begun(
        self, engine: BackEnd, model: str, lagging: list[LaggingEngine], others: LoadedEngines
    ) -> None:
        self._event_log.event(
            "load_begun", instance=engine.instance, model=model,
            newest=self._cluster.target_versions.newest(model), lagging=len(lagging),
            loading=others.num_loading, old_requests=sum(one.num_requests for one in lagging),
            new_requests=others.num_requests,
        )  # fmt: skip

    def _others(
        self, model: str, engines: list[BackEnd], lagging: list[LaggingEngine]
    ) -> LoadedEngines:
        behind = {one.instance for one in lagging} | self._loading
        now_s = self._clock()
        loaded = [engine.instance for engine in engines if engine.instance not in behind]
        return LoadedEngines(
            num_engines=len(engines),
            num_loading=sum(1 for engine in engines if engine.instance in self._loading),
            num_suspect=sum(
                1
                for engine in engines
                if engine.instance not in self._loading
                and self._health.is_suspect(engine.instance, now_s)
            ),
            num_requests=sum(self._num_requests(instance) for instance in loaded),
            last_load_s=self._last_load_s.get(model, -math.inf),
        )

    def _lag_of(self, model: str) -> Callable[[BackEnd], LaggingEngine | None]:
        def lag(engine: BackEnd) -> LaggingEngine | None:
            version = self._cluster.engine_versions.version_of(engine.instance, model)
            if version is None or engine.instance in self._loading:
                return None
            owed = self._cluster.target_versions.first_newer(model, version)
            if owed is None:
                return None
            num_requests = self._num_requests(engine.instance)
            is_suspect = self._health.is_suspect(engine.instance, self._clock())
            owed_since_s = self._cluster.grace_began_s(owed)
            return LaggingEngine(engine.instance, owed_since_s, num_requests, is_suspect)

        return lag

    async def _load(self, engine: BackEnd, model: str) -> None:
        try:
            await self._announce(engine.instance, model, 0, False)
            await anyio.sleep(ANNOUNCE_LEAD_S)
            await self._let_runs_end(engine)
            with anyio.move_on_after(MAX_LOAD_S):
                await self._order_until_done(engine, model)
        finally:
            self._loading.discard(engine.instance)
            self._last_load_s[model] = self._clock()
            version = self._cluster.engine_versions.version_of(engine.instance, model) or 0
            with anyio.CancelScope(shield=True):
                await self._announce(engine.instance, model, version, True)

    async def _let_runs_end(self, engine: BackEnd) -> None:
        with anyio.move_on_after(RUNS_END_S):
            while self._num_requests(engine.instance) > 0:  # noqa: ASYNC110 - load tells nobody
                await anyio.sleep(RUNS_POLL_S)

    async def _order_until_done(self, engine: BackEnd, model: str) -> None:
        """Order the newest version and wait for it; a version named later is another load."""
        port = self._port_of(engine)
        wanted = self._cluster.target_versions.newest(model) or 0
        ordered_sequence: int | None = None
        ordered_at_s = 0.0
        num_silent = 0
        while self._is_own_term() and self._cluster.directory.get(engine.instance) is not None:
            report = await port.report(CALL_TIMEOUT_S)
            num_silent = num_silent + 1 if report is None else 0
            if num_silent >= MAX_SILENT_REPORTS:
                self._health.unreachable(engine.instance, "report", self._clock())
                return
            if report is not None and not report.is_ordered:
                if self._has_version(engine, model, wanted, report):
                    return
                has_waited = self._clock() - ordered_at_s >= TAKEN_BY_S
                if ordered_sequence != report.sequence or has_waited:
                    wanted = self._cluster.target_versions.newest(model) or 0
                    if await self._order(port, engine, model, wanted, report.sequence):
                        ordered_sequence = report.sequence
                        ordered_at_s = self._clock()
            await anyio.sleep(REPORT_INTERVAL_S)

    def _has_version(self, engine: BackEnd, model: str, wanted: int, report: EngineReport) -> bool:
        for served in report.models:
            if served.name == model:
                self._cluster.engine_versions.learn(
                    engine.instance, model, served.version, "report"
                )
        return (self._cluster.engine_versions.version_of(engine.instance, model) or 0) >= wanted

    def _is_own_term(self) -> bool:
        token = self._lease.token()
        return token is not None and token == self._token

    async def _order(
        self, port: BackEndPort, engine: BackEnd, model: str, version: int, sequence: int
    ) -> bool:
        """Give an order; False if it may not be given now."""
        # Without the lease the record must not be renewed either: it keeps the next holder out.
        if not self._is_own_term() or not await self._turn.take() or not self._is_own_term():
            return False
        token = self._token
        order = WeightOrder(model, version, self._holder, token, sequence, engine.instance)
        outcome = await port.order(order, CALL_TIMEOUT_S)
        self._event_log.event(
            "order_given", instance=engine.instance, model=model, version=version,
            token=token, sequence=sequence, outcome=outcome.value,
        )  # fmt: skip
        if outcome is OrderOutcome.HOLDS_ALREADY:
            self._cluster.engine_versions.learn(engine.instance, model, version, "order")
        return True
