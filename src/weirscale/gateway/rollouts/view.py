"""The state of a service's rollout as this node knows it.

It follows from the record or, without a record, from the order and the status. Owns the decoded
records; `ClusterState` provides the encoded records, the orders and the statuses.
"""

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder, RolloutState
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, decode_record, record_key
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog


class RolloutView(msgspec.Struct, frozen=True):
    """State of a service's rollout.

    Attributes:
        epoch: Epoch of the order.
        target: Target version of the order.
        stage: Current stage, or None if no node has started the rollout.
        unusable: Versions that must not be used.
        target_served_before: Whether the target served before its order, so that it needs no
            canary.
        is_end_from_status: Whether the final stage is known from the status alone. The replaced
            versions are then no longer known.
    """

    epoch: Epoch
    target: SoftwareVersion
    stage: Stage | None
    unusable: frozenset[SoftwareVersion]
    target_served_before: bool = False
    is_end_from_status: bool = False

    def is_open(self) -> bool:
        """Return whether the rollout has not ended."""
        return self.stage not in (Stage.COMPLETED, Stage.ROLLED_BACK)

    def is_replaced(self, version: SoftwareVersion) -> bool:
        """Return whether a version still runs but gets no new requests, since traffic moves."""
        return (
            self.stage is Stage.MOVING and version != self.target and version not in self.unusable
        )

    def is_stable(self, version: SoftwareVersion) -> bool:
        """Return whether a version serves requests of the stable track."""
        if version == self.target:
            return self.target_served_before or self.stage in (Stage.MOVING, Stage.COMPLETED)
        if self.stage is Stage.MOVING or (
            self.is_end_from_status and self.stage is Stage.COMPLETED
        ):
            return False
        return version not in self.unusable


class RecordReader:
    """Reads the records of rollouts; decodes each value once.

    Args:
        cluster: Holds records, orders and statuses.
        event_log: Logs records that cannot be decoded.
    """

    def __init__(self, cluster: ClusterState, event_log: EventLog) -> None:
        self._cluster = cluster
        self._event_log = event_log
        self._decoded: dict[ServiceName, tuple[bytes, RolloutRecord | None]] = {}

    def record(self, service: ServiceName) -> RolloutRecord | None:
        """Return the latest record of a service, of its current order or an earlier one."""
        value = self._cluster.records.get(record_key(service))
        if value is None:
            return None
        cached = self._decoded.get(service)
        if cached is None or cached[0] != value:
            cached = (value, decode_record(value))
            self._decoded[service] = cached
            if cached[1] is None:
                self._event_log.event(
                    "rollout_record_unreadable", service=service,
                    remedy="delete the record in the store; the rollout then starts over",
                )  # fmt: skip
        return cached[1]

    def view(self, service: ServiceName) -> RolloutView | None:
        """Return the state of a service's latest rollout; None if there was never one."""
        order = self._cluster.rollouts.orders.get(service)
        record = self.record(service)
        if record is not None and (order is None or record.epoch >= order.epoch):
            view = view_of(record)
            if order is None and view.is_open():
                # The order was withdrawn, so the target must get no canary requests.
                return msgspec.structs.replace(view, stage=Stage.ROLLED_BACK)
            return view
        if order is None:
            return None
        end = self._end_from_status(order)
        return RolloutView(
            order.epoch,
            order.target,
            end,
            unusable_after(record, order),
            end is None and self._served_before(order, record),
            is_end_from_status=end is not None,
        )

    def open_view(self, service: ServiceName) -> RolloutView | None:
        """Return the state of a service's rollout if it has not ended, else None."""
        if not self._cluster.rollouts.orders:
            return None
        view = self.view(service)
        return view if view is not None and view.is_open() else None

    def _served_before(self, order: RolloutOrder, record: RolloutRecord | None) -> bool:
        """Return whether an order's target served before the order, so that it needs no canary."""
        if record is not None:
            return _was_serving(record, order.target)
        if not order.predates_node:
            return order.served_before
        # This node started after the order. A target that is the only version must have served.
        versions = {
            back_end.software for back_end in self._cluster.directory.of_service(order.service)
        }
        return versions == {order.target}

    def _end_from_status(self, order: RolloutOrder) -> Stage | None:
        """Return the final stage that the status shows for an order whose record is gone."""
        stored = self._cluster.rollouts.status_of(order.service)
        if stored is None or stored.revision < order.epoch or stored.status.target != order.target:
            return None
        return _STAGE_OF_END_STATE.get(stored.status.state)


_STAGE_OF_END_STATE = {
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.ROLLED_BACK: Stage.ROLLED_BACK,
}


def view_of(record: RolloutRecord) -> RolloutView:
    """Return the state that a record describes."""
    return RolloutView(record.epoch, record.target, record.stage, frozenset(record.unusable))


def _was_serving(record: RolloutRecord, version: SoftwareVersion) -> bool:
    """Return whether a version served under an earlier order, or would after its rollback."""
    if record.stage is Stage.COMPLETED:
        return version == record.target
    return version in record.predecessors and version not in record.unusable


def unusable_after(record: RolloutRecord | None, order: RolloutOrder) -> frozenset[SoftwareVersion]:
    """Return the versions that must not be used once a new order follows a record.

    The earlier target is no longer used, unless its rollout was completed or it is ordered again.
    """
    if record is None:
        return frozenset()
    unusable = set(record.unusable)
    if record.stage is not Stage.COMPLETED:
        unusable.add(record.target)
    return frozenset(unusable - {order.target})
