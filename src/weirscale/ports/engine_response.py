"""Reads the HTTP answers of engines: chunks, cache events, failures."""

from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TypeVar

import anyio
import httpx
import msgspec
from result import Err, Ok, Result

from weirscale.messages.cache import CacheEventBatch
from weirscale.ports import engine_wire as wire
from weirscale.ports.engine import ChunkOrFailure, EngineFailure, EngineFailureKind
from weirscale.ports.engine_stream import SseParser
from weirscale.ports.http_client import was_never_sent

MAX_ERROR_BODY_BYTES = 64 * 1024
"""Longer error bodies are cut: only the code and a line of text are read."""

DRAIN_TIMEOUT_S = 0.1
"""Wait for the end of a body after its last chunk, so that the connection can be used again."""

AnswerT = TypeVar("AnswerT")


def failure_of_error(error: httpx.HTTPError) -> EngineFailure:
    """Return the failure that a client's error stands for; unknown ones may have run."""
    detail = f"{type(error).__name__}: {error}"
    if was_never_sent(error):
        return EngineFailure(EngineFailureKind.UNREACHABLE, detail)
    if isinstance(error, httpx.TimeoutException):
        return EngineFailure(EngineFailureKind.TIMED_OUT, detail)
    return EngineFailure(EngineFailureKind.BROKEN, detail)


def error_of(body: bytes) -> wire.WireError | None:
    """Return the error of an answer's body if it has one."""
    try:
        return msgspec.json.decode(body[:MAX_ERROR_BODY_BYTES], type=wire.ErrorBody).error
    except (msgspec.DecodeError, ValueError):
        return None


def decode_answer(body: bytes, answer_type: type[AnswerT]) -> Result[AnswerT, EngineFailure]:
    """Decode a whole JSON answer."""
    try:
        return Ok(msgspec.json.decode(body, type=answer_type))
    except (msgspec.DecodeError, ValueError) as error:
        return Err(EngineFailure(EngineFailureKind.CORRUPT, str(error)))


class ResponseChunks:
    """Chunks of one response; what one read brings is kept until it is asked for."""

    def __init__(self, body: AsyncIterator[bytes], parser: SseParser) -> None:
        self._body = body
        self._parser = parser
        self._ready: deque[ChunkOrFailure] = deque()
        self._failure: ChunkOrFailure | None = None
        self._is_over = False

    @property
    def num_ready(self) -> int:
        """Chunks that are handed out without waiting; a failure does not count."""
        return len(self._ready)

    def __aiter__(self) -> AsyncIterator[ChunkOrFailure]:
        return self

    async def __anext__(self) -> ChunkOrFailure:
        ready = self._ready
        while not ready:
            if self._failure is not None:
                failure, self._failure = self._failure, None
                return failure
            if self._is_over:
                raise StopAsyncIteration
            try:
                data = await anext(self._body)
            except StopAsyncIteration:
                self._keep([self._parser.end()])
            except httpx.HTTPError as error:
                self._keep([Err(failure_of_error(error))])
                self._is_over = True
            else:
                self._keep(self._parser.feed(data))
        return ready.popleft()

    def _keep(self, items: list[ChunkOrFailure]) -> None:
        """Keep what a read has brought; a failure is always the last item of its read."""
        if items and isinstance(items[-1], Err):
            self._failure = items.pop()
        self._ready.extend(items)
        self._is_over = self._parser.is_finished


async def drain_body(body: AsyncIterator[bytes]) -> None:
    """Read the rest of a body that is complete, so that its connection is kept."""
    try:
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            async for _ in body:
                pass
    except (httpx.HTTPError, httpx.StreamError):
        return


async def event_batches(
    response: httpx.Response,
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
    """Yield the batches of an event stream, then the failure that ended it."""
    rest = b""
    try:
        async for data in response.aiter_raw():
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                batch = _decode_event_line(line)
                yield batch
                if isinstance(batch, Err):
                    return
    except httpx.HTTPError as error:
        yield Err(failure_of_error(error))
        return
    yield Err(EngineFailure(EngineFailureKind.BROKEN, "the engine closed the event stream"))


def _decode_event_line(line: bytes) -> Result[CacheEventBatch, EngineFailure]:
    error = error_of(line) if line.startswith(b'{"error"') else None
    if error is not None:
        return Err(wire.failure_of_answer(httpx.codes.OK, error))
    return decode_answer(line, CacheEventBatch)


async def only_chunk(failure: Err[EngineFailure]) -> AsyncGenerator[ChunkOrFailure, None]:
    """Yield a failure in place of chunks."""
    yield failure


async def only_batch(
    failure: Err[EngineFailure],
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
    """Yield a failure in place of batches."""
    yield failure
