"""The gateway's configuration: an immutable value that is replaced as a whole.

It is sent between nodes: its field names and enumeration values are part of the protocol
(`ports.state_feed` describes how to rename one).
"""

import enum

import msgspec

from weirscale.domain.identifiers import ServiceName, TenantName, ZoneName
from weirscale.gateway.model.identifiers import Address

DEFAULT_HEALTH_PATH = "/healthz"
UNDECLARED_HEALTH_PATH = "/"
"""Path of the health check for a back end whose service is not declared."""


class RequestKind(enum.Enum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""
    MUTATING = "mutating"
    """Runs at most once."""
    STREAMING = "streaming"
    """Answered by a stream of events; runs at most once unless its route is resumable."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's traffic."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Destination and service objectives of the requests of one host and path prefix.

    Attributes:
        name: Unique name.
        host: Host header that it matches, without a port.
        path_prefix: Begins and ends with a slash.
        kind: How its requests may be retried.
        parts: Services that share the traffic by weight; at least one.
        timeout_s: Maximum time that the gateway may take for a request.
        objective_s: Maximum time to the answer, or to a stream's first event, for a request to meet
            its objective in full.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of back ends that one request may be sent to.
        is_public: Whether requests need no key.
        is_resumable: Whether another back end may continue a stream.
        max_pause_s: Maximum pause between the events of a stream that meets its objective.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    parts: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    max_pause_s: float | None = None

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineProfile(msgspec.Struct, frozen=True):
    """Capacity and models of a model service's engines.

    Attributes:
        slots: Maximum number of requests that an engine processes concurrently.
        cache_tokens: Number of tokens that fit into an engine's cache.
        models: Names of the models served.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()


class KeptKvStore(msgspec.Struct, frozen=True):
    """A store of cached prompt blocks (KV cache) outside the engines.

    Attributes:
        address: IP:PORT at which engines reach it.
        zone: The zone that it runs in.
        capacity_tokens: Number of tokens that it can store.
    """

    address: Address
    zone: ZoneName
    capacity_tokens: int


class Service(msgspec.Struct, frozen=True, rename={"kept_kv": "kept_cache"}):
    """A service that routes may refer to, or a store of cached prompt blocks.

    Attributes:
        name: Unique name.
        health_path: Path of its back ends' health check.
        max_connections: Maximum number of connections that one of its back ends accepts from all
            nodes together.
        engine: Profile of its engines; None for a service without a model.
        kept_kv: The store of cached prompt blocks, or None; encoded as `kept_cache`.
    """

    name: ServiceName
    health_path: str = DEFAULT_HEALTH_PATH
    max_connections: int = 100
    engine: EngineProfile | None = None
    kept_kv: KeptKvStore | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests and idle connections.

    Attributes:
        max_header_bytes: Maximum size of a request's head. Not enforced: the server's limit is
            fixed (`ports.http_server`).
        max_body_bytes: Maximum size of a request's body; larger ones are refused.
        header_timeout_s: Maximum time to receive a complete request head; slower ones are refused.
        idle_timeout_s: Time without a request after which an open connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class QuotaUnit(enum.Enum):
    """The unit that a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True):
    """Token bucket of a tenant, shared by all nodes.

    Attributes:
        rate_per_s: Units per second; greater than 0.
        burst: Additional units that may be spent at once.
        unit: The unit that is counted.
        unnamed_tokens: Cost of a request that does not state its number of tokens, if tokens are
            counted.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    unnamed_tokens: int = 0


class Tenant(msgspec.Struct, frozen=True):
    """A tenant and its keys.

    Attributes:
        name: Unique name.
        keys: API keys that belong to it.
        priority: Overrides the route's priority if given; 0 is the most urgent.
        is_isolated: Whether it shares no cached prompt blocks with other tenants.
        quota: The tenant's quota, or None for no limit.
    """

    name: TenantName
    keys: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False
    quota: Quota | None = None


class GatewayConfiguration(msgspec.Struct, frozen=True):
    """Everything that operators declare; replaced as a whole, and only by a higher version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    tenants: tuple[Tenant, ...] = ()
