"""What a node knows of the platform's state: one owner, which all other parts read.

`ClusterState` takes over the changes that the store's readers bring and hands each to the part that
owns it: registrations to `BackEndRegistry`, weights of engines to `EngineVersions`, the gateway's
records to `StoredRecords`, rollouts to `RolloutBook`, target versions to `TargetVersions`.

Nothing here ever goes back: an older revision of a key and a lower version of the configuration are
dropped, whichever way they arrive.
"""

from collections.abc import Callable, Collection
from functools import singledispatchmethod

import anyio

from weirscale.gateway.durations import age_ms
from weirscale.gateway.model.back_ends import BackEndDirectory
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
from weirscale.gateway.state.rollout_orders import RolloutBook
from weirscale.gateway.state.store_outages import NEVER_S, StoreOutageDetector
from weirscale.gateway.state.stored_records import StoredRecords
from weirscale.gateway.state.target_versions import TargetVersion, TargetVersions
from weirscale.ports.event_log import EventLog

LOST_KEPT_S = 6.0
"""Seconds for which what the store lost as it came back from a copy counts on. Operators and back
ends write again what they had written, and nodes what is theirs: registrations within their life of
6 s. It is longer than what keeps the orders of two holders apart as well."""


class ClusterState:
    """The platform's state as this node knows it.

    Args:
        event_log: Where changes are logged.
        clock: Monotonic seconds.

    Attributes:
        table: Routes, services, tenants and limits; None until a configuration was read.
        directory: The back ends.
        back_ends: Their registrations.
        engine_versions: Which weights engines have.
        target_versions: Which weights operators want.
        rollouts: Orders and statuses of rollouts of service versions.
        records: The gateway's own records.
        log: The latest change of each key, for other nodes.
        revision: Highest revision of the store that is known.
        confirmed_at_s: Everything that the store acknowledged before this time is known.
        store_outages: When the store was away for all nodes.
        has_read_all: Whether everything has been read once.
        target_changed_at_s: When this node last learnt of a new target version.
        incomplete_until_s: Until when it may lack what the store lost as it came back from a copy.
    """

    def __init__(self, event_log: EventLog, clock: Callable[[], float]) -> None:
        self._event_log = event_log
        self._clock = clock
        self._made_at_s = clock()
        self._first_read = anyio.Event()
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
        self.rollouts = RolloutBook()
        self.records = StoredRecords()
        self.log = ChangeLog()
        self.revision = 0
        self.confirmed_at_s = NEVER_S
        self.target_changed_at_s = NEVER_S
        self.incomplete_until_s = NEVER_S
        self._lost_orders: set[str] = set()
        self.has_read_all = False

    def observe_table(self, observer: Callable[[RouteTable], None]) -> None:
        """Have a function called with the routes of each new configuration."""
        self._table_observers.append(observer)

    async def wait_until_read(self) -> None:
        """Wait until everything has been read once."""
        await self._first_read.wait()

    async def wait_for_first_read(self, timeout_s: float) -> None:
        """Wait until everything has been read once, at most until a time after the start."""
        if self.has_read_all:
            return
        left_s = self._made_at_s + timeout_s - self._clock()
        with anyio.move_on_after(max(0.0, left_s)):
            await self._first_read.wait()

    def replace_all(self, batch: StateBatch, asked_at_s: float) -> None:
        """Take over a reading of everything; what it lacks is gone.

        Args:
            batch: Everything.
            asked_at_s: When the store was asked.
        """
        present = {change.key for change in batch.changes}
        if era_of(batch.revision) > self.era():
            self._lose_missing(batch, present)
        else:
            self._remove_missing(present)
        self.log.begin(batch.revision)
        self.apply(batch, asked_at_s)
        self.has_read_all = True
        self._first_read.set()

    def _remove_missing(self, present: Collection[str]) -> None:
        self.back_ends.end_missing(present)
        for key in self._missing_orders(present):
            if key not in self._lost_orders:
                self._withdraw_rollout(key)
        self.records.remove_missing(present)

    def _missing_orders(self, present: Collection[str]) -> list[str]:
        return [key for key in self.rollouts.order_keys() if key not in present]

    def _lose_missing(self, batch: StateBatch, present: Collection[str]) -> None:
        """Keep for a while what a store that came back from a copy has lost.

        It was not taken away: whoever wrote it writes it again. A node that finds such a store at
        its start knows of nothing that was lost; it waits as long before it gives orders.
        """
        now_s = self._clock()
        self.incomplete_until_s = now_s + LOST_KEPT_S
        if not self.has_read_all:
            return
        lapsed = self.back_ends.lapse_missing(present)
        lost = self.records.lose_missing(present, self.incomplete_until_s)
        self._lost_orders.update(self._missing_orders(present))
        self._event_log.event(
            "store_restored", era=era_of(batch.revision), previous_era=self.era(),
            revision=revision_at(batch.revision), previous_revision=revision_at(self.revision),
            lost_back_ends=len(lapsed), lost_records=len(lost), lost_orders=len(self._lost_orders),
        )  # fmt: skip

    def forget_lost(self) -> None:
        """Give up what the store lost and nobody has written again in time."""
        now_s = self._clock()
        self.records.forget_lost(now_s)
        if self._lost_orders and now_s >= self.incomplete_until_s:
            for key in self._lost_orders:
                self._withdraw_rollout(key)
            self._lost_orders.clear()

    def apply(self, batch: StateBatch, asked_at_s: float) -> None:
        """Take over changes.

        Args:
            batch: The changes.
            asked_at_s: When the store was asked: what it had acknowledged by then is known now.
        """
        for change in batch.changes:
            if change.revision > self._revisions.get(change.key, 0):
                self._revisions[change.key] = change.revision
                self.log.add(change)
                self._take(change.change, change)
        self.revision = max(self.revision, batch.revision)
        self.confirm(asked_at_s)

    def confirm(self, proved_at_s: float) -> None:
        """Learn that everything is known that the store acknowledged before a time."""
        if proved_at_s <= self.confirmed_at_s:
            return
        self.confirmed_at_s = proved_at_s
        self.store_outages.prove(proved_at_s, self._clock())
        for marker in self.records.weights_age_markers():
            set_after_s = proved_at_s - marker.max_age_s
            self.target_versions.tighten_bound(marker.model, marker.version, set_after_s)

    def age_s(self) -> float:
        """Return the proof age: how long ago this state was last proved current."""
        return self._clock() - self.confirmed_at_s

    def era(self) -> StoreEra:
        """Return how often the store has come back from a copy, as far as this node knows."""
        return era_of(self.revision)

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change, 0 if it is not known."""
        return self._revisions.get(key, 0)

    def outage_ended_s(self) -> float:
        """Return when the last outage of the store for all nodes ended; now, while there is one."""
        return self.store_outages.outage_ended_s(self._clock())

    def grace_began_s(self, target: TargetVersion) -> float:
        """Return the time from which engines with older weights have their grace to load these.

        Nobody can bring new weights to engines while the store answers no node, so the grace starts
        anew when an outage ends. A loss of the store by this node alone does not prolong it.
        """
        return max(target.set_after_s, self.outage_ended_s())

    @singledispatchmethod
    def _take(self, change: StateChange, versioned: VersionedChange) -> None:
        """Take over one change; there is one function for each kind."""
        raise TypeError(f"no function takes {type(change).__name__}; add one to ClusterState")

    @_take.register
    def _take_configuration(self, change: ConfigurationChanged, versioned: VersionedChange) -> None:
        version = change.configuration.version
        known = self.table.version if self.table else None
        if known is not None and version <= known:
            return
        self.table = RouteTable(change.configuration)
        self._event_log.event(
            "configuration_taken",
            version=version,
            previous=known,
            revision=versioned.revision,
            routes=len(change.configuration.routes),
        )
        for observer in self._table_observers:
            observer(self.table)

    @_take.register
    def _take_registration(self, change: BackEndRegistered, versioned: VersionedChange) -> None:
        self.back_ends.register(versioned.key, change.back_end, versioned.revision)

    @_take.register
    def _take_end(self, change: BackEndGone, _: VersionedChange) -> None:
        self.back_ends.end(change.instance)

    @_take.register
    def _take_target_version(self, change: TargetVersionChanged, _: VersionedChange) -> None:
        previous = self.target_versions.newest(change.model)
        # The last proof shows that it was not set then. With the time of its arrival as the
        # bound, a node that receives it late would let older weights serve beyond their grace: 3 s
        # in a run in which a node was paused for 4 s.
        if self.target_versions.add(change.model, change.version, self.confirmed_at_s):
            self.target_changed_at_s = self._clock()
            self._event_log.event(
                "weights_named", model=change.model, version=change.version, previous=previous,
                unproved_ms=age_ms(self.age_s()),
            )  # fmt: skip

    @_take.register
    def _take_rollout(self, change: RolloutOrdered, versioned: VersionedChange) -> None:
        is_live = self.has_read_all
        order = RolloutOrder(
            change.service,
            change.target,
            change.deadline_s,
            Epoch(versioned.revision),
            self.confirmed_at_s if is_live else self._clock(),
            predates_node=not is_live,
            served_before=is_live and self.back_ends.is_established(change.service, change.target),
        )
        self._lost_orders.discard(versioned.key)
        self.rollouts.put_order(versioned.key, order)
        self._event_log.event(
            "rollout_ordered", service=order.service, target=order.target, epoch=order.epoch,
            deadline_s=order.deadline_s, was_there=order.predates_node,
            served_before=order.served_before,
        )  # fmt: skip

    @_take.register
    def _take_withdrawal(self, change: RolloutWithdrawn, _: VersionedChange) -> None:
        self._withdraw_rollout(change.key)

    def _withdraw_rollout(self, key: str) -> None:
        order = self.rollouts.withdraw(key)
        if order is not None:
            self._event_log.event(
                "rollout_withdrawn", service=order.service, target=order.target, epoch=order.epoch
            )

    @_take.register
    def _take_rollout_status(self, change: RolloutStatusSeen, versioned: VersionedChange) -> None:
        self.rollouts.put_status(change.status, versioned.revision)

    @_take.register
    def _take_record(self, change: RecordChanged, _: VersionedChange) -> None:
        self.records.put(change.key, change.value)

    @_take.register
    def _take_unreadable(self, change: Unreadable, _: VersionedChange) -> None:
        is_back_end = change.instance is not None
        if change.instance is not None:
            # Whoever stood there may have ended: as if its entry had, it gets nothing new.
            self.back_ends.end(change.instance)
        self._event_log.event(
            "state_unreadable", key=change.key, problem=change.problem,
            remedy="mend the entry in the store; until then "
            + ("nothing is sent there" if is_back_end else "the last good state stays in force"),
        )  # fmt: skip
