"""The placement planner: run by every node, acting only while the node holds the planner's lease.

Each round reads the record (once for each time the lease is won), settles loads, plans new ones,
writes the record by compare-and-swap and only then gives the orders. So every order that an engine
may have seen stands in the record, and a second planner finds it there. A planner that was paused
and wakes is stopped twice: its lease has run out on its own clock before each order, and its write
fails because the record has changed. What it may still send carries an old token.
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
    give_order,
    order_of_change,
    order_of_load,
)
from weirscale.node.placement.record_store import RecordStore, StoredRecord
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

ROUND_INTERVAL_S = 1.0
"""Time between rounds; load reports come about as often."""

TOKEN_JUMP = 1 << 20
"""Added to the next token when an engine has seen a higher one than was ever recorded, which means
that the record was lost; more than the orders of any lost record's recent past."""


class _GivenChange(msgspec.Struct, frozen=True):
    change: SmallChange
    given_at_s: float


class PlacementTask:
    """Brings engines to what the configuration declares.

    Args:
        configuration: The configuration in force.
        directory: What is known of engines, and their ports.
        key_value: Where the record is kept.
        lease: Tells whether this node may act.
        events: Where to tell what happened.
        states: What other nodes tell of engines.
        rules: Bounds that the configuration does not declare.
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
        self._unreached_at_s: dict[EngineName, float] = {}
        self._stored: StoredRecord | None = None
        self._known_since_s: dict[int, float] = {}
        self._accepted: set[int] = set()
        self._never_sent: set[int] = set()
        self._dropped: set[int] = set()
        self._token_jump = 0
        self._known_roles: dict[EngineName, KnownRole] = {}
        self._given: dict[EngineName, _GivenChange] = {}
        self._progress: tuple[RolloutProgress, ...] = ()

    def is_planner(self) -> bool:
        """Whether this node plans now."""
        return self._lease.is_held()

    def progress(self) -> tuple[RolloutProgress, ...]:
        """Return the progress as of the last round; empty on nodes that do not plan."""
        return self._progress

    async def run(self) -> None:
        """Plan in rounds until cancelled."""
        while True:
            await self.run_round()
            await anyio.sleep(ROUND_INTERVAL_S)

    async def run_round(self) -> None:
        """Observe, settle, plan, record and give orders, once."""
        in_force = self._configuration.current()
        if in_force is None or not self._lease.is_held():
            self._step_down()
            return
        stored = await self._read_record()
        if stored is None:
            return
        await self._reconcile(stored, in_force.deployment)

    def _step_down(self) -> None:
        """Forget everything that another planner may change meanwhile."""
        self._stored = None
        self._known_since_s.clear()
        self._accepted.clear()
        self._never_sent.clear()
        self._dropped.clear()
        self._token_jump = 0
        self._known_roles.clear()
        self._given.clear()
        self._unreached_at_s.clear()
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
        heard = self._states.observed_states()
        seen = observe_engines(self._directory.snapshot(), heard, self._rules, now_s)
        paused_since_s = now_s - self._rules.order_pause_s
        observations = self._without_unreached(seen, paused_since_s)
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
        self._tell(settlement, plan)
        self._known_since_s.update({load.token: now_s for load in plan.ordered})
        self._never_sent.update(load.token for load in plan.ordered)
        self._states.watch(load.engine for load in record.loads)
        await self._give_orders(record, changes, plan.next_token, observations)
        # After the orders: an engine that is tried again and takes none does not show as loading.
        taken = tuple(load for load in record.loads if load.token not in self._dropped)
        settled = msgspec.structs.replace(record, loads=taken)
        shown = self._without_unreached(seen, paused_since_s)
        self._progress = tuple(
            rollout_progress(model, settled, desired, shown, plan.waiting_for_floor)
            for model in models.values()
        )

    def _without_unreached(
        self, seen: Mapping[EngineName, EngineObservation], since_s: float
    ) -> Mapping[EngineName, EngineObservation]:
        """Count engines as down that took no order since a time."""
        unreached = {name for name, at_s in self._unreached_at_s.items() if at_s > since_s}
        return {
            name: msgspec.structs.replace(each, is_up=False) if name in unreached else each
            for name, each in seen.items()
        }

    def _without_dropped(self, record: PlacementRecord) -> PlacementRecord:
        """Return the record without the loads whose orders were certainly not carried out."""
        loads = tuple(load for load in record.loads if load.token not in self._dropped)
        jump, self._token_jump = self._token_jump, 0
        return msgspec.structs.replace(record, loads=loads, next_token=record.next_token + jump)

    def _load_ages_s(self, record: PlacementRecord, now_s: float) -> Mapping[int, float]:
        """Return each load's age, counted from when this planner first knew it."""
        tokens = {load.token for load in record.loads}
        self._known_since_s = {
            token: self._known_since_s.get(token, now_s) for token in sorted(tokens)
        }
        self._accepted &= tokens
        self._never_sent &= tokens
        self._dropped.clear()
        return {token: now_s - since_s for token, since_s in self._known_since_s.items()}

    def _due_changes(
        self,
        desired: Mapping[EngineName, DesiredEngine],
        observations: Mapping[EngineName, EngineObservation],
        plan: LoadPlan,
        now_s: float,
    ) -> list[SmallChange]:
        """Return the small changes to order now; one just ordered is given time to show."""
        loading = frozenset(load.engine for load in plan.loads)
        changes = plan_small_changes(desired, observations, self._known_roles, loading)
        due = [change for change in changes if not self._is_given(change, now_s)]
        self._given.update({change.engine: _GivenChange(change, now_s) for change in due})
        return due

    def _is_given(self, change: SmallChange, now_s: float) -> bool:
        given = self._given.get(change.engine)
        if given is None or given.change != change:
            return False
        return now_s - given.given_at_s < self._rules.order_repeat_s

    async def _write(self, stored: StoredRecord, record: PlacementRecord) -> bool:
        """Write the record if it has changed; after any failure it is read again."""
        if record == stored.record:
            return True
        answer = await self._store.write(record, stored.mod_revision)
        if isinstance(answer, Err):
            self._stored = None
            self._given.clear()
            self._events.event("placement_record_unwritten", failure=answer.err_value)
            return False
        self._stored = answer.ok_value
        return True

    def _tell(self, settlement: Settlement, plan: LoadPlan) -> None:
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

    async def _give_orders(
        self,
        record: PlacementRecord,
        changes: list[SmallChange],
        first_change_token: int,
        observations: Mapping[EngineName, EngineObservation],
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for load in record.loads:
                if load.token not in self._accepted and not load.is_given_up:
                    tasks.start_soon(self._give_load, order_of_load(load))
            for index, change in enumerate(changes):
                seen = observations[change.engine]
                order = order_of_change(change, first_change_token + index, seen.incarnation)
                tasks.start_soon(self._give_change, order, change, seen)

    async def _give_load(self, fenced: FencedOrder) -> None:
        """Give the order of a load; it loses its slot only if the engine cannot be loading."""
        token = fenced.order.token
        answer = await self._give(fenced)
        if answer is OrderAnswer.ACCEPTED:
            self._accepted.add(token)
            self._unreached_at_s.pop(fenced.engine, None)
        elif answer is OrderAnswer.UNKNOWN:
            self._never_sent.discard(token)
        elif answer is OrderAnswer.STALE:
            self._dropped.add(token)
            self._token_jump = TOKEN_JUMP
        elif token in self._never_sent:
            self._dropped.add(token)
            self._unreached_at_s[fenced.engine] = anyio.current_time()

    async def _give_change(
        self, fenced: FencedOrder, change: SmallChange, seen: EngineObservation
    ) -> None:
        answer = await self._give(fenced)
        is_accepted = answer is OrderAnswer.ACCEPTED
        if is_accepted and isinstance(change, RoleChange) and seen.incarnation is not None:
            self._known_roles[change.engine] = KnownRole(seen.incarnation, change.role)

    async def _give(self, fenced: FencedOrder) -> OrderAnswer:
        """Give one order, if the lease is still held at this very moment."""
        facts = self._directory.snapshot().engines.get(fenced.engine)
        if facts is None or not self._lease.is_held():
            return OrderAnswer.UNKNOWN
        return await give_order(facts.port, fenced.order)
