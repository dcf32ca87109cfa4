"""Shares a route's requests among its services by weight, evenly over short spans."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import Route, WeightedService


class TrafficSplit:
    """Smooth weighted turns: each part's share is exact over any run of requests, not by chance."""

    def __init__(self) -> None:
        self._credits: dict[str, dict[ServiceName, float]] = {}
        self._parts: dict[str, tuple[WeightedService, ...]] = {}

    def next_service(self, route: Route) -> ServiceName:
        """Return the service whose turn it is."""
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

    def forget_others(self, names: frozenset[str]) -> None:
        """Drop the state of routes that are gone."""
        for name in [name for name in self._parts if name not in names]:
            del self._parts[name], self._credits[name]
