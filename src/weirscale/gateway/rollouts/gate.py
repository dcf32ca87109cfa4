"""Which versions of a service a request may go to now, as far as this node knows."""

import enum
from collections.abc import Callable

import msgspec
import xxhash

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder, RolloutState
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, decode_record, record_key
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

PROOF_SHARE = 0.3
"""Share of the time for a return for which a proof of the record holds. The rest is for the news of
the bad answers, the decision and its way here."""

MIN_CANARY_ENGINES = 3
"""With fewer a single bad engine could not be told from a bad version."""


class Track(enum.Enum):
    """Which versions a request is for."""

    STABLE = "usual"
    """Those that serve."""
    CANARY = "trial"
    """The target that is being tried."""


class RolloutView(msgspec.Struct, frozen=True):
    """What a node knows of a service's rollout.

    Attributes:
        epoch: The order that it is about.
        target: The order's target.
        stage: How far it is, or None before anybody began it.
        unusable: Versions that must not be used.
        target_serves: Whether the target served before its order, so that it needs no trial.
        is_told_only: Whether only the status tells of its end: which versions it replaced is not
            known any more.
    """

    epoch: Epoch
    target: SoftwareVersion
    stage: Stage | None
    unusable: frozenset[SoftwareVersion]
    target_serves: bool = False
    is_told_only: bool = False

    def is_open(self) -> bool:
        """Whether the rollout has not ended."""
        return self.stage not in (Stage.COMPLETED, Stage.RETURNED)

    def is_usual(self, version: SoftwareVersion) -> bool:
        """Whether a version serves requests without a trial."""
        if version == self.target:
            return self.target_serves or self.stage in (Stage.MOVING, Stage.COMPLETED)
        if self.stage is Stage.MOVING or (self.is_told_only and self.stage is Stage.COMPLETED):
            return False
        return version not in self.unusable


class RecordReader:
    """Reads the records of rollouts; each value is decoded once.

    Args:
        knowledge: Where records and orders are known.
        event_log: Where a record that cannot be read is told.
    """

    def __init__(self, cluster: ClusterState, event_log: EventLog) -> None:
        self._cluster = cluster
        self._event_log = event_log
        self._read: dict[ServiceName, tuple[bytes, RolloutRecord | None]] = {}

    def record(self, service: ServiceName) -> RolloutRecord | None:
        """Return the latest record of a service, whichever order it is about."""
        value = self._cluster.records.get(record_key(service))
        if value is None:
            return None
        known = self._read.get(service)
        if known is None or known[0] != value:
            known = (value, decode_record(value))
            self._read[service] = known
            if known[1] is None:
                self._event_log.event(
                    "rollout_record_unreadable", service=service,
                    remedy="delete the record in the store; the rollout begins anew",
                )  # fmt: skip
        return known[1]

    def view(self, service: ServiceName) -> RolloutView | None:
        """Return what is known of a service's rollout; None if there was never one."""
        order = self._cluster.rollouts.orders.get(service)
        record = self.record(service)
        if record is not None and (order is None or record.epoch >= order.epoch):
            view = view_of(record)
            if order is None and view.is_open():
                # Its order has been withdrawn: nothing is tried on its account.
                return msgspec.structs.replace(view, stage=Stage.RETURNED)
            return view
        if order is None:
            return None
        end = self._told_end(order)
        return RolloutView(
            order.epoch,
            order.target,
            end,
            unusable_after(record, order),
            end is None and self._serves_already(order, record),
            is_told_only=end is not None,
        )

    def _serves_already(self, order: RolloutOrder, record: RolloutRecord | None) -> bool:
        """Whether an order's target served before it, so that it needs no trial."""
        if record is not None:
            return _served_under(record, order.target)
        if not order.was_there:
            return order.served_before
        # This node did not see what served before the order: what serves alone must have.
        found = {one.software for one in self._cluster.directory.of_service(order.service)}
        return found == {order.target}

    def _told_end(self, order: RolloutOrder) -> Stage | None:
        """Return the end that operators have been told of an order whose record is gone."""
        seen = self._cluster.rollouts.status_of(order.service)
        if seen is None or seen.revision < order.epoch or seen.status.target != order.target:
            return None
        return _END_STAGES.get(seen.status.state)


