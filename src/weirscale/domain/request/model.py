"""Requests inside the router, independent of the protocol by which they arrived."""

import enum
from collections.abc import Mapping

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    ModelName,
    RequestId,
    ServiceName,
    TenantName,
)


class RunStatus(enum.Enum):
    """Whether a back end ran a request."""

    NOT_RUN = "not_run"
    """It is proved that no back end has started or will start work on the request."""
    RAN = "ran"
    """A back end answered the request."""
    UNKNOWN = "unknown"
    """The request may have run; only the caller can find out."""


class GenerationRequest(msgspec.Struct, frozen=True):
    """A caller's request for generated text.

    Attributes:
        request_id: Unique id, given by the caller or created by the node.
        tenant: The tenant of the request's API key.
        model: The requested model.
        adapter: Adapter of the model, or None for the base model.
        prompt: The canonical prompt bytes (see `weirscale.domain.prefix.prompt`).
        body: The OpenAI-shaped body, passed on to the engine.
        path: `/v1/chat/completions` or `/v1/completions`.
        max_tokens: Maximum number of tokens to generate.
        priority: Lower is served first, as in vLLM.
        deadline_s: Time, on the node's monotonic clock, at which the caller gives up.
        repeatable: Whether the request may run more than once.
        idempotency_key: The caller's key, or None.
        streamed: Whether the caller wants server-sent events.
    """

    request_id: RequestId
    tenant: TenantName
    model: ModelName
    adapter: AdapterName | None
    prompt: bytes
    body: dict[str, object]
    path: str
    max_tokens: int
    priority: int
    deadline_s: float
    repeatable: bool
    idempotency_key: str | None
    streamed: bool


class ServiceRequest(msgspec.Struct, frozen=True):
    """A caller's request to a named service, passed through unchanged.

    Attributes:
        request_id: Unique id, given by the caller or created by the node.
        tenant: The tenant of the request's API key.
        service: The service's name in the configuration.
        method: HTTP method.
        path: Path and query below the service's root, with a leading slash.
        headers: Headers to pass on, lower-case names.
        body: The complete body.
        deadline_s: Time, on the node's monotonic clock, at which the caller gives up.
        repeatable: Whether the request may run more than once.
        idempotency_key: The caller's key, or None.
        priority: Lower is served first.
    """

    request_id: RequestId
    tenant: TenantName
    service: ServiceName
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline_s: float
    repeatable: bool
    idempotency_key: str | None
    priority: int


class ServiceResponse(msgspec.Struct, frozen=True):
    """A service's complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class TokenChunk(msgspec.Struct, frozen=True, gc=False):
    """A piece of a generated answer.

    Attributes:
        request_id: The request that the chunk belongs to.
        sequence: Position of the chunk in its answer, starting at 0.
        text: The generated text.
        num_tokens: Tokens in `text`.
        finish_reason: `stop` or `length` on the last chunk, else None.
        num_prompt_tokens: On the last chunk, the number of prompt tokens.
        num_cached_tokens: On the last chunk, the prompt tokens served from the prefix cache.
    """

    request_id: RequestId
    sequence: int
    text: str
    num_tokens: int
    finish_reason: str | None = None
    num_prompt_tokens: int = 0
    num_cached_tokens: int = 0
