"""Weighted distribution of a route's requests among its services."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import Route, WeightedService


class TrafficSplit:
    """Smooth weighted round robin over the services of each route.

    Shares are exact over any sequence of this node's requests, not only on average. Each request
    adds every service's weight to its credit. The service with the most credit gets the request,
    and its credit is reduced by the sum of the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}
        self._parts: dict[str, tuple[WeightedService, ...]] = {}

    def next_service(self, route: Route) -> ServiceName:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        if self._parts.get(route.name) != route.parts:
            self._parts[route.name] = route.parts
            self._credits[route.name] = {part.service: 0.0 for part in route.parts}
        credits = self._credits[route.name]
        total = 0.0
        for part in route.parts:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        return chosen
