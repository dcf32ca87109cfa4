"""What a node knows of the platform's state: one owner, everything else reads.

Nothing here ever goes back: a key's older revision and a lower configuration version are dropped,
whichever way they arrive.
"""

from collections.abc import Callable, Iterator

import anyio
import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.durations import age_ms
from weirscale.gateway.model.back_ends import TAKES_WORK, BackEnd, BackEndDirectory, BackEndState
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder
from weirscale.gateway.model.routes import RouteTable
from weirscale.gateway.ports.state_feed import (
    BackEndGone,
    BackEndRegistered,
    ConfigurationChanged,
    RecordChanged,
    RolloutOrdered,
    RolloutStatusSeen,
    RolloutWithdrawn,
    StateBatch,
    TargetVersionChanged,
    Unreadable,
    VersionedChange,
)
from weirscale.gateway.state.change_log import ChangeLog
from weirscale.gateway.state.rollout_orders import RolloutBook
from weirscale.gateway.state.store_outages import NEVER_S, StoreOutageDetector
from weirscale.gateway.state.target_versions import TargetVersion, TargetVersions
from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker, read_weights_age_marker
from weirscale.ports.event_log import EventLog

ESTABLISHED_S = 20.0
"""A version of a service's program that registered longer ago needs no trial to be ordered."""

LAPSE_S = 2.0
"""A registration that ends within this time after an outage of the store may have lapsed so."""

LAPSED_KEPT_S = 1.7
"""How long such a back end is still used: those that live register again within some two seconds of
the store's return, and one that is gone gets no new work two seconds after that was told."""


