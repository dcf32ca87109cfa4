"""One attempt of a generation request on one engine: its stream, resumes and outcome."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import GenerationRequest, TokenChunk
from weirscale.domain.request.retry_policy import CHUNK_STALL_S, FailureClass
from weirscale.domain.request.stream import ChunkVerdict, StreamCheck
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.execution.stall_watch import StallWatch, WatchedStream
from weirscale.node.interfaces import AttemptOutcome, ChosenEngine
from weirscale.node.routing.engine_router import EngineRouter
from weirscale.ports.engine import (
    ChunkOrFailure,
    EngineFailure,
    EngineFailureKind,
    GenerateCall,
    num_ready_chunks,
)

CLOSE_TIMEOUT_S = 1.0
"""Limit for closing a connection, so that a broken one can't delay the caller's answer."""

_TIMED_OUT = EngineFailure(EngineFailureKind.TIMED_OUT, "the engine sent nothing in time")
_ENDED_EARLY = EngineFailure(EngineFailureKind.BROKEN, "the stream ended before its last chunk")

_INTERRUPTIONS = frozenset({EngineFailureKind.BROKEN, EngineFailureKind.CORRUPT})


def classify(failure: EngineFailure, is_resume: bool) -> FailureClass:
    """Return the failure class of an engine's failure.

    A failed resume carries no information about the attempt that it should have continued, so it
    never proves that the request did not run.
    """
    if failure.kind in _INTERRUPTIONS:
        return FailureClass.INTERRUPTED
    if failure.kind is EngineFailureKind.TIMED_OUT:
        return FailureClass.STALLED
    if is_resume and failure.kind is EngineFailureKind.UNREACHABLE:
        return FailureClass.CUT_OFF
    if is_resume or not failure.provably_not_run:
        return FailureClass.FORGOTTEN
    if failure.kind is EngineFailureKind.REFUSED_INVALID:
        return FailureClass.INVALID
    return FailureClass.NOT_RUN


ChunkSink = Callable[[TokenChunk, bool], Awaitable[None]]
"""Receives a chunk that passed the check, and whether the next chunk has already arrived, so that
both can be sent together. May wait for a slow caller."""


class AttemptFailure(msgspec.Struct, frozen=True):
    """A failed attempt; `failure_class` determines which steps may follow."""

    failure: EngineFailure
    failure_class: FailureClass


class Attempt:
    """Reads the stream of one attempt.

    Used only by the task that created it. `next` returns only chunks that passed the request's
    check.
    """

    def __init__(
        self,
        call: GenerateCall,
        request: GenerationRequest,
        chosen: ChosenEngine,
        check: StreamCheck,
        started_s: float,
    ) -> None:
        self.call = call
        self.chosen = chosen
        self.num_idle_resumes = 0
        self.num_repeated = 0
        self.ttft_s: float | None = None
        self.last_chunk: TokenChunk | None = None
        self.failure: EngineFailure | None = None
        self._request = request
        self.check = check
        self._started_s = started_s
        self._is_resume = False
        self._was_sent = False
        self._context: AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]] | None = None
        self._chunks: AsyncIterator[ChunkOrFailure] | None = None

    @property
    def is_complete(self) -> bool:
        """Return whether this attempt delivered the last chunk."""
        return self.last_chunk is not None and self.last_chunk.finish_reason is not None

    @property
    def num_ready(self) -> int:
        """Return the number of unread chunks that have arrived; the check may still drop some."""
        return num_ready_chunks(self._chunks) if self._chunks is not None else 0

    @property
    def may_have_run(self) -> bool:
        """Return whether the engine may have worked on this attempt."""
        if not self._was_sent:
            return False
        if self.failure is None or self._is_resume:
            return True
        return not self.failure.provably_not_run

    async def next(self, give_up_at_s: float) -> Result[TokenChunk, AttemptFailure]:
        """Return the next chunk that passes the check, or the attempt's failure.

        The wait ends at `give_up_at_s`, or after `CHUNK_STALL_S` once a chunk has arrived.
        """
        while True:
            chunks = self._chunks
            if chunks is not None and num_ready_chunks(chunks):
                item = await anext(chunks)
            else:
                item = await self._read_item(give_up_at_s)
            checked = self._check_item(item)
            if isinstance(checked, Err):
                return checked
            if checked.ok_value is not None:
                return Ok(checked.ok_value)

    def _check_item(self, item: ChunkOrFailure) -> Result[TokenChunk | None, AttemptFailure]:
        """Check an item of the stream; return Ok(None) for a repeated chunk, which is dropped."""
        if isinstance(item, Err):
            return self._fail(item.err_value)
        chunk = item.ok_value
        verdict = self.check.check(chunk)
        if verdict is ChunkVerdict.PASS:
            self._record_chunk(chunk)
            return item
        if verdict is ChunkVerdict.REPEATED:
            self.num_repeated += 1
            return Ok(None)
        detail = f"{verdict.value} chunk {chunk.sequence} of {chunk.request_id}"
        return self._fail(EngineFailure(EngineFailureKind.CORRUPT, detail))

    async def stream(
        self, sink: ChunkSink, watch: StallWatch, give_up_at_s: float
    ) -> AttemptFailure | None:
        """Pass all further chunks to a sink.

        Like calling `next` for each chunk, but the watch detects stalls, which costs less than a
        deadline for each chunk.

        Returns:
            None once the last chunk has been passed on, otherwise the failure. After a resume,
            None is also returned after the first chunk; call `stream` again for the rest.
        """
        chunks = self._chunks
        if chunks is None:
            return await self._reopen(sink, give_up_at_s)
        with anyio.CancelScope() as scope:
            watched = WatchedStream(scope, give_up_at_s)
            watch.add(watched)
            try:
                return await self._stream_watched(chunks, sink, watched, watch)
            finally:
                watch.remove(watched)
        return self._fail(_TIMED_OUT).err_value

    async def _reopen(self, sink: ChunkSink, give_up_at_s: float) -> AttemptFailure | None:
        result = await self.next(give_up_at_s)
        if isinstance(result, Err):
            return result.err_value
        await sink(result.ok_value, self.num_ready > 0)
        return None

    async def _stream_watched(
        self,
        chunks: AsyncIterator[ChunkOrFailure],
        sink: ChunkSink,
        watched: WatchedStream,
        watch: StallWatch,
    ) -> AttemptFailure | None:
        while not self.is_complete:
            watched.waiting_since_s = watch.now_s
            try:
                item = await anext(chunks)
            except StopAsyncIteration:
                item = Err(_ENDED_EARLY)
            watched.waiting_since_s = None
            if watched.scope.cancel_called:
                # Nothing can be sent to the caller inside a cancelled scope. The check has not
                # counted the chunk yet, so a resumed stream delivers it again.
                item = Err(_TIMED_OUT)
            checked = self._check_item(item)
            if isinstance(checked, Err):
                return checked.err_value
            if checked.ok_value is not None:
                await sink(checked.ok_value, num_ready_chunks(chunks) > 0)
        return None

    async def resume(self) -> None:
        """Prepare to resume the stream on the same engine; the following `next` opens it."""
        await self.close()
        self.num_idle_resumes += 1
        self._is_resume = True
        self.failure = None

    async def close(self) -> None:
        """Close the connection within `CLOSE_TIMEOUT_S`, also while the task is being cancelled."""
        context = self._context
        self._context = None
        self._chunks = None
        if context is not None:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await context.__aexit__(None, None, None)

    def finish(
        self, routing: EngineRouter, canceller: EngineCanceller, now_s: float
    ) -> AttemptOutcome:
        """Report the outcome to routing; cancel the engine's work if it may still be running."""
        if self.may_have_run and not self.is_complete:
            canceller.post(self.chosen.port, self.call.request_id, self.call.attempt)
        last = self.last_chunk
        outcome = AttemptOutcome(
            request=self._request,
            attempt=self.call.attempt,
            engine=self.chosen.choice.engine,
            incarnation=self.chosen.incarnation,
            failure=self.failure,
            num_prompt_tokens=last.num_prompt_tokens if last else 0,
            num_cached_tokens=last.num_cached_tokens if last else 0,
            ttft_s=self.ttft_s,
            duration_s=now_s - self._started_s,
        )
        routing.report(outcome)
        return outcome

    def _record_chunk(self, chunk: TokenChunk) -> None:
        if self.ttft_s is None:
            self.ttft_s = anyio.current_time() - self._started_s
        self.last_chunk = chunk
        self.num_idle_resumes = 0

    def _fail(self, failure: EngineFailure) -> Err[AttemptFailure]:
        self.failure = failure
        return Err(AttemptFailure(failure, classify(failure, self._is_resume)))

    async def _read_item(self, give_up_at_s: float) -> ChunkOrFailure:
        if self.last_chunk is not None:
            give_up_at_s = min(give_up_at_s, anyio.current_time() + CHUNK_STALL_S)
        with anyio.CancelScope(deadline=give_up_at_s) as scope:
            chunks = self._chunks
            if chunks is None:
                chunks = await self._open()
            try:
                return await anext(chunks)
            except StopAsyncIteration:
                return Err(_ENDED_EARLY)
        assert scope.cancelled_caught
        return Err(_TIMED_OUT)

    async def _open(self) -> AsyncIterator[ChunkOrFailure]:
        port = self.chosen.port
        if self._is_resume:
            context = port.resume(self.call.request_id, self.call.attempt, self.check.next_sequence)
        else:
            self._was_sent = True
            context = port.generate(self.call)
        chunks = await context.__aenter__()
        self._context = context
        self._chunks = chunks
        return chunks


def generate_call(
    request: GenerationRequest,
    attempt: int,
    chosen: ChosenEngine,
    check: StreamCheck,
    time_left_s: float,
) -> GenerateCall:
    """Build the call of an attempt, which continues after the chunks that have already passed."""
    return GenerateCall(
        request_id=RequestId(request.request_id),
        attempt=attempt,
        path=request.path,
        body=request.body,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=request.priority,
        time_left_s=time_left_s,
        cache_salt=request.tenant,
        model=request.model,
        adapter=request.adapter,
        expected_incarnation=chosen.incarnation,
        expected_weight_version=chosen.weight_version,
        continue_text=check.text,
        continue_sequence=check.next_sequence,
        continue_num_tokens=check.num_tokens,
        kept_kv_store=chosen.choice.import_from,
        kept_kv_block_hash=chosen.choice.import_block_hash,
    )
