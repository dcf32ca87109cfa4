"""The placement planner: runs on every node, acts only while the node holds the planner's lease.

Each round settles finished and failed loads, plans new ones, writes the record by compare-and-swap
and only then sends the orders. The record is read once each time the lease is acquired. So every
order that an engine may have received is in the record, where another planner finds it. A planner
that resumes after a suspension is stopped twice: it checks its lease, which has expired on its own
clock, before each order, and its write fails because the record has changed. Orders that it may
still send carry an old token, which engines refuse.
"""

from collections.abc import Mapping

import anyio
import msgspec
from result import Err

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import EngineName
from weirscale.domain.placement.desired import declared_models, desired_engines
from weirscale.domain.placement.model import DesiredEngine, EngineObservation, PlacementRules
from weirscale.domain.placement.plan import LoadPlan, plan_loads
from weirscale.domain.placement.progress import rollout_progress
from weirscale.domain.placement.settle import Settlement, settle_loads
from weirscale.domain.placement.small_orders import (
    KnownRole,
    RoleChange,
    SmallChange,
    plan_small_changes,
)
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.messages.placement import PlacementRecord, RolloutProgress
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.interfaces import ConfigurationView
from weirscale.node.placement.fleet_states import FleetStates
from weirscale.node.placement.observing import observe_engines
from weirscale.node.placement.orders import (
    FencedOrder,
    OrderAnswer,
    make_change_order,
    make_load_order,
    send_order,
)
from weirscale.node.placement.record_store import RecordStore, StoredRecord
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

ROUND_INTERVAL_S = 1.0
"""Time between rounds; about the interval of load reports."""

TOKEN_JUMP = 1 << 20
"""Added to the next token if an engine has seen a higher token than the recorded ones, which means
that the record was lost; larger than the number of orders that a lost record may have issued
recently."""


class _SentChange(msgspec.Struct, frozen=True):
    change: SmallChange
    sent_at_s: float


