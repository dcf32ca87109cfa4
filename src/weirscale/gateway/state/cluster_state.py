"""This node's copy of the platform's state, which all other parts read.

`ClusterState` applies the changes received from the store's readers and passes each to the part
that owns it: registrations to `BackEndRegistry`, weight versions of engines to `EngineVersions`,
the gateway's records to `StoredRecords`, rollouts to `RolloutRegistry`, target versions to
`TargetVersions`.

The state never moves backwards: an older revision of a key or a lower version of the configuration
is dropped, from whatever source it arrives.
"""

import math
from collections.abc import Callable, Collection
from functools import singledispatchmethod

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.durations import age_ms
from weirscale.gateway.model.back_ends import BackEndDirectory
from weirscale.gateway.model.configuration import UNDECLARED_HEALTH_PATH
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder
from weirscale.gateway.model.routes import RouteTable
from weirscale.gateway.model.store_positions import StoreEra, era_of, revision_at
from weirscale.gateway.ports.state_feed import (
    BackEndGone,
    BackEndRegistered,
    ConfigurationChanged,
    RecordChanged,
    RolloutOrdered,
    RolloutStatusSeen,
    RolloutWithdrawn,
    StateBatch,
    StateChange,
    TargetVersionChanged,
    Unreadable,
    VersionedChange,
)
from weirscale.gateway.state.back_end_registry import BackEndRegistry
from weirscale.gateway.state.change_log import ChangeLog
from weirscale.gateway.state.engine_versions import EngineVersions
from weirscale.gateway.state.first_read import FirstRead
from weirscale.gateway.state.first_start import has_run_before
from weirscale.gateway.state.restored_start import RestoredStart, is_era_settled
from weirscale.gateway.state.rollout_orders import RolloutRegistry
from weirscale.gateway.state.store_outages import NEVER_S, StoreOutageDetector
from weirscale.gateway.state.stored_records import StoredRecords
from weirscale.gateway.state.target_versions import TargetVersion, TargetVersions
from weirscale.ports.event_log import EventLog
from weirscale.ports.unexpected_errors import UnexpectedErrors

LOST_RETENTION_S = 6.0
"""Seconds for which entries stay in force that the store lost when it was restored from a backup.
Operators, back ends and nodes write their own entries again within this time: registrations within
their lease duration of 6 s. The time is also longer than the minimum time between the orders of two
lease holders."""


