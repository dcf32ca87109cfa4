"""Route table of one configuration: look-ups by host and longest path prefix, key, and service."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import (
    GatewayConfiguration,
    KeptKvStore,
    Route,
    Service,
    Tenant,
)


class RouteTable:
    """Indexes one configuration for look-ups.

    Args:
        configuration: An immutable configuration; a new one gets a new table.
    """

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._routes = {
            (route.host.lower(), route.path_prefix): route for route in configuration.routes
        }
        self._hosts = {route.host.lower() for route in configuration.routes}
        self._tenants = {key: tenant for tenant in configuration.tenants for key in tenant.keys}
        self._services = {service.name: service for service in configuration.services}

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Return whether requests of non-public routes need a key."""
        return bool(self.configuration.tenants)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path; None if none matches.

        Prefixes end with a slash, so only the parts of the path up to each of its slashes are
        tried.
        """
        host_name = host.lower()
        if host_name not in self._hosts:
            host_name = host_name.rsplit(":", 1)[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host_name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def tenant_of(self, key: str | None) -> Tenant | None:
        """Return the tenant that a key belongs to; None if there is none."""
        return None if key is None else self._tenants.get(key)

    def service(self, name: ServiceName) -> Service | None:
        """Return a declared service; None if there is none with this name."""
        return self._services.get(name)

    def kept_kv_stores(self) -> list[KeptKvStore]:
        """Return the stores of cached prompt blocks."""
        return [
            service.kept_kv for service in self._services.values() if service.kept_kv is not None
        ]
