"""Engine port over HTTP: OpenAI's interface with the extensions in `engine_wire`."""

import math
from collections.abc import AsyncIterator, Mapping
from contextlib import aclosing, asynccontextmanager

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
from weirscale.ports.engine_request import attempt_path, encode_body, generate_headers
from weirscale.ports.engine_response import (
    ResponseChunks,
    decode_answer,
    decode_error,
    drain_body,
    event_batches,
    failure_as_batches,
    failure_as_chunks,
    failure_of_error,
)
from weirscale.ports.engine_stream import SseParser
from weirscale.ports.http_client import CONNECT_TIMEOUT_S, KEEP_ALIVE_S, new_client

CONTROL_TIMEOUT_S = 2.0
"""Timeout in seconds of calls other than generation."""

MAX_CONNECTIONS = 1024
"""Far above the concurrency that a deployment declares for one engine."""

CLOSE_HEADERS = {"connection": "close"}


class HttpEngine:
    """Implements `EnginePort` for one engine at one address, with an HTTP client of its own."""

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        control_timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> None:
        """Create the port without opening a connection.

        Args:
            address: host:port.
            connect_timeout_s: Timeout for opening a connection.
            control_timeout_s: Timeout of calls other than generation.
        """
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._control_timeout_s = control_timeout_s
        self._root = f"http://{address}"
        self._lazy_client: httpx.AsyncClient | None = None
        self._last_load_call_s = -math.inf

    @property
    def _client(self) -> httpx.AsyncClient:
        """The HTTP client, created on first use: a node calls few of the declared engines."""
        if self._lazy_client is None:
            timeout = httpx.Timeout(self._control_timeout_s, connect=self._connect_timeout_s)
            self._lazy_client = new_client(MAX_CONNECTIONS, timeout)
        return self._lazy_client

    async def aclose(self) -> None:
        """Close all connections."""
        if self._lazy_client is not None:
            await self._lazy_client.aclose()

    @asynccontextmanager
    async def generate(self, call: GenerateCall) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        """Start one attempt and stream its chunks."""
        request = self._client.build_request(
            "POST",
            self._root + call.path,
            content=encode_body(call),
            headers=generate_headers(call),
            timeout=self._stream_timeout(call.time_left_s),
        )
        parser = SseParser(call.request_id, call.continue_sequence)
        async with self._stream_chunks(request, parser) as chunks:
            yield chunks

    @asynccontextmanager
    async def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        """Stream an attempt's chunks again from a sequence number."""
        request = self._client.build_request(
            "GET",
            self._root + attempt_path(request_id, attempt),
            params={"from_sequence": from_sequence},
            timeout=self._stream_timeout(None),
        )
        async with self._stream_chunks(request, SseParser(request_id, from_sequence)) as chunks:
            yield chunks

    async def cancel(self, request_id: RequestId, attempt: int) -> Result[None, EngineFailure]:
        """Stop an attempt's work."""
        answer = await self._call("POST", f"{attempt_path(request_id, attempt)}/cancel")
        return answer.map(lambda _: None)

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report.

        After an infrequent call the connection is closed, because the next call would come too late
        to reuse it. Otherwise a node that polls 1,700 engines would keep a socket and 11 kB for
        each.
        """
        now_s = anyio.current_time()
        is_infrequent = now_s - self._last_load_call_s > KEEP_ALIVE_S
        self._last_load_call_s = now_s
        answer = await self._call("GET", wire.LOAD_PATH, CLOSE_HEADERS if is_infrequent else None)
        return answer.and_then(lambda body: decode_answer(body, LoadReport))

    @asynccontextmanager
    async def cache_events(
        self, incarnation: Incarnation | None, after_sequence: int
    ) -> AsyncIterator[AsyncIterator[Result[CacheEventBatch, EngineFailure]]]:
        """Follow cache events after a sequence number."""
        params: dict[str, int] = {"after_sequence": after_sequence}
        if incarnation is not None:
            params["incarnation"] = incarnation
        timeout = self._stream_timeout(None)
        request = self._client.build_request(
            "GET", self._root + wire.EVENTS_PATH, params=params, timeout=timeout
        )
        opened = await self._open(request)
        if isinstance(opened, Err):
            yield failure_as_batches(opened)
            return
        response = opened.ok_value
        try:
            async with aclosing(event_batches(response)) as batches:
                yield batches
        finally:
            await response.aclose()

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read all blocks in the engine's cache."""
        answer = await self._call("GET", wire.DUMP_PATH)
        return answer.and_then(lambda body: decode_answer(body, CacheDump))

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Send a fenced order."""
        answer = await self._call("POST", wire.ORDERS_PATH, body=msgspec.json.encode(order))
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
            yield failure_as_chunks(opened)
            return
        response = opened.ok_value
        # A timeout on each read would need a timer for each chunk, which costs more than all other
        # work on the chunk. The consumer limits its wait, and the engine got the remaining time.
        request.extensions["timeout"]["read"] = None
        # The stream is read directly: `aiter_raw` would add a layer to each chunk to count bytes.
        stream = response.stream
        assert isinstance(stream, httpx.AsyncByteStream)
        body = aiter(stream)
        try:
            yield ResponseChunks(body, parser)
            if parser.is_finished:
                await drain_body(body)
        finally:
            await response.aclose()

    async def _open(self, request: httpx.Request) -> Result[httpx.Response, EngineFailure]:
        """Send a request and read the headers; of an error response also read the body."""
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
        return Err(wire.failure_of_answer(response.status_code, decode_error(body)))

    async def _call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> Result[bytes, EngineFailure]:
        try:
            with anyio.fail_after(self._control_timeout_s):
                response = await self._client.request(
                    method, self._root + path, content=body, headers=headers
                )
        except httpx.HTTPError as error:
            return Err(failure_of_error(error))
        except TimeoutError:
            return Err(
                EngineFailure(EngineFailureKind.TIMED_OUT, "the engine did not answer in time")
            )
        if response.is_success:
            return Ok(response.content)
        return Err(wire.failure_of_answer(response.status_code, decode_error(response.content)))
