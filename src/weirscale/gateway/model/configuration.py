"""The gateway's configuration: an immutable value that is replaced as a whole.

It travels between nodes: its field names and enumeration values are names of the wire
(`ports.state_feed` says how one is renamed).
"""

import enum

import msgspec

from weirscale.domain.identifiers import ServiceName, TenantName, ZoneName
from weirscale.gateway.model.identifiers import Address

DEFAULT_HEALTH_PATH = "/healthz"


class RequestKind(enum.Enum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""
    MUTATING = "mutating"
    """Runs at most once."""
    STREAMING = "streaming"
    """Answers with a series of events; runs at most once unless its route is resumable."""


class WeightedService(msgspec.Struct, frozen=True):
    """One part of a route's traffic."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and what is promised for them.

    Attributes:
        name: Unique name.
        host: Host header that it matches, without a port.
        path_prefix: Begins and ends with a slash.
        kind: How its requests may be retried.
        parts: Services that share the traffic by weight; at least one.
        timeout_s: Longest time that a request may be held.
        objective_s: Time to the answer, or to a stream's first event, that earns full credit.
        priority: 0 is the most urgent.
        max_attempts: Back ends that one request may be sent to.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may be taken up by another back end.
        max_pause_s: Longest pause between a stream's events that keeps it in time.
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
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


class EngineProfile(msgspec.Struct, frozen=True):
    """What the engines of a model service have.

    Attributes:
        slots: Requests that an engine works on at once.
        cache_tokens: Tokens that fit into an engine's memory.
        models: Names of the models served.
    """

    slots: int
    cache_tokens: int
    models: tuple[str, ...] = ()


class KeptKvStore(msgspec.Struct, frozen=True):
    """A store of cached prompt blocks outside the engines.

    Attributes:
        address: IP:PORT that engines reach it at.
        zone: Where it stands.
        capacity_tokens: Tokens that it keeps.
    """

    address: Address
    zone: ZoneName
    capacity_tokens: int


class Service(msgspec.Struct, frozen=True, rename={"kept_kv": "kept_cache"}):
    """A service that routes may name, or a store of cached prompt blocks.

    Attributes:
        name: Unique name.
        health_path: Path of its back ends' health check.
        max_connections: Connections that one of its back ends accepts from all nodes together.
        engine: What its engines have; None for a service without a model.
        kept_kv: The store, if it is one; `kept_cache` between nodes.
    """

    name: ServiceName
    health_path: str = DEFAULT_HEALTH_PATH
    max_connections: int = 100
    engine: EngineProfile | None = None
    kept_kv: KeptKvStore | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers may send and how long their connections may be unused.

    Attributes:
        max_header_bytes: Size of a request's head. Not in force: the server's limit is fixed
            (`ports.http_server`).
        max_body_bytes: Size of a request's body; a larger one is refused.
        header_timeout_s: Time for a whole request head; a slower one is refused.
        idle_timeout_s: Time without a request on an open connection, which then is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True):
    """What a tenant may spend, over all nodes together.

    Attributes:
        rate_per_s: Units a second; above 0.
        burst: Units on top, at once.
        unit: What counts.
        unnamed_tokens: What a request costs that does not name its tokens, if tokens count.
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
        priority: Goes before the route's where given; 0 is the most urgent.
        is_isolated: Whether it shares no cached prompt block with other tenants.
        quota: What it may spend, or None for no limit.
    """

    name: TenantName
    keys: tuple[str, ...]
    priority: int | None = None
    is_isolated: bool = False
    quota: Quota | None = None


class GatewayConfiguration(msgspec.Struct, frozen=True):
    """All that operators declare; applied as a whole, only ever to a higher version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    tenants: tuple[Tenant, ...] = ()
