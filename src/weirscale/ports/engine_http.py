"""Engine port over HTTP: the OpenAI-shaped interface with the extensions of `engine_wire`."""

from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import Incarnation, RequestId
from weirscale.messages.cache import CacheDump, CacheEventBatch, LoadReport
from weirscale.ports import engine_wire as wire
from weirscale.ports.engine import (
    ChunkOrFailure,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    GenerateCall,
)
from weirscale.ports.engine_stream import SseParser
from weirscale.ports.http_client import CONNECT_TIMEOUT_S, new_client, was_never_sent

CONTROL_TIMEOUT_S = 2.0
"""Limit of calls other than generation."""

MAX_CONNECTIONS = 1024
"""Far above the concurrency that is declared for one engine."""

MAX_ERROR_BODY_BYTES = 64 * 1024
"""Longer error bodies are cut: only the code and a line of text are read."""

DRAIN_TIMEOUT_S = 0.1
"""Wait for the end of a body after its last chunk, so that the connection can be used again."""

AnswerT = TypeVar("AnswerT")


class HttpEngine:
    """One engine at one address, with its own client; an `EnginePort`."""

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        control_timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> None:
        """Make a port; no connection is opened yet.

        Args:
            address: host:port.
            connect_timeout_s: Limit of making a connection.
            control_timeout_s: Limit of calls other than generation.
        """
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._control_timeout_s = control_timeout_s
        self._root = f"http://{address}"
        self._client = new_client(
            MAX_CONNECTIONS, httpx.Timeout(control_timeout_s, connect=connect_timeout_s)
        )

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    @asynccontextmanager
    async def generate(self, call: GenerateCall) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        """Start one attempt and stream its chunks."""
        request = self._client.build_request(
            "POST",
            self._root + call.path,
            content=encode_body(call),
            headers=_generate_headers(call),
            timeout=self._stream_timeout(call.time_left_s),
        )
        parser = SseParser(call.request_id, call.continue_sequence)
        async with self._stream_chunks(request, parser) as chunks:
            yield chunks

    @asynccontextmanager
    async def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        """Stream the chunks of an attempt again from a sequence."""
        request = self._client.build_request(
            "GET",
            self._root + _attempt_path(request_id, attempt),
            params={"from_sequence": from_sequence},
            timeout=self._stream_timeout(None),
        )
        async with self._stream_chunks(request, SseParser(request_id, from_sequence)) as chunks:
            yield chunks

    async def cancel(self, request_id: RequestId, attempt: int) -> Result[None, EngineFailure]:
        """Stop an attempt's work."""
        answer = await self._ask("POST", f"{_attempt_path(request_id, attempt)}/cancel")
        return answer.map(lambda _: None)

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report."""
        answer = await self._ask("GET", wire.LOAD_PATH)
        return answer.and_then(lambda body: _decode(body, LoadReport))

    @asynccontextmanager
    async def cache_events(
        self, incarnation: Incarnation | None, after_sequence: int
    ) -> AsyncIterator[AsyncIterator[Result[CacheEventBatch, EngineFailure]]]:
        """Follow cache events after a sequence."""
        params: dict[str, int] = {"after_sequence": after_sequence}
        if incarnation is not None:
            params["incarnation"] = incarnation
        timeout = self._stream_timeout(None)
        request = self._client.build_request(
            "GET", self._root + wire.EVENTS_PATH, params=params, timeout=timeout
        )
        opened = await self._open(request)
        if isinstance(opened, Err):
            yield _only_batch(opened)
            return
        response = opened.ok_value
        try:
            async with aclosing(_batches(response)) as batches:
                yield batches
        finally:
            await response.aclose()

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read every block held now."""
        answer = await self._ask("GET", wire.DUMP_PATH)
        return answer.and_then(lambda body: _decode(body, CacheDump))

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Give a fenced order."""
        answer = await self._ask("POST", wire.ORDERS_PATH, msgspec.json.encode(order))
        return answer.map(lambda _: None)

    def _stream_timeout(self, read_s: float | None) -> httpx.Timeout:
        connect_s = self._connect_timeout_s
        return httpx.Timeout(connect=connect_s, pool=connect_s, write=read_s, read=read_s)

    @asynccontextmanager
    async def _stream_chunks(
        self, request: httpx.Request, parser: SseParser
    ) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        opened = await self._open(request)
        if isinstance(opened, Err):
            yield _only_chunk(opened)
            return
        response = opened.ok_value
        # A time limit on each read would cost a timer for each chunk, more than all other work on
        # it. Whoever pulls the chunks limits its own waiting; the engine knows the time left.
        request.extensions["timeout"]["read"] = None
        # The stream itself: `aiter_raw` would add a layer to each chunk, for counting bytes.
        stream = response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        body = aiter(stream)
        try:
            yield _ResponseChunks(body, parser)
            if parser.is_finished:
                await _drain(body)
        finally:
            await response.aclose()

    async def _open(self, request: httpx.Request) -> Result[httpx.Response, EngineFailure]:
        """Send a request and read the headers; an error status is read to its end."""
        try:
            response = await self._client.send(request, stream=True)
        except httpx.HTTPError as error:
            return Err(failure_of_error(error))
        if response.status_code == httpx.codes.OK:
            return Ok(response)
        try:
            with anyio.move_on_after(self._control_timeout_s):
                await response.aread()
        except httpx.HTTPError:
            return Err(wire.failure_of_answer(response.status_code, None))
        finally:
            await response.aclose()
        body = response.content if response.is_stream_consumed else b""
        return Err(wire.failure_of_answer(response.status_code, _error_of(body)))

    async def _ask(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[bytes, EngineFailure]:
        try:
            with anyio.fail_after(self._control_timeout_s):
                response = await self._client.request(method, self._root + path, content=body)
        except httpx.HTTPError as error:
            return Err(failure_of_error(error))
        except TimeoutError:
            return Err(EngineFailure(EngineFailureKind.TIMED_OUT, "the engine does not answer"))
        if response.is_success:
            return Ok(response.content)
        return Err(wire.failure_of_answer(response.status_code, _error_of(response.content)))


def encode_body(call: GenerateCall) -> bytes:
    """Return the body of a generation request: the caller's, with the engine's fields over it."""
    body: dict[str, object] = {
        **call.body,
        "model": call.model,
        "max_tokens": call.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "cache_salt": call.cache_salt,
        "priority": call.priority,
    }
    if call.adapter is not None:
        body["adapter"] = call.adapter
    if call.continue_sequence or call.continue_text:
        body["continue_answer"] = wire.ContinueAnswer(
            call.continue_text, call.continue_sequence, call.continue_num_tokens
        )
    if call.kept_kv_store is not None and call.kept_kv_block_hash is not None:
        body["kv_transfer_params"] = wire.KvTransfer(call.kept_kv_store, call.kept_kv_block_hash)
    return msgspec.json.encode(body)


def failure_of_error(error: httpx.HTTPError) -> EngineFailure:
    """Return the failure that a client's error stands for; unknown ones may have run."""
    detail = f"{type(error).__name__}: {error}"
    if was_never_sent(error):
        return EngineFailure(EngineFailureKind.UNREACHABLE, detail)
    if isinstance(error, httpx.TimeoutException):
        return EngineFailure(EngineFailureKind.TIMED_OUT, detail)
    return EngineFailure(EngineFailureKind.BROKEN, detail)


