"""Shares a route's requests among its services by weight."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import Route, WeightedService


class TrafficSplit:
    """Smooth weighted round robin over the services of each route.

    Each service's share holds over any series of this node's requests, not by chance. Each request
    adds every service's weight to its credit; the one with most credit gets the request and pays
    the sum of the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}
        self._known: dict[str, tuple[WeightedService, ...]] = {}

    def next_service(self, route: Route) -> ServiceName:
        """Return the service whose turn it is."""
        if len(route.parts) == 1:
            return route.parts[0].service
        if self._known.get(route.name) != route.parts:
            self._known[route.name] = route.parts
            self._credits[route.name] = {part.service: 0.0 for part in route.parts}
        credits = self._credits[route.name]
        total = 0.0
        for part in route.parts:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        return chosen
