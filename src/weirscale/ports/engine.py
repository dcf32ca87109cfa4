"""Interface to a model engine. Adapters: `engine_http` (real) and the stand-in's in-process one."""

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
    """The engine said that it is full and did not run the request."""
    REFUSED_MISMATCH = "refused_mismatch"
    """Other incarnation, model, version or adapter than expected; the engine did not run it."""
    REFUSED_LEAVING = "refused_leaving"
    """The engine is stopping and did not run the request."""
    REFUSED_INVALID = "refused_invalid"
    """The engine rejected the request itself; another engine would too. Not run."""
    REFUSED_STALE_ORDER = "refused_stale_order"
    """A newer order has been seen; this one was not carried out."""
    NOT_FOUND = "not_found"
    """The engine does not know the request (resume, cancel) or the sequence (events)."""
    BROKEN = "broken"
    """The connection broke after the request was sent: it may have run."""
    TIMED_OUT = "timed_out"
    """No answer in time: it may have run."""
    CORRUPT = "corrupt"
    """The engine answered what does not parse or does not belong to the request."""


PROVABLY_NOT_RUN = frozenset(
    {
        EngineFailureKind.UNREACHABLE,
        EngineFailureKind.REFUSED_BUSY,
        EngineFailureKind.REFUSED_MISMATCH,
        EngineFailureKind.REFUSED_LEAVING,
        EngineFailureKind.REFUSED_INVALID,
    }
)
"""Failures after which a request has certainly not run."""


class EngineFailure(msgspec.Struct, frozen=True):
    """A failed call to an engine.

    Attributes:
        kind: How it failed.
        detail: One line for logs, with the remedy where there is one.
        retry_after_s: The engine's own hint, or None.
    """

    kind: EngineFailureKind
    detail: str
    retry_after_s: float | None = None

    @property
    def provably_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.kind in PROVABLY_NOT_RUN


class GenerateCall(msgspec.Struct, frozen=True):
    """One attempt at a request on one engine.

    Attributes:
        request_id: The caller's request, the same for every attempt.
        attempt: 0 for the first attempt; request_id and attempt name the engine's work.
        path: `/v1/chat/completions` or `/v1/completions`.
        body: The OpenAI-shaped body.
        prompt: Canonical prompt bytes.
        max_tokens: Most tokens to generate, counted from the start of the answer.
        priority: Lower is served first.
        time_left_s: Seconds until the caller gives up; the engine drops the work then.
        cache_salt: Seeds the block hashes, so tenants never share blocks (as vLLM's).
        model: Model expected to be loaded.
        adapter: Adapter expected to be loaded, or None.
        expected_incarnation: The engine's run that was chosen, or None for any.
        expected_weight_version: Version that must serve it, or None for any.
        continue_text: Answer text already sent to the caller by an earlier attempt.
        continue_sequence: Sequence of the next chunk that the caller needs.
        continue_num_tokens: Tokens in `continue_text`.
        kept_kv_store: Address of a kept-KV store to import the prefix from, or None.
        kept_kv_block_hash: Deepest block to import, or None.
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
    """Load a model at a version, dropping the one before."""

    model: ModelName
    weight_version: WeightVersion


class LoadAdapter(msgspec.Struct, frozen=True, tag="load_adapter"):
    """Load an adapter of the model in place."""

    adapter: AdapterName


class UnloadAdapter(msgspec.Struct, frozen=True, tag="unload_adapter"):
    """Drop an adapter."""

    adapter: AdapterName


class ChangeRole(msgspec.Struct, frozen=True, tag="change_role"):
    """Serve `prefill`, `decode` or `both`."""

    role: str


OrderAction = LoadModel | LoadAdapter | UnloadAdapter | ChangeRole


class EngineOrder(msgspec.Struct, frozen=True):
    """A fenced order: the engine refuses it if it has seen a higher token.

    Attributes:
        token: Fencing token; grows with each order over the deployment's life.
        action: What to do.
        expected_incarnation: The run that the order is for, or None for any; another run answers
            REFUSED_MISMATCH and does nothing, so that an order which arrives after a restart, when
            the tokens seen are forgotten, has no effect.
    """

    token: int
    action: OrderAction
    expected_incarnation: Incarnation | None = None


ChunkOrFailure = Result[TokenChunk, EngineFailure]


def num_ready_chunks(chunks: AsyncIterator[ChunkOrFailure]) -> int:
    """Return how many chunks an iterator hands out without waiting.

    Iterators that know have an attribute `num_ready`; of others nothing is known, so 0.
    """
    num_ready: int = getattr(chunks, "num_ready", 0)
    return num_ready


class EnginePort(Protocol):
    """What a node can ask of one engine."""

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Start one attempt and stream its chunks.

        The iterator yields Ok chunks, then ends after the chunk with a finish reason, or yields
        one Err and ends. Waiting for a chunk may have no limit but the puller's own. Leaving the
        context early closes the connection; it does not cancel.
        """
        ...

    def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Stream the chunks of an attempt again from a sequence; NOT_FOUND if it is forgotten."""
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
        """Follow cache events after a sequence; NOT_FOUND if the replay window has passed it."""
        ...

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read every block held now."""
        ...

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Give a fenced order; Ok means accepted, the load report tells when it is done."""
        ...
