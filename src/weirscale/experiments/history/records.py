"""Records of one run: what callers saw, what back ends ran, what happened to nodes.

All times are seconds of one clock, the experiment's; `at_s` is when the recorder saw it.
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
        at_s: When it happened.
    """

    at_s: float


class GenerationSent(Record, frozen=True, tag="generation_sent"):
    """A caller sent a request for generated text.

    Attributes:
        request_id: The request.
        intended_at_s: When the plan meant it to be sent.
        tenant: Whose request it is; also the salt of its cache blocks.
        model: The model asked for.
        adapter: The adapter asked for, or None.
        node: The node it was sent through.
        prompt: The canonical prompt bytes.
        max_tokens: Most tokens to generate.
        deadline_at_s: When the caller gives up.
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
        request_id: The request.
        intended_at_s: When the plan meant it to be sent.
        tenant: Whose request it is.
        service: The service.
        node: The node it was sent through.
        marker: Text that the whole answer to this request must contain.
        repeatable: Whether it may run more than once.
        idempotency_key: The caller's key, or None.
        deadline_at_s: When the caller gives up.
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
        request_id: The request whose stream it came on.
        chunk_request_id: The request that the chunk names.
        sequence: The chunk's place in the answer.
        text: Its text.
        num_tokens: Tokens in `text`.
    """

    request_id: RequestId
    chunk_request_id: RequestId
    sequence: int
    text: str
    num_tokens: int


class GenerationAnswered(Record, frozen=True, tag="generation_answered"):
    """A caller's stream ended with the normal end marker.

    Attributes:
        request_id: The request.
        finish_reason: `stop` or `length`; None when the last chunk had none.
        num_prompt_tokens: Prompt tokens, as told to the caller.
        num_cached_tokens: Prompt tokens from cache, as told to the caller.
    """

    request_id: RequestId
    finish_reason: str | None
    num_prompt_tokens: int
    num_cached_tokens: int


class ServiceAnswered(Record, frozen=True, tag="service_answered"):
    """A caller received a service's whole answer."""

    request_id: RequestId
    status: int
    body: bytes


class RefusalReceived(Record, frozen=True, tag="refusal_received"):
    """A caller received an explicit error, before or in its stream."""

    request_id: RequestId
    code: RefusalCode
    run_status: RunStatus


class ConnectionBroke(Record, frozen=True, tag="connection_broke"):
    """A caller's connection broke, or was refused, with no answer and no error of the router.

    Attributes:
        request_id: The request.
        was_connected: False when no connection was made.
    """

    request_id: RequestId
    was_connected: bool


class CallerLeft(Record, frozen=True, tag="caller_left"):
    """A caller closed its connection on purpose."""

    request_id: RequestId


class EngineRun(Record, frozen=True, tag="engine_run"):
    """An engine started to run an attempt; `at_s` is its start.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        engine: The engine.
        incarnation: The engine's run.
        model: The model it had loaded.
        weight_version: The version it had loaded.
        adapter: The adapter used, or None.
        cache_salt: The salt that seeded the block hashes.
        num_prompt_tokens: Prompt tokens, the continued answer not included.
        num_cached_tokens: Prompt tokens served from the prefix cache.
        finished_at_s: When it ended, None if it was cut or still ran at the end.
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
    """An engine carried out a fenced order."""

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
    """Its links to some other zone or to the store went down."""
    REJOINED = "rejoined"
    """Its links are whole again."""


class NodeChanged(Record, frozen=True, tag="node_changed"):
    """Something happened to a node."""

    node: NodeName
    change: NodeChange


class BackendChange(enum.Enum):
    """What happened to a back end."""

    LEAVING = "leaving"
    """It was put on the list of leaving machines, or said so itself."""
    RETURNED = "returned"
    """It takes work again."""
    CRASHED = "crashed"
    """It lost everything and starts anew."""


class BackendChanged(Record, frozen=True, tag="backend_changed"):
    """Something happened to an engine or to a service back end."""

    backend: str
    change: BackendChange


class StoreChanged(Record, frozen=True, tag="store_changed"):
    """The key-value service went down or came back."""

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
