"""Serves `/v1/chat/completions` and `/v1/completions`."""

import math
from collections.abc import Callable

import anyio
from result import Err, Result

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.prefix.chain import BYTES_PER_TOKEN
from weirscale.domain.request.model import GenerationRequest, TokenChunk
from weirscale.domain.request.refusal import Refusal
from weirscale.node.callers.body import read_body
from weirscale.node.callers.call import Call
from weirscale.node.callers.caller_headers import parse_caller_headers
from weirscale.node.callers.completion_json import (
    DONE_EVENT,
    EventEncoder,
    error_event,
    usage_of,
    whole_answer,
)
from weirscale.node.callers.disconnect import SEND_GRACE_S, cancelled_on_disconnect
from weirscale.node.callers.errors import REQUEST_ID_HEADER, error_body
from weirscale.node.callers.generation_input import decode_object, parse_generation
from weirscale.node.callers.metrics import CallerMetrics
from weirscale.node.execution.generation import GenerationExecutor, GenerationRun
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.node.limits.task import AdmissionTask
from weirscale.ports.asgi import EVENT_STREAM_TYPE, JSON_TYPE, HeaderList, Message, send_whole

MAX_EVENTS_PER_PART = 32
"""Maximum number of events in one body part, so that a lagging caller still gets small parts."""


class GenerationRoute:
    """Checks, admits and runs completion calls.

    Args:
        admission: Grants permits.
        executor: Runs admitted requests.
        metrics: Records times and tokens.
        wall_clock: Returns the seconds since the epoch, for `created`.
    """

    def __init__(
        self,
        admission: AdmissionTask,
        executor: GenerationExecutor,
        metrics: CallerMetrics,
        wall_clock: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._executor = executor
        self._metrics = metrics
        self._wall_clock = wall_clock

    async def serve(self, call: Call, tenant: Tenant, in_force: ConfigurationInForce) -> None:
        """Serve one call to its end."""
        parsed = await self._parse(call, tenant, in_force)
        if isinstance(parsed, Err):
            await call.refuse(parsed.err_value)
            return
        request = parsed.ok_value
        async with cancelled_on_disconnect(call.receive, request.deadline_s + SEND_GRACE_S):
            await self._admit_and_run(call, tenant, request)

    async def _parse(
        self, call: Call, tenant: Tenant, in_force: ConfigurationInForce
    ) -> Result[GenerationRequest, Refusal]:
        deployment = in_force.deployment
        headers = parse_caller_headers(call.headers, tenant, call.request_id)
        if isinstance(headers, Err):
            return headers
        body = await read_body(call.receive, call.headers, deployment.callers)
        if isinstance(body, Err):
            return body
        decoded = decode_object(body.ok_value, deployment.callers)
        if isinstance(decoded, Err):
            return decoded
        return parse_generation(
            decoded.ok_value, call.path, tenant, headers.ok_value, deployment, call.started_s
        )

    async def _admit_and_run(self, call: Call, tenant: Tenant, request: GenerationRequest) -> None:
        permit = await self._admission.admit(
            tenant,
            request.request_id,
            math.ceil(len(request.prompt) / BYTES_PER_TOKEN),
            request.priority,
            request.deadline_s,
        )
        if isinstance(permit, Err):
            await call.refuse(permit.err_value)
            return
        try:
            async with self._executor.run(request) as chunks:
                call.history = chunks.history
                await self._answer(call, request, chunks)
        finally:
            self._admission.release(permit.ok_value)

    async def _answer(self, call: Call, request: GenerationRequest, chunks: GenerationRun) -> None:
        first = await anext(chunks)
        if isinstance(first, Err):
            await call.refuse(first.err_value)
            return
        call.ttft_s = anyio.current_time() - call.started_s
        self._metrics.time_to_first_token.observe(call.ttft_s)
        if request.streamed:
            await self._answer_streamed(call, request, first.ok_value, chunks)
        else:
            await self._answer_whole(call, request, first.ok_value, chunks)

    async def _answer_streamed(
        self, call: Call, request: GenerationRequest, first: TokenChunk, chunks: GenerationRun
    ) -> None:
        encoder = EventEncoder(request, int(self._wall_clock()))
        send = call.send
        headers = _headers(call, EVENT_STREAM_TYPE)
        headers.append((b"cache-control", b"no-cache"))
        call.record_response_started(200)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        events: list[bytes] = []
        last = first

        async def send_chunk(chunk: TokenChunk, is_next_ready: bool) -> None:
            nonlocal last
            last = chunk
            call.num_tokens += chunk.num_tokens
            if chunk.finish_reason is not None:
                return
            event = encoder.text_event(chunk.text)
            if not is_next_ready and not events:
                await send({"type": "http.response.body", "body": event, "more_body": True})
                return
            # Events are batched only if the next chunk has already arrived.
            events.append(event)
            if not is_next_ready or len(events) == MAX_EVENTS_PER_PART:
                part = _body_part(events, more=True)
                events.clear()
                await send(part)

        await send_chunk(first, chunks.num_ready > 0)
        refusal = await chunks.deliver(send_chunk)
        if refusal is not None:
            call.record_refusal(refusal)
            events.append(error_event(error_body(refusal, call.request_id)))
            await send(_body_part(events, more=False))
            return
        usage = usage_of(last, call.num_tokens)
        events.append(encoder.last_event(last.text, last.finish_reason or "", usage))
        events.append(DONE_EVENT)
        await send(_body_part(events, more=False))
        self._record_answer(call, last)

    async def _answer_whole(
        self, call: Call, request: GenerationRequest, first: TokenChunk, chunks: GenerationRun
    ) -> None:
        texts: list[str] = []
        last = first

        async def collect_chunk(chunk: TokenChunk, _is_next_ready: bool) -> None:
            nonlocal last
            last = chunk
            texts.append(chunk.text)
            call.num_tokens += chunk.num_tokens

        await collect_chunk(first, False)
        refusal = await chunks.deliver(collect_chunk)
        if refusal is not None:
            await call.refuse(refusal)
            return
        usage = usage_of(last, call.num_tokens)
        body = whole_answer(request, "".join(texts), last, usage, int(self._wall_clock()))
        call.record_response_started(200)
        await send_whole(call.send, 200, _headers(call, JSON_TYPE), body)
        self._record_answer(call, last)

    def _record_answer(self, call: Call, last: TokenChunk) -> None:
        call.num_prompt_tokens = last.num_prompt_tokens
        call.num_cached_tokens = last.num_cached_tokens
        self._metrics.record_prompt_tokens(last.num_prompt_tokens, last.num_cached_tokens)
        call.record_answer()


def _headers(call: Call, content_type: bytes) -> HeaderList:
    return [
        (b"content-type", content_type),
        (REQUEST_ID_HEADER, call.request_id.encode()),
        (b"x-run-status", b"ran"),
    ]


def _body_part(events: list[bytes], more: bool) -> Message:
    return {"type": "http.response.body", "body": b"".join(events), "more_body": more}
