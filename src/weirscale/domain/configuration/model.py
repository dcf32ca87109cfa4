"""The declared state of a deployment, as typed values.

Parsing with line numbers is in `parse`, rules over several fields in `validate`, comparison of
two states in `difference`. Durations end in `_s`; rates are per second over the whole fleet.
"""

import enum

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    BackendName,
    EngineName,
    ModelName,
    RegionName,
    ServiceName,
    TenantName,
    WeightVersion,
    ZoneName,
)


class EngineRole(enum.Enum):
    """Which phase of a request an engine serves."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of everything in the file: frozen, unknown fields are errors."""


class Region(Declared, frozen=True):
    """A region and its zones; zones of one region are near each other."""

    name: RegionName
    zones: tuple[ZoneName, ...]


class Model(Declared, frozen=True):
    """A model and the weights that must serve it.

    Attributes:
        name: What callers ask for.
        weight_version: The version that must be in force.
        adapters: Adapters that its engines must have loaded.
        min_ready_engines: Engines of it that must stay ready while a rollout goes on.
        max_concurrent_loads: Engines that may load it at once, over the fleet.
        load_timeout_s: A load that takes longer has failed.
        max_failed_loads: Failed loads of a version after which its rollout stops.
        restores_failed_engines: Whether engines that a stopped rollout left without weights load
            the version that the model served before.
    """

    name: ModelName
    weight_version: WeightVersion
    adapters: tuple[AdapterName, ...] = ()
    min_ready_engines: int = 1
    max_concurrent_loads: int = 1
    load_timeout_s: float = 300.0
    max_failed_loads: int = 2
    restores_failed_engines: bool = True


class Engine(Declared, frozen=True):
    """One model runner.

    Attributes:
        name: Unique name.
        zone: Where it stands.
        address: host:port of its HTTP interface, an IP number.
        model: The model that it must serve.
        role: Which phase it serves.
        block_size_bytes: Prompt bytes in one cache block.
        num_total_blocks: Blocks that its cache holds.
        prefill_tokens_per_s: Prompt tokens that it computes a second, as declared.
        max_concurrent_requests: Requests that a node keeps on it at once, over all nodes.
    """

    name: EngineName
    zone: ZoneName
    address: str
    model: ModelName
    role: EngineRole = EngineRole.BOTH
    block_size_bytes: int = 64
    num_total_blocks: int = 4096
    prefill_tokens_per_s: float = 8000.0
    max_concurrent_requests: int = 64


class KeptKvStore(Declared, frozen=True):
    """A store of kept KV cache."""

    name: str
    address: str
    zone: ZoneName
    bandwidth_tokens_per_s: float = 100_000.0


class ServiceRoute(Declared, frozen=True):
    """Requests of a service that share rules; the first route that matches applies.

    Attributes:
        method: HTTP method, or `*`.
        path_prefix: Matches paths that start with it.
        repeatable: Whether the service may run one request more than once.
        deadline_s: Time limit where the caller gives none.
    """

    method: str
    path_prefix: str
    repeatable: bool
    deadline_s: float = 10.0


class ServiceBackend(Declared, frozen=True):
    """One process of a service."""

    name: BackendName
    zone: ZoneName
    address: str


class Service(Declared, frozen=True):
    """A named service, reached by callers under `/services/NAME/`."""

    name: ServiceName
    backends: tuple[ServiceBackend, ...]
    routes: tuple[ServiceRoute, ...]


class Tenant(Declared, frozen=True):
    """A tenant and its limits; None means no limit.

    Attributes:
        name: Unique name; also the salt of its cache blocks.
        api_key_sha256: Lower-case hex digests of its API keys (two while a key is replaced).
        priority: Lower is served first.
        weight: Share of a saturated fleet relative to tenants of the same priority.
        requests_per_s: Rate limit over the fleet.
        burst_requests: Requests above the rate that may come at once.
        max_concurrent_requests: Concurrency limit over the fleet.
        prompt_tokens_per_s: Rate limit of prompt tokens over the fleet.
    """

    name: TenantName
    api_key_sha256: tuple[str, ...]
    priority: int = 10
    weight: float = 1.0
    requests_per_s: float | None = None
    burst_requests: int = 20
    max_concurrent_requests: int | None = None
    prompt_tokens_per_s: float | None = None


class RoutingObjective(Declared, frozen=True):
    """What the choice of engine weighs, relative to a second of the request's own waiting.

    Attributes:
        waste_weight: Weight of computing tokens again, in seconds for each second of it.
        tail_weight: Weight of queueing behind others.
        hot_prefix_load: Share of an engine's capacity one prefix may take before it is replicated.
        max_import_wait_s: Longest wait for the kept-KV store.
    """

    waste_weight: float = 0.5
    tail_weight: float = 1.0
    hot_prefix_load: float = 0.5
    max_import_wait_s: float = 0.2


class RetryRules(Declared, frozen=True):
    """Limits on sending requests again.

    Attributes:
        budget_ratio: Retries allowed as a share of first attempts.
        min_retries_per_s: Retries always allowed a second on each node.
        max_attempts: Attempts of one request, the first included.
        hedge_after_s: Start a second attempt of a repeatable request without a first chunk after
            this time; None for never.
    """

    budget_ratio: float = 0.2
    min_retries_per_s: float = 2.0
    max_attempts: int = 4
    hedge_after_s: float | None = None


class CallerLimits(Declared, frozen=True):
    """Bounds on what one caller may send."""

    max_body_bytes: int = 16 * 1024 * 1024
    max_json_depth: int = 64
    default_deadline_s: float = 60.0
    body_timeout_s: float = 10.0
    max_header_bytes: int = 32 * 1024
    max_tokens: int = 4096


MIN_LOG_LEASE_S = 3.0
"""Renewed three times within it; below, one slow answer of the service would let it lapse."""


class ClaimRules(Declared, frozen=True):
    """At-most-once claims for requests with an idempotency key.

    Attributes:
        num_holders: Replicas of the ledger, in as many zones as there are.
        retention_s: How long a key is remembered after its claim.
        log_in_store: Whether grants are logged in the key-value service as well, so that claims
            outlive the restart of all holders.
        log_lease_s: How long after the service has stopped answering grants go on without the
            log; at least MIN_LOG_LEASE_S.
        log_write_interval_s: Least time between two writes of one node to the log; what comes
            meanwhile waits and goes into one write.
    """

    num_holders: int = 3
    retention_s: float = 3600.0
    log_in_store: bool = False
    log_lease_s: float = 9.0
    log_write_interval_s: float = 0.05


class Deployment(Declared, frozen=True):
    """The whole declared state.

    Attributes:
        format: Version of this file format; 1.
        name: The deployment's name.
        regions: Regions and their zones.
        models: Models served.
        engines: Model runners.
        tenants: Tenants.
        services: Services passed through.
        kept_kv_stores: Stores of kept KV cache.
        routing: Weights of the choice of engine.
        retry: Retry limits.
        callers: Bounds on callers' input.
        claims: At-most-once claims.
        drain_timeout_s: Longest planned stop.
    """

    format: int
    name: str
    regions: tuple[Region, ...]
    models: tuple[Model, ...]
    engines: tuple[Engine, ...]
    tenants: tuple[Tenant, ...]
    services: tuple[Service, ...] = ()
    kept_kv_stores: tuple[KeptKvStore, ...] = ()
    routing: RoutingObjective = RoutingObjective()
    retry: RetryRules = RetryRules()
    callers: CallerLimits = CallerLimits()
    claims: ClaimRules = ClaimRules()
    drain_timeout_s: float = 120.0
