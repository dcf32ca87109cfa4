"""This node's copy of rollout orders and statuses; `ClusterState` is the only writer."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import RolloutOrder, RolloutStatus, VersionedStatus


class RolloutRegistry:
    """Stores orders and statuses by service."""

    def __init__(self) -> None:
        self.orders: dict[ServiceName, RolloutOrder] = {}
        self.statuses: dict[ServiceName, VersionedStatus] = {}
        self._order_keys: dict[str, ServiceName] = {}

    def put_order(self, key: str, order: RolloutOrder) -> None:
        """Store an order in place of the service's previous one."""
        self._order_keys[key] = order.service
        self.orders[order.service] = order

    def withdraw(self, key: str) -> RolloutOrder | None:
        """Remove the order under a key, and return it."""
        service = self._order_keys.pop(key, None)
        return None if service is None else self.orders.pop(service, None)

    def order_keys(self) -> tuple[str, ...]:
        """Return the keys of all orders."""
        return tuple(self._order_keys)

    def put_status(self, status: RolloutStatus, revision: int) -> None:
        """Store a status and the revision at which it was written."""
        self.statuses[status.service] = VersionedStatus(status, revision)

    def status_of(self, service: ServiceName) -> VersionedStatus | None:
        """Return the status of a service's rollout."""
        return self.statuses.get(service)
