"""Records of one run: what callers received, what back ends ran and what happened to nodes.

All times are in seconds of the experiment's clock; `at_s` is the time of recording.
"""

import enum

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    BackendName,
    ConfigurationRevision,
    EngineName,
    Incarnation,
    ModelName,
    NodeName,
    RequestId,
    ServiceName,
    TenantName,
    WeightVersion,
)
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import RefusalCode


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all records.

    Attributes:
        at_s: Time of the recorded event.
    """

    at_s: float


class GenerationSent(Record, frozen=True, tag="generation_sent"):
    """A caller sent a request for generated text.

    Attributes:
        request_id: Id of the request.
        intended_at_s: Planned send time.
        tenant: Tenant of the caller; also the salt of the cache blocks.
        model: Requested model.
        adapter: Requested adapter, or None.
        node: Node that the request was sent to.
        prompt: Canonical prompt bytes.
        max_tokens: Maximum number of tokens to generate.
        deadline_at_s: Time at which the caller gives up.
    """

    request_id: RequestId
    intended_at_s: float
    tenant: TenantName
    model: ModelName
    adapter: AdapterName | None
    node: NodeName
    prompt: bytes
    max_tokens: int
    deadline_at_s: float


class ServiceSent(Record, frozen=True, tag="service_sent"):
    """A caller sent a request to a service.

    Attributes:
        request_id: Id of the request.
        intended_at_s: Planned send time.
        tenant: Tenant of the caller.
        service: Requested service.
        node: Node that the request was sent to.
        marker: Text that the answer to this request must contain.
        repeatable: Whether the request may run more than once.
        idempotency_key: The caller's idempotency key, or None.
        deadline_at_s: Time at which the caller gives up.
    """

    request_id: RequestId
    intended_at_s: float
    tenant: TenantName
    service: ServiceName
    node: NodeName
    marker: str
    repeatable: bool
    idempotency_key: str | None
    deadline_at_s: float


class ChunkReceived(Record, frozen=True, tag="chunk_received"):
    """A caller received a chunk of its stream.

    Attributes:
        request_id: Id of the request whose stream carried the chunk.
        chunk_request_id: Request id in the chunk.
        sequence: Position of the chunk in the answer, from 0.
        text: Text of the chunk.
        num_tokens: Number of tokens in `text`.
    """

    request_id: RequestId
    chunk_request_id: RequestId
    sequence: int
    text: str
    num_tokens: int


class GenerationAnswered(Record, frozen=True, tag="generation_answered"):
    """A caller's stream ended with the normal end marker.

    Attributes:
        request_id: Id of the request.
        finish_reason: `stop` or `length`; None if the last chunk had none.
        num_prompt_tokens: Prompt tokens, as reported to the caller.
        num_cached_tokens: Prompt tokens from cache, as reported to the caller.
    """

    request_id: RequestId
    finish_reason: str | None
    num_prompt_tokens: int
    num_cached_tokens: int


class ServiceAnswered(Record, frozen=True, tag="service_answered"):
    """A caller received the whole answer of a service."""

    request_id: RequestId
    status: int
    body: bytes


class RefusalReceived(Record, frozen=True, tag="refusal_received"):
    """A caller received an explicit error before or within its stream."""

    request_id: RequestId
    code: RefusalCode
    run_status: RunStatus


class ConnectionBroke(Record, frozen=True, tag="connection_broke"):
    """A caller's connection broke or was refused, without an answer or an error of the router.

    Attributes:
        request_id: Id of the request.
        was_connected: Whether a connection was made.
    """

    request_id: RequestId
    was_connected: bool


class CallerLeft(Record, frozen=True, tag="caller_left"):
    """A caller closed its connection on purpose."""

    request_id: RequestId


class EngineRun(Record, frozen=True, tag="engine_run"):
    """An engine started to run an attempt; `at_s` is its start.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        engine: Engine that ran the attempt.
        incarnation: Incarnation of the engine.
        model: Model loaded then.
        weight_version: Weight version loaded then.
        adapter: Adapter used, or None.
        cache_salt: Salt in the seed of the block hashes.
        num_prompt_tokens: Tokens of the prompt and of the continued text.
        num_cached_tokens: Prompt tokens served from the prefix cache.
        finished_at_s: When the attempt ended; None if it still ran at the end of the experiment.
    """

    request_id: RequestId
    attempt: int
    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    adapter: AdapterName | None
    cache_salt: str
    num_prompt_tokens: int
    num_cached_tokens: int
    finished_at_s: float | None


class ServiceRun(Record, frozen=True, tag="service_run"):
    """A service back end ran a request."""

    request_id: RequestId
    backend: BackendName
    idempotency_key: str | None


class OrderTaken(Record, frozen=True, tag="order_taken"):
    """An engine executed a fenced order."""

    engine: EngineName
    incarnation: Incarnation
    order_token: int


class NodeChange(enum.Enum):
    """What happened to a node."""

    STARTED = "started"
    CRASHED = "crashed"
    PAUSED = "paused"
    RESUMED = "resumed"
    DRAIN_BEGAN = "drain_began"
    STOPPED = "stopped"
    """A planned stop ended."""
    CUT_OFF = "cut_off"
    """Its links to other zones or to the store went down."""
    REJOINED = "rejoined"
    """All its links are up again."""


class NodeChanged(Record, frozen=True, tag="node_changed"):
    """Something happened to a node."""

    node: NodeName
    change: NodeChange


class BackendChange(enum.Enum):
    """What happened to a back end."""

    LEAVING = "leaving"
    """The machine list, or the back end itself, states that it leaves."""
    RETURNED = "returned"
    """It accepts work again."""
    CRASHED = "crashed"
    """It lost all state and restarts."""


class BackendChanged(Record, frozen=True, tag="backend_changed"):
    """Something happened to an engine or to a service back end."""

    backend: str
    change: BackendChange


class StoreChanged(Record, frozen=True, tag="store_changed"):
    """The key-value service went down or is up again."""

    is_up: bool


class ConfigurationAccepted(Record, frozen=True, tag="configuration_accepted"):
    """The store accepted a configuration."""

    revision: ConfigurationRevision


class ConfigurationTaken(Record, frozen=True, tag="configuration_taken"):
    """A node put a configuration in force."""

    node: NodeName
    revision: ConfigurationRevision


Sent = GenerationSent | ServiceSent
AnyRecord = (
    GenerationSent
    | ServiceSent
    | ChunkReceived
    | GenerationAnswered
    | ServiceAnswered
    | RefusalReceived
    | ConnectionBroke
    | CallerLeft
    | EngineRun
    | ServiceRun
    | OrderTaken
    | NodeChanged
    | BackendChanged
    | StoreChanged
    | ConfigurationAccepted
    | ConfigurationTaken
)
