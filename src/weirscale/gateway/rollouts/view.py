"""What this node knows of a service's rollout: the record, or the order and the status without it.

Owns the decoded records; relies on `ClusterState` for records, orders and statuses.
"""

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder, RolloutState
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, decode_record, record_key
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog


class RolloutView(msgspec.Struct, frozen=True):
    """What a node knows of a service's rollout.

    Attributes:
        epoch: The order that it is about.
        target: The order's target.
        stage: How far it is, or None before anybody began it.
        unusable: Versions that must not be used.
        target_serves: Whether the target served before its order, so that it needs no canary.
        is_end_from_status: Whether its end is known from the status alone: which versions it
            replaced is not known any more.
    """

    epoch: Epoch
    target: SoftwareVersion
    stage: Stage | None
    unusable: frozenset[SoftwareVersion]
    target_serves: bool = False
    is_end_from_status: bool = False

    def is_open(self) -> bool:
        """Whether the rollout has not ended."""
        return self.stage not in (Stage.COMPLETED, Stage.ROLLED_BACK)

    def is_stable(self, version: SoftwareVersion) -> bool:
        """Whether a version serves requests of the stable track."""
        if version == self.target:
            return self.target_serves or self.stage in (Stage.MOVING, Stage.COMPLETED)
        if self.stage is Stage.MOVING or (
            self.is_end_from_status and self.stage is Stage.COMPLETED
        ):
            return False
        return version not in self.unusable


class RecordReader:
    """Reads the records of rollouts; each value is decoded once.

    Args:
        cluster: Where records and orders are known.
        event_log: Logs records that cannot be read.
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
                # Its order has been withdrawn: it gets no canary any more.
                return msgspec.structs.replace(view, stage=Stage.ROLLED_BACK)
            return view
        if order is None:
            return None
        end = self._end_by_status(order)
        return RolloutView(
            order.epoch,
            order.target,
            end,
            unusable_after(record, order),
            end is None and self._serves_already(order, record),
            is_end_from_status=end is not None,
        )

    def open_view(self, service: ServiceName) -> RolloutView | None:
        """Return what is known of a rollout that has not ended; None without one."""
        if not self._cluster.rollouts.orders:
            return None
        view = self.view(service)
        return view if view is not None and view.is_open() else None

    def _serves_already(self, order: RolloutOrder, record: RolloutRecord | None) -> bool:
        """Whether an order's target served before it, so that it needs no canary."""
        if record is not None:
            return _served_under(record, order.target)
        if not order.predates_node:
            return order.served_before
        # This node did not see what served before the order: what serves alone must have.
        found = {one.software for one in self._cluster.directory.of_service(order.service)}
        return found == {order.target}

    def _end_by_status(self, order: RolloutOrder) -> Stage | None:
        """Return the end that the status shows of an order whose record is gone."""
        seen = self._cluster.rollouts.status_of(order.service)
        if seen is None or seen.revision < order.epoch or seen.status.target != order.target:
            return None
        return _END_STAGES.get(seen.status.state)


_END_STAGES = {
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.ROLLED_BACK: Stage.ROLLED_BACK,
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
