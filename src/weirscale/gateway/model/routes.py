"""The route table of one configuration: host and longest path prefix, keys, services."""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import (
    GatewayConfiguration,
    KeptKvStore,
    Route,
    Service,
    Tenant,
)


class RouteTable:
    """Look-ups over one configuration.

    Args:
        configuration: Never changed afterwards; a new configuration gets a new table.
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
        """The configuration's version."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Whether requests of routes that are not public need a key."""
        return bool(self.configuration.tenants)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host whose prefix is the longest that begins the path.

        Prefixes end with a slash, so only the path's own slashes need to be tried.
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
        """Return the tenant that holds a key."""
        return None if key is None else self._tenants.get(key)

    def service(self, name: ServiceName) -> Service | None:
        """Return a declared service."""
        return self._services.get(name)

    def kept_kv_stores(self) -> list[KeptKvStore]:
        """Return the stores of cached prompt blocks."""
        return [one.kept_kv for one in self._services.values() if one.kept_kv is not None]