class ClusterState:
    """The platform's state as this node knows it.

    Args:
        event_log: Where changes are told.
        clock: Monotonic seconds.
    """

    def __init__(self, event_log: EventLog, clock: Callable[[], float]) -> None:
        self._event_log = event_log
        self._clock = clock
        self._revisions: dict[str, int] = {}
        self._instance_keys: dict[InstanceId, str] = {}
        self._lapsed_until_s: dict[InstanceId, float] = {}
        self._record_keys: dict[str, str] = {}
        self._versions: dict[tuple[InstanceId, str], int] = {}
        self._versions_since_s: dict[tuple[ServiceName, SoftwareVersion], float] = {}
        """When a version of a service's program was first seen. A node that starts does not know
        for how long those that it finds have been there."""
        self.table: RouteTable | None = None
        self.directory = BackEndDirectory()
        self.weights = TargetVersions()
        self.rollouts = RolloutBook()
        self.log = ChangeLog()
        self.records: dict[str, bytes] = {}
        self.num_record_changes = 0
        """Rises with each change of the records, for those who read them by change."""
        self.revision = 0
        self.confirmed_at_s = NEVER_S
        """Everything acknowledged before this time is known."""
        self.store_outages = StoreOutageDetector()
        self.named_at_s = NEVER_S
        """When this node last heard of newly named weights."""
        self._weights_age_markers: dict[str, WeightsAgeMarker] = {}
        self.has_read_all = False
        self._first_read = anyio.Event()
        self._made_at_s = clock()
        self.on_gone: Callable[[BackEnd], None] = _ignore
        self.on_table: Callable[[RouteTable], None] = _ignore
        self.on_version: Callable[[InstanceId, str, int], None] = _ignore_version

    def replace_all(self, batch: StateBatch, asked_at_s: float) -> None:
        """Take over a reading of everything; what it lacks is gone."""
        present = {change.key for change in batch.changes}
        for instance, key in list(self._instance_keys.items()):
            if key not in present:
                self._remove_back_end(instance)
        for key in [key for key in self.rollouts.order_keys() if key not in present]:
            self._withdraw_rollout(key)
        for key in [key for key in self.records if key not in present]:
            self._change_record(RecordChanged(key, None))
        self.log.begin(batch.revision)
        self.apply(batch, asked_at_s)
        self.has_read_all = True
        self._first_read.set()

    async def wait_for_first_read(self, patience_s: float) -> None:
        """Wait until everything has been read once, until `patience_s` after the start at most."""
        if self.has_read_all:
            return
        left_s = self._made_at_s + patience_s - self._clock()
        with anyio.move_on_after(max(0.0, left_s)):
            await self._first_read.wait()

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
                self._apply_one(change)
        self.revision = max(self.revision, batch.revision)
        self.confirm(asked_at_s)

    async def wait_until_read(self) -> None:
        """Wait until everything has been read once."""
        await self._first_read.wait()

    def confirm(self, proved_at_s: float) -> None:
        """Learn that everything acknowledged before a time is known."""
        if proved_at_s <= self.confirmed_at_s:
            return
        self.confirmed_at_s = proved_at_s
        self.store_outages.prove(proved_at_s, self._clock())
        for young in self._weights_age_markers.values():
            self.weights.narrow(young.model, young.version, proved_at_s - young.max_age_s)

    def _apply_one(self, versioned: VersionedChange) -> None:
        change = versioned.change
        if isinstance(change, ConfigurationChanged):
            self._take_configuration(change, versioned.revision)
        elif isinstance(change, BackEndRegistered):
            self._put_back_end(versioned.key, change.back_end)
        elif isinstance(change, BackEndGone):
            self._remove_back_end(change.instance)
        elif isinstance(change, TargetVersionChanged):
            self._name_weights(change)
        elif isinstance(change, RolloutOrdered):
            self._order_rollout(versioned.key, change, versioned.revision)
        elif isinstance(change, RolloutWithdrawn):
            self._withdraw_rollout(change.key)
        elif isinstance(change, RolloutStatusSeen):
            self.rollouts.put_status(change.status, versioned.revision)
        elif isinstance(change, RecordChanged):
            self._change_record(change)
        elif isinstance(change, Unreadable):
            self._event_log.event(
                "state_unreadable",
                key=change.key,
                problem=change.problem,
                remedy="mend the entry in the store; the last good state stays in force",
            )

    def _take_configuration(self, named: ConfigurationChanged, revision: int) -> None:
        version = named.configuration.version
        known = self.table.version if self.table else None
        if known is not None and version <= known:
            return
        self.table = RouteTable(named.configuration)
        self._event_log.event(
            "configuration_taken",
            version=version,
            previous=known,
            revision=revision,
            routes=len(named.configuration.routes),
        )
        self.on_table(self.table)

    def _put_back_end(self, key: str, back_end: BackEnd) -> None:
        known = self.directory.get(back_end.instance)
        self._lapsed_until_s.pop(back_end.instance, None)
        for displaced in self.directory.put(back_end):
            self._event_log.event(
                "back_end_displaced", instance=displaced, by=back_end.instance,
                address=back_end.address,
            )  # fmt: skip
            self._instance_keys.pop(displaced, None)
            self._lapsed_until_s.pop(displaced, None)
        self._instance_keys[back_end.instance] = key
        self._versions_since_s.setdefault((back_end.service, back_end.software), self._clock())
        for served in back_end.models:
            self.learn_version(back_end.instance, served.name, served.version, "registration")
        if known is None or known.state is not back_end.state:
            self._event_log.event(
                "back_end_seen" if back_end.state is BackEndState.READY else "back_end_leaving",
                instance=back_end.instance,
                service=back_end.service,
                address=back_end.address,
                zone=back_end.zone,
                software=back_end.software,
            )

    def _remove_back_end(self, instance: InstanceId) -> None:
        self._instance_keys.pop(instance, None)
        known = self.directory.get(instance)
        if known is not None and self._may_have_lapsed(known):
            self._keep_lapsed(known)
        else:
            self._forget_back_end(instance)

    def _may_have_lapsed(self, back_end: BackEnd) -> bool:
        return back_end.state is BackEndState.READY and self._outage_age_s() <= LAPSE_S

    def _outage_age_s(self) -> float:
        return self._clock() - self.outage_ended_s()

    def outage_ended_s(self) -> float:
        """Return when the last outage of the store for all nodes ended; now, while there is one."""
        return self.store_outages.outage_ended_s(self._clock())

    def grace_began_s(self, named: TargetVersion) -> float:
        """Return from when engines with older weights count the time to take a version.

        Nobody can bring new weights to the engines while the store answers no node, so it begins
        anew after that, and not after what befell this node alone.
        """
        return max(named.named_after_s, self.outage_ended_s())

    def _keep_lapsed(self, back_end: BackEnd) -> None:
        lapsed = msgspec.structs.replace(back_end, state=BackEndState.LAPSED)
        self.directory.put(lapsed)
        self._lapsed_until_s[back_end.instance] = self._clock() + LAPSED_KEPT_S
        self._event_log.event(
            "back_end_lapsed", instance=back_end.instance, address=back_end.address,
            outage_age_s=self._outage_age_s(), kept_s=LAPSED_KEPT_S,
        )  # fmt: skip

    def forget_lapsed(self) -> None:
        """Forget the back ends that lapsed with the store and have not come back in time."""
        now_s = self._clock()
        for instance, until_s in list(self._lapsed_until_s.items()):
            if until_s <= now_s:
                self._forget_back_end(instance)

    def _forget_back_end(self, instance: InstanceId) -> None:
        self._lapsed_until_s.pop(instance, None)
        known = self.directory.remove(instance)
        for key in [key for key in self._versions if key[0] == instance]:
            del self._versions[key]
        if known is not None:
            self._event_log.event("back_end_gone", instance=instance, address=known.address)
            self.on_gone(known)

    def _name_weights(self, change: TargetVersionChanged) -> None:
        previous = self.weights.newest(change.model)
        # It was not named yet at the last proof. Counted from the hearing, older weights would
        # serve beyond their grace at a node that heard late: 3 s after a standstill of 4 s.
        if self.weights.name(change.model, change.version, self.confirmed_at_s):
            self.named_at_s = self._clock()
            self._event_log.event(
                "weights_named", model=change.model, version=change.version, previous=previous,
                unproved_ms=age_ms(self.age_s()),
            )  # fmt: skip

    def _order_rollout(self, key: str, change: RolloutOrdered, revision: int) -> None:
        is_live = self.has_read_all
        order = RolloutOrder(
            change.service,
            change.target,
            change.deadline_s,
            Epoch(revision),
            self.confirmed_at_s if is_live else self._clock(),
            was_there=not is_live,
            served_before=is_live and self._is_established(change.service, change.target),
        )
        self.rollouts.put_order(key, order)
        self._event_log.event(
            "rollout_ordered", service=order.service, target=order.target, epoch=order.epoch,
            deadline_s=order.deadline_s, was_there=order.was_there,
            served_before=order.served_before,
        )  # fmt: skip

    def _is_established(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Whether a version of a service's program has served for some time, or alone.

        Engines that an operator starts just before ordering their version are not, nor are those
        that a node found at its own start just before.
        """
        if {one.software for one in self.directory.of_service(service)} == {version}:
            return True
        since_s = self._versions_since_s.get((service, version))
        return since_s is not None and self._clock() - since_s >= ESTABLISHED_S

    def _withdraw_rollout(self, key: str) -> None:
        order = self.rollouts.withdraw(key)
        if order is not None:
            self._event_log.event(
                "rollout_withdrawn", service=order.service, target=order.target, epoch=order.epoch
            )

    def _change_record(self, change: RecordChanged) -> None:
        self.num_record_changes += 1
        if change.value is None:
            self.records.pop(change.key, None)
            self._weights_age_markers.pop(change.key, None)
            return
        self.records[change.key] = change.value
        young = read_weights_age_marker(change.key, change.value)
        if young is not None:
            self._weights_age_markers[change.key] = young

    def learn_version(self, instance: InstanceId, model: str, version: int, source: str) -> None:
        """Learn which weights an engine has; an incarnation's version only rises."""
        known = self._versions.get((instance, model), 0)
        if version <= known or self.directory.get(instance) is None:
            return
        self._versions[(instance, model)] = version
        self.on_version(instance, model, version)
        if known:
            self._event_log.event(
                "version_believed", instance=instance, model=model, version=version,
                previous=known, source=source,
            )  # fmt: skip

    def version_of(self, instance: InstanceId, model: str) -> int | None:
        """Return the version that an engine is believed to have."""
        return self._versions.get((instance, model))

    def age_s(self) -> float:
        """Return for how long nothing has proved that this knowledge is current."""
        return self._clock() - self.confirmed_at_s

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's last change, 0 if it is not known."""
        return self._revisions.get(key, 0)

    def records_under(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Return the gateway's own records with a prefix."""
        return ((key, value) for key, value in self.records.items() if key.startswith(prefix))

    def ready_back_ends(self, service: ServiceName) -> list[BackEnd]:
        """Return the back ends of a service that take new work."""
        if self._lapsed_until_s:
            self.forget_lapsed()
        return [
            back_end
            for back_end in self.directory.of_service(service)
            if back_end.state in TAKES_WORK
        ]


def _ignore(_: object) -> None:
    """Do nothing until the node sets a handler."""


def _ignore_version(_instance: InstanceId, _model: str, _version: int) -> None:
    """Do nothing until the node sets a handler."""