class PlacementTask:
    """Orders engines to load the declared models and adapters and to take the declared roles.

    Args:
        configuration: The configuration in force.
        directory: States and ports of engines.
        key_value: Stores the placement record.
        lease: Lease of the planner's duty.
        events: Receives log events.
        states: States of engines from other nodes.
        rules: Limits that the configuration does not declare.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        directory: BackendDirectory,
        key_value: KeyValuePort,
        lease: DutyLeaseTask,
        events: EventLog,
        states: FleetStates,
        rules: PlacementRules | None = None,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._store = RecordStore(key_value)
        self._lease = lease
        self._events = events
        self._rules = rules or PlacementRules()
        self._states = states
        self._order_failed_at_s: dict[EngineName, float] = {}
        self._stored: StoredRecord | None = None
        self._loads_known_since_s: dict[int, float] = {}
        self._accepted: set[int] = set()
        self._undelivered: set[int] = set()
        self._dropped: set[int] = set()
        self._token_jump = 0
        self._known_roles: dict[EngineName, KnownRole] = {}
        self._sent_changes: dict[EngineName, _SentChange] = {}
        self._progress: tuple[RolloutProgress, ...] = ()

    def is_planner(self) -> bool:
        """Return whether this node is the planner now."""
        return self._lease.is_held()

    def progress(self) -> tuple[RolloutProgress, ...]:
        """Return the progress of the last round; empty if this node is not the planner."""
        return self._progress

    async def run(self) -> None:
        """Plan in rounds until cancelled."""
        while True:
            await self.run_round()
            await anyio.sleep(ROUND_INTERVAL_S)

    async def run_round(self) -> None:
        """Observe, settle, plan, write the record and send orders, once."""
        in_force = self._configuration.current()
        if in_force is None or not self._lease.is_held():
            self._step_down()
            return
        stored = await self._read_record()
        if stored is None:
            return
        await self._reconcile(stored, in_force.deployment)

    def _step_down(self) -> None:
        """Drop all state that another planner may change."""
        self._stored = None
        self._loads_known_since_s.clear()
        self._accepted.clear()
        self._undelivered.clear()
        self._dropped.clear()
        self._token_jump = 0
        self._known_roles.clear()
        self._sent_changes.clear()
        self._order_failed_at_s.clear()
        self._progress = ()

    async def _read_record(self) -> StoredRecord | None:
        if self._stored is None:
            answer = await self._store.read()
            if isinstance(answer, Err):
                self._events.event("placement_record_unread", detail=answer.err_value.detail)
                return None
            self._stored = answer.ok_value
        return self._stored

    async def _reconcile(self, stored: StoredRecord, deployment: Deployment) -> None:
        now_s = anyio.current_time()
        models = declared_models(deployment)
        desired = desired_engines(deployment)
        observed_states = self._states.observed_states()
        raw_observations = observe_engines(
            self._directory.snapshot(), observed_states, self._rules, now_s
        )
        paused_since_s = now_s - self._rules.order_pause_s
        observations = self._mark_unavailable(raw_observations, paused_since_s)
        recorded = self._without_dropped(stored.record)
        ages_s = self._load_ages_s(recorded, now_s)
        settlement = settle_loads(recorded, models, desired, observations, ages_s)
        plan = plan_loads(settlement.record, models, desired, observations, self._rules)
        changes = self._due_changes(desired, observations, plan, now_s)
        record = msgspec.structs.replace(
            settlement.record, loads=plan.loads, next_token=plan.next_token + len(changes)
        )
        if not await self._write(stored, record):
            return
        self._log_results(settlement, plan)
        self._loads_known_since_s.update({load.token: now_s for load in plan.ordered})
        self._undelivered.update(load.token for load in plan.ordered)
        self._states.watch(load.engine for load in record.loads)
        await self._send_orders(record, changes, plan.next_token, observations)
        # After the orders, so that an engine that executed no order is not shown as loading.
        active_loads = tuple(load for load in record.loads if load.token not in self._dropped)
        settled = msgspec.structs.replace(record, loads=active_loads)
        progress_observations = self._mark_unavailable(raw_observations, paused_since_s)
        self._progress = tuple(
            rollout_progress(model, settled, desired, progress_observations, plan.waiting_for_floor)
            for model in models.values()
        )

    def _mark_unavailable(
        self, observations: Mapping[EngineName, EngineObservation], since_s: float
    ) -> Mapping[EngineName, EngineObservation]:
        """Mark engines as down that certainly did not execute an order sent since a time."""
        unavailable = {
            name for name, failed_at_s in self._order_failed_at_s.items() if failed_at_s > since_s
        }
        return {
            name: msgspec.structs.replace(observation, is_up=False)
            if name in unavailable
            else observation
            for name, observation in observations.items()
        }

    def _without_dropped(self, record: PlacementRecord) -> PlacementRecord:
        """Return the record without the loads whose orders were certainly not executed."""
        loads = tuple(load for load in record.loads if load.token not in self._dropped)
        jump, self._token_jump = self._token_jump, 0
        return msgspec.structs.replace(record, loads=loads, next_token=record.next_token + jump)

    def _load_ages_s(self, record: PlacementRecord, now_s: float) -> Mapping[int, float]:
        """Return the age of each load since this planner first saw it, by token."""
        tokens = {load.token for load in record.loads}
        self._loads_known_since_s = {
            token: self._loads_known_since_s.get(token, now_s) for token in sorted(tokens)
        }
        self._accepted &= tokens
        self._undelivered &= tokens
        self._dropped.clear()
        return {token: now_s - since_s for token, since_s in self._loads_known_since_s.items()}

    def _due_changes(
        self,
        desired: Mapping[EngineName, DesiredEngine],
        observations: Mapping[EngineName, EngineObservation],
        plan: LoadPlan,
        now_s: float,
    ) -> list[SmallChange]:
        """Return the small changes to order now, except those ordered a short time ago."""
        loading = frozenset(load.engine for load in plan.loads)
        changes = plan_small_changes(desired, observations, self._known_roles, loading)
        due = [change for change in changes if not self._was_sent_recently(change, now_s)]
        self._sent_changes.update({change.engine: _SentChange(change, now_s) for change in due})
        return due

    def _was_sent_recently(self, change: SmallChange, now_s: float) -> bool:
        sent_change = self._sent_changes.get(change.engine)
        if sent_change is None or sent_change.change != change:
            return False
        return now_s - sent_change.sent_at_s < self._rules.order_repeat_s

    async def _write(self, stored: StoredRecord, record: PlacementRecord) -> bool:
        """Write the record if it has changed; after a failure, the next round reads it again."""
        if record == stored.record:
            return True
        answer = await self._store.write(record, stored.mod_revision)
        if isinstance(answer, Err):
            self._stored = None
            self._sent_changes.clear()
            self._events.event("placement_record_unwritten", failure=answer.err_value)
            return False
        self._stored = answer.ok_value
        return True

    def _log_results(self, settlement: Settlement, plan: LoadPlan) -> None:
        for load in settlement.finished:
            self._events.event(
                "load_finished", engine=load.engine, version=load.weight_version, token=load.token
            )
        for failure in settlement.failed:
            self._events.event(
                "load_failed",
                engine=failure.engine,
                version=failure.weight_version,
                reason=failure.reason,
            )
        for load in settlement.freed:
            self._events.event("load_slot_freed", engine=load.engine, token=load.token)
        for load in plan.ordered:
            self._events.event(
                "load_ordered", engine=load.engine, version=load.weight_version, token=load.token
            )

    async def _send_orders(
        self,
        record: PlacementRecord,
        changes: list[SmallChange],
        first_change_token: int,
        observations: Mapping[EngineName, EngineObservation],
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for load in record.loads:
                if load.token not in self._accepted and not load.is_given_up:
                    tasks.start_soon(self._send_load, make_load_order(load))
            for index, change in enumerate(changes):
                observation = observations[change.engine]
                order = make_change_order(
                    change, first_change_token + index, observation.incarnation
                )
                tasks.start_soon(self._send_change, order, change, observation)

    async def _send_load(self, fenced: FencedOrder) -> None:
        """Send the order of a load; the load is dropped only if the engine cannot be loading."""
        token = fenced.order.token
        answer = await self._send_order(fenced)
        if answer is OrderAnswer.ACCEPTED:
            self._accepted.add(token)
            self._order_failed_at_s.pop(fenced.engine, None)
        elif answer is OrderAnswer.UNKNOWN:
            self._undelivered.discard(token)
        elif answer is OrderAnswer.STALE:
            self._dropped.add(token)
            self._token_jump = TOKEN_JUMP
        elif token in self._undelivered:
            self._dropped.add(token)
            self._order_failed_at_s[fenced.engine] = anyio.current_time()

    async def _send_change(
        self, fenced: FencedOrder, change: SmallChange, observation: EngineObservation
    ) -> None:
        answer = await self._send_order(fenced)
        is_accepted = answer is OrderAnswer.ACCEPTED
        if is_accepted and isinstance(change, RoleChange) and observation.incarnation is not None:
            self._known_roles[change.engine] = KnownRole(observation.incarnation, change.role)

    async def _send_order(self, fenced: FencedOrder) -> OrderAnswer:
        """Send one order if the lease is still held at this moment."""
        facts = self._directory.snapshot().engines.get(fenced.engine)
        if facts is None or not self._lease.is_held():
            return OrderAnswer.UNKNOWN
        return await send_order(facts.port, fenced.order)
