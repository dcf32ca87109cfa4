"""HTTP interface of the stand-in engine: OpenAI API with the extensions of `engine_wire`."""

from collections.abc import AsyncIterator
from urllib.parse import parse_qs, unquote

import msgspec
from result import Err, Ok, Result

from weirscale.domain.identifiers import (
    AdapterName,
    Incarnation,
    ModelName,
    RequestId,
    WeightVersion,
)
from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.ports import engine_wire as wire
from weirscale.ports.asgi import (
    Receive,
    Scope,
    Send,
    answer_lifespan,
    decode_headers,
    read_body,
    send_json,
    send_part,
    start_response,
)
from weirscale.ports.engine import (
    ChunkOrFailure,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    GenerateCall,
)
from weirscale.standins.asgi_server import MAX_BODY_BYTES
from weirscale.standins.engine.attempt import Attempt
from weirscale.standins.engine.chunk_faults import EARLY_END
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.stream_encoder import StreamEncoder

DEFAULT_TIME_LEFT_S = 600.0
SSE_HEADERS = ((b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache"))
NO_CONTENT = 204
NDJSON_HEADERS = ((b"content-type", b"application/x-ndjson"),)
OK = 200
BAD_GATEWAY = 502


class EngineApp:
    """ASGI app in front of one in-process engine."""

    def __init__(self, engine: InProcessEngine) -> None:
        self._engine = engine

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        path: str = scope["raw_path"].decode("latin-1").split("?", 1)[0]
        method: str = scope["method"]
        if method == "POST" and path in wire.GENERATE_PATHS:
            await self._generate(path, scope, receive, send)
        elif path.startswith(wire.STREAMS_PATH + "/"):
            await self._attempt_call(path, method, scope, send)
        elif method == "GET":
            await self._read(path, scope, send)
        elif method == "POST" and path == wire.ORDERS_PATH:
            await self._order(receive, send)
        else:
            await send_failure(send, _not_found("unknown path"))

    async def _generate(self, path: str, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        parsed = parse_call(path, decode_headers(scope["headers"]), body)
        if isinstance(parsed, Err):
            await send_failure(send, parsed.err_value)
            return
        call = parsed.ok_value
        started = await self._engine.start(call)
        if isinstance(started, Err):
            await send_failure(send, started.err_value)
            return
        attempt = started.ok_value
        chunks = self._engine.stream(attempt, call.continue_sequence, call.time_left_s)
        await self._send_stream(attempt, chunks, send)

    async def _send_stream(
        self, attempt: Attempt, chunks: AsyncIterator[ChunkOrFailure], send: Send
    ) -> None:
        encoder = StreamEncoder(attempt.call)
        await start_response(send, OK, SSE_HEADERS)
        async for item in chunks:
            if isinstance(item, Ok):
                await send_part(send, encoder.encode(item.ok_value))
                continue
            failure = item.err_value
            if failure is EARLY_END:
                break
            if failure.kind is EngineFailureKind.BROKEN:
                return  # The server closes the connection, as the answer is incomplete.
            await send_part(send, encoder.encode_failure(failure))
        await send_part(send, encoder.end(), is_last=True)

    async def _attempt_call(self, path: str, method: str, scope: Scope, send: Send) -> None:
        parts = path[len(wire.STREAMS_PATH) + 1 :].split("/")
        is_cancel = len(parts) == 3 and parts[2] == "cancel" and method == "POST"
        is_resume = len(parts) == 2 and method == "GET"
        if not (is_cancel or is_resume) or not parts[1].isdecimal():
            await send_failure(send, _not_found("unknown path"))
            return
        request_id = RequestId(unquote(parts[0]))
        number = int(parts[1])
        if is_cancel:
            await self._send_result(send, await self._engine.cancel(request_id, number))
            return
        from_sequence = _query_integer(scope, "from_sequence") or 0
        found = self._engine.find(request_id, number, from_sequence)
        if isinstance(found, Err):
            await send_failure(send, found.err_value)
            return
        time_left_s = self._engine.time_left_s(found.ok_value)
        chunks = self._engine.stream(found.ok_value, from_sequence, time_left_s)
        await self._send_stream(found.ok_value, chunks, send)

    async def _read(self, path: str, scope: Scope, send: Send) -> None:
        if path == wire.LOAD_PATH:
            await self._send_result(send, await self._engine.load())
        elif path == wire.DUMP_PATH:
            await self._send_result(send, await self._engine.cache_dump())
        elif path == wire.EVENTS_PATH:
            await self._send_events(scope, send)
        else:
            await send_failure(send, _not_found("unknown path"))

    async def _send_events(self, scope: Scope, send: Send) -> None:
        incarnation = _query_integer(scope, "incarnation")
        after_sequence = _query_integer(scope, "after_sequence") or 0
        following = self._engine.cache_events(
            None if incarnation is None else Incarnation(incarnation), after_sequence
        )
        await start_response(send, OK, NDJSON_HEADERS)
        # The server sends headers with the first part of the body; an empty part sends them now, so
        # that the follower sees that the stream is open.
        await send_part(send, b"")
        async with following as batches:
            async for item in batches:
                if isinstance(item, Ok):
                    await send_part(send, msgspec.json.encode(item.ok_value) + b"\n")
                elif item.err_value.kind is not EngineFailureKind.BROKEN:
                    body = wire.ErrorBody(wire_error(item.err_value))
                    await send_part(send, msgspec.json.encode(body) + b"\n", is_last=True)

    async def _order(self, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        try:
            order = msgspec.json.decode(body, type=EngineOrder)
        except (msgspec.DecodeError, ValueError) as error:
            await send_failure(send, EngineFailure(EngineFailureKind.REFUSED_INVALID, str(error)))
            return
        await self._send_result(send, await self._engine.order(order))

    async def _send_result(self, send: Send, result: Result[object, EngineFailure]) -> None:
        if isinstance(result, Err):
            await send_failure(send, result.err_value)
        elif result.ok_value is None:
            await start_response(send, NO_CONTENT)
            await send_part(send, b"", is_last=True)
        else:
            await send_json(send, OK, result.ok_value)


def parse_call(
    path: str, headers: dict[str, str], body: bytes
) -> Result[GenerateCall, EngineFailure]:
    """Parse a request into a call; its answer is always streamed."""
    try:
        parsed = msgspec.json.decode(body, type=dict[str, object])
        fields = msgspec.convert(parsed, wire.GenerateExtensions)
        incarnation = headers.get(wire.EXPECTED_INCARNATION_HEADER)
        version = headers.get(wire.EXPECTED_VERSION_HEADER)
        attempt = int(headers.get(wire.ATTEMPT_HEADER, "0"))
        time_left_s = float(headers.get(wire.TIME_LEFT_HEADER, DEFAULT_TIME_LEFT_S))
        expected_incarnation = None if incarnation is None else Incarnation(int(incarnation))
    except (msgspec.MsgspecError, ValueError) as error:
        return Err(EngineFailure(EngineFailureKind.REFUSED_INVALID, str(error)))
    prompt = prompt_bytes(parsed)
    request_id = headers.get(wire.REQUEST_ID_HEADER)
    if prompt is None or request_id is None:
        detail = "the request needs a prompt or messages, and the header x-request-id"
        return Err(EngineFailure(EngineFailureKind.REFUSED_INVALID, detail))
    continued = fields.continue_answer or wire.ContinueAnswer("", 0, 0)
    kv_transfer = fields.kv_transfer_params
    call = GenerateCall(
        request_id=RequestId(request_id),
        attempt=attempt,
        path=path,
        body={},
        prompt=prompt,
        max_tokens=fields.max_tokens,
        priority=fields.priority,
        time_left_s=time_left_s,
        cache_salt=fields.cache_salt,
        model=ModelName(fields.model),
        adapter=None if fields.adapter is None else AdapterName(fields.adapter),
        expected_incarnation=expected_incarnation,
        expected_weight_version=None if version is None else WeightVersion(version),
        continue_text=continued.text,
        continue_sequence=continued.sequence,
        continue_num_tokens=continued.num_tokens,
        kept_kv_store=kv_transfer.store if kv_transfer else None,
        kept_kv_block_hash=kv_transfer.block_hash if kv_transfer else None,
    )
    return Ok(call)


async def send_failure(send: Send, failure: EngineFailure) -> None:
    """Send a failure as a status with an error object; send nothing if the call is broken."""
    if failure.kind is EngineFailureKind.BROKEN:
        return
    status = wire.STATUS_OF_FAILURE.get(failure.kind, BAD_GATEWAY)
    await send_json(send, status, wire.ErrorBody(wire_error(failure)))


def wire_error(failure: EngineFailure) -> wire.WireError:
    """Convert a failure to an error object."""
    return wire.WireError(
        message=failure.detail, code=failure.kind.value, retry_after_s=failure.retry_after_s
    )


def _query_integer(scope: Scope, name: str) -> int | None:
    values = parse_qs(scope["query_string"].decode("latin-1")).get(name, [])
    return int(values[0]) if values and values[0].isdecimal() else None


def _not_found(detail: str) -> EngineFailure:
    return EngineFailure(EngineFailureKind.NOT_FOUND, detail)
