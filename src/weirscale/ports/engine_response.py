"""Reads the HTTP responses of engines: chunks, cache events and failures."""

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
"""Longer error bodies are cut: only the code and a line of text are used."""

DRAIN_TIMEOUT_S = 0.1
"""Seconds to wait for the end of a body after its last chunk, to be able to reuse the
connection."""

AnswerT = TypeVar("AnswerT")


def failure_of_error(error: httpx.HTTPError) -> EngineFailure:
    """Translate an error of the HTTP client; after an unknown error the request may have run."""
    detail = f"{type(error).__name__}: {error}"
    if was_never_sent(error):
        return EngineFailure(EngineFailureKind.UNREACHABLE, detail)
    if isinstance(error, httpx.TimeoutException):
        return EngineFailure(EngineFailureKind.TIMED_OUT, detail)
    return EngineFailure(EngineFailureKind.BROKEN, detail)


def decode_error(body: bytes) -> wire.WireError | None:
    """Return the error object in a response's body, None if there is none."""
    try:
        return msgspec.json.decode(body[:MAX_ERROR_BODY_BYTES], type=wire.ErrorBody).error
    except (msgspec.DecodeError, ValueError):
        return None


def decode_answer(body: bytes, answer_type: type[AnswerT]) -> Result[AnswerT, EngineFailure]:
    """Decode a complete JSON response."""
    try:
        return Ok(msgspec.json.decode(body, type=answer_type))
    except (msgspec.DecodeError, ValueError) as error:
        return Err(EngineFailure(EngineFailureKind.CORRUPT, str(error)))


class ResponseChunks:
    """Iterator over the chunks of one response; buffers the chunks that one read returns."""

    def __init__(self, body: AsyncIterator[bytes], parser: SseParser) -> None:
        self._body = body
        self._parser = parser
        self._ready: deque[ChunkOrFailure] = deque()
        self._failure: ChunkOrFailure | None = None
        self._has_ended = False

    @property
    def num_ready(self) -> int:
        """Number of chunks that can be returned without waiting; a failure does not count."""
        return len(self._ready)

    def __aiter__(self) -> AsyncIterator[ChunkOrFailure]:
        return self

    async def __anext__(self) -> ChunkOrFailure:
        ready = self._ready
        while not ready:
            if self._failure is not None:
                failure, self._failure = self._failure, None
                return failure
            if self._has_ended:
                raise StopAsyncIteration
            try:
                data = await anext(self._body)
            except StopAsyncIteration:
                self._store_items([self._parser.end()])
            except httpx.HTTPError as error:
                self._store_items([Err(failure_of_error(error))])
                self._has_ended = True
            else:
                self._store_items(self._parser.feed(data))
        return ready.popleft()

    def _store_items(self, items: list[ChunkOrFailure]) -> None:
        """Buffer the items of a read; a failure is always the last item of its read."""
        if items and isinstance(items[-1], Err):
            self._failure = items.pop()
        self._ready.extend(items)
        self._has_ended = self._parser.is_finished


async def drain_body(body: AsyncIterator[bytes]) -> None:
    """Read the end of a body after its last chunk, so that the connection can be reused."""
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
    incomplete_line = b""
    try:
        async for data in response.aiter_raw():
            *lines, incomplete_line = (incomplete_line + data).split(b"\n")
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
    error = decode_error(line) if line.startswith(b'{"error"') else None
    if error is not None:
        return Err(wire.failure_of_answer(httpx.codes.OK, error))
    return decode_answer(line, CacheEventBatch)


async def failure_as_chunks(failure: Err[EngineFailure]) -> AsyncGenerator[ChunkOrFailure, None]:
    """Yield a failure in place of chunks."""
    yield failure


async def failure_as_batches(
    failure: Err[EngineFailure],
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
    """Yield a failure in place of batches."""
    yield failure
