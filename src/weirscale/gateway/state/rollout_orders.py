"""The orders and statuses of rollouts as a node knows them; `ClusterState` is the only writer."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import RolloutOrder, RolloutStatus, SeenStatus


class RolloutBook:
    """Orders and statuses by service."""

    def __init__(self) -> None:
        self.orders: dict[ServiceName, RolloutOrder] = {}
        self.statuses: dict[ServiceName, SeenStatus] = {}
        self._order_keys: dict[str, ServiceName] = {}

    def put_order(self, key: str, order: RolloutOrder) -> None:
        """Take an order; a later one replaces it."""
        self._order_keys[key] = order.service
        self.orders[order.service] = order

    def withdraw(self, key: str) -> RolloutOrder | None:
        """Forget the order under a key; returns it."""
        service = self._order_keys.pop(key, None)
        return None if service is None else self.orders.pop(service, None)

    def order_keys(self) -> tuple[str, ...]:
        """Return the keys of all orders."""
        return tuple(self._order_keys)

    def put_status(self, status: RolloutStatus, revision: int) -> None:
        """Take a status as it stands."""
        self.statuses[status.service] = SeenStatus(status, revision)

    def status_of(self, service: ServiceName) -> SeenStatus | None:
        """Return the status of a service's rollout."""
        return self.statuses.get(service)
