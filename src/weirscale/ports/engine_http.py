"""Engine port over HTTP: the OpenAI-shaped interface with the extensions of `engine_wire`."""

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
    drain_body,
    error_of,
    event_batches,
    failure_of_error,
    only_batch,
    only_chunk,
)
from weirscale.ports.engine_stream import SseParser
from weirscale.ports.http_client import CONNECT_TIMEOUT_S, KEEP_ALIVE_S, new_client

CONTROL_TIMEOUT_S = 2.0
"""Limit of calls other than generation."""

MAX_CONNECTIONS = 1024
"""Far above the concurrency that is declared for one engine."""

CLOSE_HEADERS = {"connection": "close"}


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
        self._made_client: httpx.AsyncClient | None = None
        self._load_asked_at_s = -math.inf

    @property
    def _client(self) -> httpx.AsyncClient:
        """The client, made on first use: a node calls few of the engines that are declared."""
        if self._made_client is None:
            timeout = httpx.Timeout(self._control_timeout_s, connect=self._connect_timeout_s)
            self._made_client = new_client(MAX_CONNECTIONS, timeout)
        return self._made_client

    async def aclose(self) -> None:
        """Close every connection."""
        if self._made_client is not None:
            await self._made_client.aclose()

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
        """Stream the chunks of an attempt again from a sequence."""
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
        answer = await self._ask("POST", f"{attempt_path(request_id, attempt)}/cancel")
        return answer.map(lambda _: None)

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report.

        The connection is closed unless the next question can come in time to use it: a node asks
        each of 1,700 engines once in a while, and would keep a socket and 11 kB for each.
        """
        now_s = anyio.current_time()
        is_rare = now_s - self._load_asked_at_s > KEEP_ALIVE_S
        self._load_asked_at_s = now_s
        answer = await self._ask("GET", wire.LOAD_PATH, CLOSE_HEADERS if is_rare else None)
        return answer.and_then(lambda body: decode_answer(body, LoadReport))

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
            yield only_batch(opened)
            return
        response = opened.ok_value
        try:
            async with aclosing(event_batches(response)) as batches:
                yield batches
        finally:
            await response.aclose()

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read every block held now."""
        answer = await self._ask("GET", wire.DUMP_PATH)
        return answer.and_then(lambda body: decode_answer(body, CacheDump))

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Give a fenced order."""
        answer = await self._ask("POST", wire.ORDERS_PATH, body=msgspec.json.encode(order))
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
            yield only_chunk(opened)
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
            yield ResponseChunks(body, parser)
            if parser.is_finished:
                await drain_body(body)
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
        return Err(wire.failure_of_answer(response.status_code, error_of(body)))

    async def _ask(
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
            return Err(EngineFailure(EngineFailureKind.TIMED_OUT, "the engine does not answer"))
        if response.is_success:
            return Ok(response.content)
        return Err(wire.failure_of_answer(response.status_code, error_of(response.content)))