def _generate_headers(call: GenerateCall) -> dict[str, str]:
    headers = {
        "content-type": "application/json",
        wire.REQUEST_ID_HEADER: call.request_id,
        wire.ATTEMPT_HEADER: str(call.attempt),
        wire.TIME_LEFT_HEADER: f"{call.time_left_s:.3f}",
    }
    if call.expected_incarnation is not None:
        headers[wire.EXPECTED_INCARNATION_HEADER] = str(call.expected_incarnation)
    if call.expected_weight_version is not None:
        headers[wire.EXPECTED_VERSION_HEADER] = call.expected_weight_version
    return headers


def _attempt_path(request_id: RequestId, attempt: int) -> str:
    return f"{wire.STREAMS_PATH}/{quote(request_id, safe='')}/{attempt}"


def _error_of(body: bytes) -> wire.WireError | None:
    try:
        return msgspec.json.decode(body[:MAX_ERROR_BODY_BYTES], type=wire.ErrorBody).error
    except (msgspec.DecodeError, ValueError):
        return None


def _decode(body: bytes, answer_type: type[AnswerT]) -> Result[AnswerT, EngineFailure]:
    try:
        return Ok(msgspec.json.decode(body, type=answer_type))
    except (msgspec.DecodeError, ValueError) as error:
        return Err(EngineFailure(EngineFailureKind.CORRUPT, str(error)))


class _ResponseChunks:
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


async def _drain(body: AsyncIterator[bytes]) -> None:
    """Read the rest of a body that is complete, so that its connection is kept."""
    try:
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            async for _ in body:
                pass
    except (httpx.HTTPError, httpx.StreamError):
        return


async def _batches(
    response: httpx.Response,
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
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
    error = _error_of(line) if line.startswith(b'{"error"') else None
    if error is not None:
        return Err(wire.failure_of_answer(httpx.codes.OK, error))
    return _decode(line, CacheEventBatch)


async def _only_chunk(failure: Err[EngineFailure]) -> AsyncGenerator[ChunkOrFailure, None]:
    yield failure


async def _only_batch(
    failure: Err[EngineFailure],
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
    yield failure
