"""Interface to a model engine. Adapters: `engine_http` and the stand-in's in-process engine."""

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec
from result import Result

from weirscale.domain.identifiers import (
    AdapterName,
    Incarnation,
    ModelName,
    RequestId,
    WeightVersion,
)
from weirscale.domain.request.model import TokenChunk
from weirscale.messages.cache import CacheDump, CacheEventBatch, LoadReport


class EngineFailureKind(enum.Enum):
    """How a call to an engine failed."""

    UNREACHABLE = "unreachable"
    """No connection was made, so nothing ran."""
    REFUSED_BUSY = "refused_busy"
    """The engine has no capacity and did not run the request."""
    REFUSED_MISMATCH = "refused_mismatch"
    """Incarnation, model, version or adapter differ from the expected; the request was not run."""
    REFUSED_LEAVING = "refused_leaving"
    """The engine is stopping and did not run the request."""
    REFUSED_INVALID = "refused_invalid"
    """The request is invalid for any engine; it was not run."""
    REFUSED_STALE_ORDER = "refused_stale_order"
    """The engine has seen a newer order and did not carry out this one."""
    NOT_FOUND = "not_found"
    """The engine has no such request (resume, cancel) or sequence (events)."""
    BROKEN = "broken"
    """The connection broke after the request was sent; the request may have run."""
    TIMED_OUT = "timed_out"
    """No answer within the timeout; the request may have run."""
    CORRUPT = "corrupt"
    """The answer does not parse or does not belong to the request."""


PROVABLY_NOT_RUN = frozenset(
    {
        EngineFailureKind.UNREACHABLE,
        EngineFailureKind.REFUSED_BUSY,
        EngineFailureKind.REFUSED_MISMATCH,
        EngineFailureKind.REFUSED_LEAVING,
        EngineFailureKind.REFUSED_INVALID,
    }
)
"""Failures that prove that the request did not run."""


class EngineFailure(msgspec.Struct, frozen=True):
    """A failed call to an engine.

    Attributes:
        kind: How it failed.
        detail: One line for logs, with the remedy if there is one.
        retry_after_s: When to retry, as the engine suggests, or None.
    """

    kind: EngineFailureKind
    detail: str
    retry_after_s: float | None = None

    @property
    def provably_not_run(self) -> bool:
        """Whether the failure proves that the request did not run."""
        return self.kind in PROVABLY_NOT_RUN


class GenerateCall(msgspec.Struct, frozen=True):
    """One attempt at a request on one engine.

    Attributes:
        request_id: Id of the caller's request, the same for every attempt.
        attempt: Number of the attempt, from 0; with request_id it identifies the engine's work.
        path: `/v1/chat/completions` or `/v1/completions`.
        body: Body of the caller's request, in OpenAI's format.
        prompt: Canonical prompt bytes.
        max_tokens: Maximum tokens of the answer, counted from its start.
        priority: Lower is served first.
        time_left_s: Seconds until the caller's deadline; the engine then drops the work.
        cache_salt: Seed of the block hashes, so that tenants never share blocks (as in vLLM).
        model: Model expected to be loaded.
        adapter: Adapter expected to be loaded, or None.
        expected_incarnation: Run of the engine that must serve the request, or None for any.
        expected_weight_version: Version of weights that must serve it, or None for any.
        continue_text: Answer text already sent to the caller by an earlier attempt.
        continue_sequence: Sequence number of the next chunk that the caller needs.
        continue_num_tokens: Number of tokens in `continue_text`.
        kept_kv_store: Address of a kept-KV store to import the prefix from, or None.
        kept_kv_block_hash: Hash of the last block of the prefix to import, or None.
    """

    request_id: RequestId
    attempt: int
    path: str
    body: dict[str, object]
    prompt: bytes
    max_tokens: int
    priority: int
    time_left_s: float
    cache_salt: str
    model: ModelName
    adapter: AdapterName | None
    expected_incarnation: Incarnation | None
    expected_weight_version: WeightVersion | None
    continue_text: str = ""
    continue_sequence: int = 0
    continue_num_tokens: int = 0
    kept_kv_store: str | None = None
    kept_kv_block_hash: int | None = None


class LoadModel(msgspec.Struct, frozen=True, tag="load_model"):
    """Load a model at a version and drop the model loaded before."""

    model: ModelName
    weight_version: WeightVersion


class LoadAdapter(msgspec.Struct, frozen=True, tag="load_adapter"):
    """Load an adapter of the loaded model."""

    adapter: AdapterName


class UnloadAdapter(msgspec.Struct, frozen=True, tag="unload_adapter"):
    """Unload an adapter."""

    adapter: AdapterName


class ChangeRole(msgspec.Struct, frozen=True, tag="change_role"):
    """Change the engine's role to `prefill`, `decode` or `both`."""

    role: str


OrderAction = LoadModel | LoadAdapter | UnloadAdapter | ChangeRole


class EngineOrder(msgspec.Struct, frozen=True):
    """A fenced order: an engine that has seen a higher token refuses it.

    Attributes:
        token: Fencing token; increases with each order of the deployment.
        action: What the engine must do.
        expected_incarnation: The run that the order is for, or None for any. Another run answers
            REFUSED_MISMATCH and does nothing. An engine forgets the tokens it has seen when it
            restarts; this keeps a late order from taking effect after a restart.
    """

    token: int
    action: OrderAction
    expected_incarnation: Incarnation | None = None


ChunkOrFailure = Result[TokenChunk, EngineFailure]


def num_ready_chunks(chunks: AsyncIterator[ChunkOrFailure]) -> int:
    """Return how many chunks an iterator can return without waiting.

    This is its attribute `num_ready`; 0 for iterators without that attribute.
    """
    num_ready: int = getattr(chunks, "num_ready", 0)
    return num_ready


class EnginePort(Protocol):
    """Operations of one engine."""

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Start one attempt and stream its chunks.

        The iterator yields Ok chunks and ends after the chunk with a finish reason, or yields one
        Err and ends. The wait for a chunk may be unlimited, so the caller must limit it. Leaving
        the context early closes the connection; it does not cancel the attempt.
        """
        ...

    def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Stream an attempt's chunks again from a sequence number; NOT_FOUND if none are kept."""
        ...

    async def cancel(self, request_id: RequestId, attempt: int) -> Result[None, EngineFailure]:
        """Stop an attempt's work."""
        ...

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report."""
        ...

    def cache_events(
        self, incarnation: Incarnation | None, after_sequence: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[CacheEventBatch, EngineFailure]]]:
        """Follow cache events after a sequence number.

        NOT_FOUND if the engine no longer keeps the next event.
        """
        ...

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read all blocks in the engine's cache."""
        ...

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Send a fenced order; Ok means accepted, and the load report shows when it is done."""
        ...
