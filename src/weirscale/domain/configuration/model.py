"""The declared state of a deployment, as typed values.

The field names are those of the configuration file. `parse` reads the file with line numbers,
`validate` checks rules over several fields, `difference` compares two states. Names of durations
end in `_s`; rates are per second over the whole fleet.
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
    """Phases of a request that an engine serves."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all types in the file: immutable; unknown fields are errors."""


class Region(Declared, frozen=True):
    """A region and its zones; zones of one region have short network delays to each other."""

    name: RegionName
    zones: tuple[ZoneName, ...]


class Model(Declared, frozen=True):
    """A model and the weights that must serve it.

    Attributes:
        name: Model name in callers' requests.
        weight_version: Weight version that the engines must serve.
        adapters: Adapters that the model's engines must have loaded.
        min_ready_engines: Engines of the model that must stay ready during a rollout.
        max_concurrent_loads: Engines of the fleet that may load the model at the same time.
        load_timeout_s: Time after which a load counts as failed.
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
    """One engine (model runner).

    Attributes:
        name: Unique name.
        zone: Zone in which the engine runs.
        address: IP:port of the engine's HTTP interface.
        model: The model that the engine must serve.
        role: Phases of a request that the engine serves.
        block_size_bytes: Prompt bytes in one cache block.
        num_total_blocks: Capacity of the engine's cache in blocks.
        prefill_tokens_per_s: Declared prefill speed in prompt tokens per second.
        max_concurrent_requests: Limit on the engine's concurrent requests, counted over all nodes.
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
    """A store to which engines export KV cache blocks, and from which they import them."""

    name: str
    address: str
    zone: ZoneName
    bandwidth_tokens_per_s: float = 100_000.0


class ServiceRoute(Declared, frozen=True):
    """Rules for a group of a service's requests; the first matching route applies.

    Attributes:
        method: HTTP method, or `*` for all.
        path_prefix: Prefix of the matching paths.
        repeatable: Whether the service may run one request more than once.
        deadline_s: Time limit of requests without a deadline from the caller.
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
        name: Unique name; also the salt of the tenant's cache blocks.
        api_key_sha256: Lower-case hex SHA-256 digests of the tenant's API keys; two during a key
            rotation.
        priority: Tenants with a lower number are served first.
        weight: Share of a saturated fleet relative to tenants of the same priority.
        requests_per_s: Rate limit over the fleet.
        burst_requests: Burst above the rate limit, in requests.
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
    """Weights of the costs in the choice of an engine.

    A weight of 1 makes one second of that cost count as one second of prefill for the request.

    Attributes:
        waste_weight: Weight of the time that engines spend on recomputing cached tokens.
        tail_weight: Weight of the time in the queue behind other requests.
        hot_prefix_load: Share of an engine's capacity that requests with one prefix may use before
            the prefix is replicated on other engines.
        max_import_wait_s: Longest wait for an import from a kept-KV store.
    """

    waste_weight: float = 0.5
    tail_weight: float = 1.0
    hot_prefix_load: float = 0.5
    max_import_wait_s: float = 0.2


class RetryRules(Declared, frozen=True):
    """Limits on retries.

    Attributes:
        budget_ratio: Retries allowed as a share of first attempts.
        min_retries_per_s: Retries per second that each node may always send.
        max_attempts: Attempts of one request, including the first.
        hedge_after_s: Time without a first chunk after which a repeatable request gets a second,
            parallel attempt (hedging); None disables hedging.
    """

    budget_ratio: float = 0.2
    min_retries_per_s: float = 2.0
    max_attempts: int = 4
    hedge_after_s: float | None = None


class CallerLimits(Declared, frozen=True):
    """Limits on callers' requests."""

    max_body_bytes: int = 16 * 1024 * 1024
    max_json_depth: int = 64
    default_deadline_s: float = 60.0
    body_timeout_s: float = 10.0
    max_header_bytes: int = 32 * 1024
    max_tokens: int = 4096


MIN_LOG_LEASE_S = 3.0
"""The lease is renewed three times within its duration. If it were shorter, one slow answer of the
key-value service would let it expire."""


class ClaimRules(Declared, frozen=True):
    """At-most-once claims for requests with an idempotency key.

    Attributes:
        num_holders: Replicas of the ledger, spread over as many zones as possible.
        retention_s: Time for which a key is kept after its claim.
        log_in_store: Whether grants are also logged in the key-value service, so that claims
            survive a restart of all holders.
        log_lease_s: Time after the key-value service stops answering until grants continue
            without the log; at least MIN_LOG_LEASE_S.
        log_write_interval_s: Minimum time between two writes of one node to the log; claims that
            arrive in between are batched into the next write.
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
        engines: Engines that serve the models.
        tenants: Tenants.
        services: Services whose requests are proxied.
        kept_kv_stores: Stores of exported KV cache blocks.
        routing: Weights of the choice of engine.
        retry: Limits on retries.
        callers: Limits on callers' requests.
        claims: At-most-once claims.
        drain_timeout_s: Longest time that a planned stop waits for running requests.
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