_END_STAGES = {
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.RETURNED: Stage.RETURNED,
}


def view_of(record: RolloutRecord) -> RolloutView:
    """Return what a record says."""
    return RolloutView(record.epoch, record.target, record.stage, frozenset(record.unusable))


def _served_under(record: RolloutRecord, version: SoftwareVersion) -> bool:
    """Whether a version served under an earlier order, or would after its return."""
    if record.stage is Stage.COMPLETED:
        return version == record.target
    return version in record.predecessors and version not in record.unusable


def unusable_after(record: RolloutRecord | None, order: RolloutOrder) -> frozenset[SoftwareVersion]:
    """Return the versions that must not be used once a new order follows on a record.

    The earlier target is not used any more unless it was completed, or is ordered anew.
    """
    if record is None:
        return frozenset()
    unusable = set(record.unusable)
    if record.stage is not Stage.COMPLETED:
        unusable.add(record.target)
    return frozenset(unusable - {order.target})


class VersionGate:
    """Tells which back ends may be chosen.

    Args:
        reader: Records of rollouts.
        knowledge: How old the proof of what is known is.
        return_s: Returns the time allowed for a return.
        is_cut_off: Whether this node hears neither the store nor the other nodes.
        share: Returns the share of requests that may try a target.
    """

    def __init__(
        self,
        reader: RecordReader,
        cluster: ClusterState,
        return_s: Callable[[], float],
        is_isolated: Callable[[], bool],
        share: Callable[[], float],
    ) -> None:
        self._reader = reader
        self._cluster = cluster
        self._return_s = return_s
        self._is_cut_off = is_isolated
        self._share = share

    def usable(self, service: ServiceName, back_ends: list[BackEnd], track: Track) -> list[BackEnd]:
        """Return those of a service's back ends that a request of a lane may go to."""
        view = self._reader.view(service)
        if view is None:
            return back_ends if self._may_serve_unproved() else []
        if track is Track.CANARY:
            return self._canary(view, back_ends) if self.may_try(view) else []
        if not self._may_serve(view):
            return []
        return [one for one in back_ends if view.is_usual(one.software)]

    def may_try(self, view: RolloutView) -> bool:
        """Whether the target may be tried now, for all that is known of the record."""
        return view.stage is Stage.CANARY and self._is_proved()

    def serves(self, back_end: BackEnd) -> bool:
        """Whether a back end gets requests that are no trials."""
        view = self._reader.view(back_end.service)
        return view is None or view.is_usual(back_end.software)

    def _is_proved(self) -> bool:
        return self._cluster.age_s() <= PROOF_SHARE * self._return_s()

    def _may_serve(self, view: RolloutView) -> bool:
        """Whether the versions that serve are known for sure enough."""
        if view.stage is Stage.MOVING:
            # It may have been returned; at the predecessors nobody may begin any more.
            return self._is_proved()
        if view.is_open():
            return self._cluster.age_s() <= self._return_s()
        return self._may_serve_unproved()

    def _may_serve_unproved(self) -> bool:
        """Whether there may be no rollout that this node has missed from order to end."""
        return self._cluster.age_s() <= self._return_s() or not self._is_cut_off()

    def _canary(self, view: RolloutView, back_ends: list[BackEnd]) -> list[BackEnd]:
        """Return the few engines of the target that are tried, the same on all nodes."""
        targets = [one for one in back_ends if one.software == view.target]
        num_old = sum(1 for one in back_ends if view.is_usual(one.software))
        num = max(MIN_CANARY_ENGINES, round(self._share() * num_old))
        return sorted(targets, key=lambda one: _rank(view.epoch, one.instance))[:num]


def _rank(epoch: Epoch, instance: InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{epoch}|{instance}".encode())