class ClusterState:
    """This node's copy of the platform's state.

    Args:
        event_log: Receives an event for each change.
        clock: Monotonic seconds.
        is_first_start: Whether the whole system starts for the first time.
        errors: Reports unexpected errors of single changes.

    Attributes:
        table: Routes, services, tenants and limits; None until a configuration has been read.
        directory: The back ends in use.
        back_ends: The registrations of back ends.
        engine_versions: Weight versions of the engines.
        target_versions: Weight versions that operators have set as targets.
        rollouts: Orders and statuses of rollouts of service versions.
        records: The gateway's own records.
        log: The latest change of each key, for other nodes.
        revision: Highest store revision that has been received.
        confirmed_at_s: The state includes everything that the store acknowledged before this time.
        store_outages: Detects when the store was unavailable to all nodes.
        followed_since_s: This node has missed no change since the store answered this read.
        has_read_all: Whether a full read has been completed.
        first_read: Lets tasks wait for that.
        target_changed_at_s: When this node last received a new target version.
        incomplete_until_s: Until this time, the state may lack entries that the store lost when it
            was restored from a backup.
    """

    def __init__(
        self, event_log: EventLog, clock: Callable[[], float], is_first_start: bool = False,
        errors: UnexpectedErrors | None = None,
    ) -> None:  # fmt: skip
        self._event_log = event_log
        self._errors = errors or UnexpectedErrors(event_log)
        self._clock = clock
        self.first_read = FirstRead(clock)
        self._restored_start = RestoredStart()
        self._revisions: dict[str, int] = {}
        self._table_observers: list[Callable[[RouteTable], None]] = []
        self.table: RouteTable | None = None
        self.store_outages = StoreOutageDetector()
        self.directory = BackEndDirectory()
        self.engine_versions = EngineVersions(self.directory, event_log)
        self.back_ends = BackEndRegistry(
            self.directory, self.engine_versions, self.store_outages, event_log, clock
        )
        self.target_versions = TargetVersions()
        self.rollouts = RolloutRegistry()
        self.records = StoredRecords()
        self.log = ChangeLog()
        self.revision = 0
        self.confirmed_at_s = NEVER_S
        self.target_changed_at_s = NEVER_S
        self.incomplete_until_s = NEVER_S
        self._lost_orders: set[str] = set()
        self._is_first_start = is_first_start
        self.followed_since_s = math.inf
        self.has_read_all = False

    def observe_table(self, observer: Callable[[RouteTable], None]) -> None:
        """Call `observer` with the route table of each new configuration."""
        self._table_observers.append(observer)

    def health_path(self, service: ServiceName) -> str:
        """Return the path of the health check of a service, which may not be declared."""
        declared = self.table.service(service) if self.table else None
        return declared.health_path if declared else UNDECLARED_HEALTH_PATH

    def may_lack_configuration(self) -> bool:
        """Return whether a later configuration than this node's may have been in force before."""
        may_lack = self._restored_start.may_lack_configuration(self._clock())
        return may_lack and not is_era_settled(self.records, self.era())

    def replace_all(self, batch: StateBatch, asked_at_s: float) -> None:
        """Apply a full read; entries that are missing from it have been removed.

        Args:
            batch: The complete state.
            asked_at_s: When the read was sent to the store.
        """
        present = {change.key for change in batch.changes}
        if era_of(batch.revision) > self.era():
            self._retain_lost(batch, present)
        else:
            self._remove_missing(present)
        self.log.begin(batch.revision)
        self.apply(batch, asked_at_s)
        # No registration has ended yet when a system that has never run before is first read.
        is_first_read = self._is_first_start and not self.has_read_all
        hides_nothing = is_first_read and not has_run_before(self.records, self.era())
        self.followed_since_s = NEVER_S if hides_nothing else asked_at_s
        self.has_read_all = True
        self.first_read.complete()

    def _remove_missing(self, present: Collection[str]) -> None:
        self.back_ends.end_missing(present)
        for key in self._missing_orders(present):
            if key not in self._lost_orders:
                self._withdraw_rollout(key)
        self.records.remove_missing(present)

    def _missing_orders(self, present: Collection[str]) -> list[str]:
        return [key for key in self.rollouts.order_keys() if key not in present]

    def _retain_lost(self, batch: StateBatch, present: Collection[str]) -> None:
        """Retain for `LOST_RETENTION_S` the entries lost by a store restored from a backup.

        The entries were not removed on purpose, and their writers write them again. A node that
        starts with such a store cannot know what was lost; it waits equally long before it gives
        orders.
        """
        now_s = self._clock()
        self.incomplete_until_s = now_s + LOST_RETENTION_S
        if not self.has_read_all:
            self._restored_start.begin(batch.revision, self.incomplete_until_s)
            return
        lapsed = self.back_ends.lapse_missing(present)
        lost = self.records.mark_lost(present, self.incomplete_until_s)
        self._lost_orders.update(self._missing_orders(present))
        self._event_log.event(
            "store_restored", era=era_of(batch.revision), previous_era=self.era(),
            revision=revision_at(batch.revision), previous_revision=revision_at(self.revision),
            lost_back_ends=len(lapsed), lost_records=len(lost), lost_orders=len(self._lost_orders),
        )  # fmt: skip

    def forget_lost(self) -> None:
        """Remove entries that the store lost and that were not written again in time."""
        now_s = self._clock()
        self.records.forget_lost(now_s)
        if self._lost_orders and now_s >= self.incomplete_until_s:
            for key in self._lost_orders:
                self._withdraw_rollout(key)
            self._lost_orders.clear()

    def apply(self, batch: StateBatch, asked_at_s: float) -> None:
        """Apply changes.

        Args:
            batch: The changes.
            asked_at_s: When the read was sent to the store. The state then includes everything that
                the store had acknowledged by this time.
        """
        for change in batch.changes:
            if change.revision > self._revisions.get(change.key, 0):
                self._revisions[change.key] = change.revision
                self.log.add(change)
                self._apply_or_report(change)
        self.revision = max(self.revision, batch.revision)
        self.confirm(asked_at_s)

    def _apply_or_report(self, change: VersionedChange) -> None:
        """Apply one change; an error must not keep the others from being applied."""
        try:
            self._apply_change(change.change, change)
        except Exception as error:
            self._errors.report("state_change", change.key, error)

    def confirm(self, proved_at_s: float) -> None:
        """Record that the state includes everything that the store acknowledged before a time."""
        if proved_at_s <= self.confirmed_at_s:
            return
        self.confirmed_at_s = proved_at_s
        self.store_outages.record_answer(proved_at_s, self._clock())
        for marker in self.records.weights_age_markers():
            set_after_s = proved_at_s - marker.max_age_s
            self.target_versions.tighten_bound(marker.model, marker.version, set_after_s)

    def age_s(self) -> float:
        """Return the proof age: seconds since this state was last proved current."""
        return self._clock() - self.confirmed_at_s

    def era(self) -> StoreEra:
        """Return how often the store has been restored from a backup, as far as this node knows."""
        return era_of(self.revision)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change; 0 if none is known."""
        return self._revisions.get(key, 0)

    def outage_ended_s(self) -> float:
        """Return when the last store outage for all nodes ended; the current time during one."""
        return self.store_outages.outage_ended_s(self._clock())

    def grace_began_s(self, target: TargetVersion) -> float:
        """Return when the grace period begins in which engines must load the target weights.

        Engines cannot get new weights while the store answers no node, so the grace period restarts
        when an outage ends. If only this node cannot reach the store, the period is not extended.
        """
        return max(target.set_after_s, self.outage_ended_s())

    @singledispatchmethod
    def _apply_change(self, change: StateChange, versioned: VersionedChange) -> None:
        """Apply one change; a handler is registered for each type."""
        raise TypeError(f"no handler for {type(change).__name__}; add one to ClusterState")

    @_apply_change.register
    def _apply_configuration(
        self, change: ConfigurationChanged, versioned: VersionedChange
    ) -> None:
        self._restored_start.configuration_written(versioned.revision)
        version = change.configuration.version
        previous = self.table.version if self.table else None
        if previous is not None and version <= previous:
            return
        self.table = RouteTable(change.configuration)
        self._event_log.event(
            "configuration_taken",
            version=version,
            previous=previous,
            revision=versioned.revision,
            routes=len(change.configuration.routes),
        )
        for observer in self._table_observers:
            observer(self.table)

    @_apply_change.register
    def _apply_registration(self, change: BackEndRegistered, versioned: VersionedChange) -> None:
        self.back_ends.register(versioned.key, change.back_end, versioned.revision)

    @_apply_change.register
    def _apply_end(self, change: BackEndGone, _: VersionedChange) -> None:
        self.back_ends.end(change.instance)

    @_apply_change.register
    def _apply_target_version(self, change: TargetVersionChanged, _: VersionedChange) -> None:
        previous = self.target_versions.newest(change.model)
        # At the last confirmation the version was not set yet, so that time is the bound. If the
        # time of arrival were the bound, a node that receives the change late would let older
        # weights serve beyond their grace period: 3 s too long when a node was paused for 4 s.
        if self.target_versions.add(change.model, change.version, self.confirmed_at_s):
            self.target_changed_at_s = self._clock()
            self._event_log.event(
                "weights_named", model=change.model, version=change.version, previous=previous,
                unproved_ms=age_ms(self.age_s()),
            )  # fmt: skip

    @_apply_change.register
    def _apply_rollout(self, change: RolloutOrdered, versioned: VersionedChange) -> None:
        is_live = self.has_read_all
        order = RolloutOrder(
            change.service,
            change.target,
            change.deadline_s,
            Epoch(versioned.revision),
            self.confirmed_at_s if is_live else self._clock(),
            predates_node=not is_live,
            served_before=is_live
            and self.back_ends.versions.is_established(change.service, change.target),
        )
        self._lost_orders.discard(versioned.key)
        self.rollouts.put_order(versioned.key, order)
        self._event_log.event(
            "rollout_ordered", service=order.service, target=order.target, epoch=order.epoch,
            deadline_s=order.deadline_s, was_there=order.predates_node,
            served_before=order.served_before,
        )  # fmt: skip

    @_apply_change.register
    def _apply_withdrawal(self, change: RolloutWithdrawn, _: VersionedChange) -> None:
        self._withdraw_rollout(change.key)

    def _withdraw_rollout(self, key: str) -> None:
        order = self.rollouts.withdraw(key)
        if order is not None:
            self._event_log.event(
                "rollout_withdrawn", service=order.service, target=order.target, epoch=order.epoch
            )

    @_apply_change.register
    def _apply_rollout_status(self, change: RolloutStatusSeen, versioned: VersionedChange) -> None:
        self.rollouts.put_status(change.status, versioned.revision)

    @_apply_change.register
    def _apply_record(self, change: RecordChanged, _: VersionedChange) -> None:
        self.records.put(change.key, change.value)

    @_apply_change.register
    def _apply_unreadable(self, change: Unreadable, _: VersionedChange) -> None:
        is_back_end = change.instance is not None
        if change.instance is not None:
            # The back end may have ended, so it gets no new requests, as if its entry had ended.
            self.back_ends.end(change.instance)
        self._event_log.event(
            "state_unreadable", key=change.key, problem=change.problem,
            remedy="correct the entry in the store; until then "
            + (
                "the back end gets no new requests"
                if is_back_end
                else "the last valid entry stays in force"
            ),
        )  # fmt: skip
