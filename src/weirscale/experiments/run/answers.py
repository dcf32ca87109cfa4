"""Parse a node's HTTP answer on the caller's side: an event stream or a whole body."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

import msgspec

from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import RefusalCode
from weirscale.experiments.run.exchange import CallerExchange

EVENT_END = b"\n\n"
DATA_FIELD = b"data: "
DONE = b"[DONE]"
EVENT_STREAM = b"text/event-stream"


class _Delta(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta
    finish_reason: str | None = None


class _CachedDetails(msgspec.Struct, frozen=True):
    cached_tokens: int = 0


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int
    prompt_tokens_details: _CachedDetails = _CachedDetails()


class _Event(msgspec.Struct, frozen=True):
    id: str
    choices: tuple[_Choice, ...]
    usage: _Usage | None = None


class _Error(msgspec.Struct, frozen=True):
    code: RefusalCode
    run_status: RunStatus


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _Error


class ReceivedText(msgspec.Struct, frozen=True):
    """A piece of generated text; `answer_id` is the `id` field of its event."""

    answer_id: str
    text: str


class ReceivedEnd(msgspec.Struct, frozen=True):
    """The normal end of a stream."""

    finish_reason: str | None
    num_prompt_tokens: int
    num_cached_tokens: int


class ReceivedRefusal(msgspec.Struct, frozen=True):
    """An error of the router, as a whole body or as an event of a stream."""

    code: RefusalCode
    run_status: RunStatus


class ReceivedBody(msgspec.Struct, frozen=True):
    """A whole body that is not an error of the router."""

    status: int
    body: bytes


class ReceivedBreak(msgspec.Struct, frozen=True):
    """The connection closed before the end of the answer."""


Received = ReceivedText | ReceivedEnd | ReceivedRefusal | ReceivedBody | ReceivedBreak


async def read_answer(exchange: CallerExchange) -> AsyncGenerator[Received, None]:
    """Yield the parts of an answer in order; the last one is never a `ReceivedText`."""
    start = await exchange.next_message()
    if start is None:
        yield ReceivedBreak()
        return
    headers = dict(start["headers"])
    if headers.get(b"content-type", b"").startswith(EVENT_STREAM):
        async with aclosing(_read_stream(exchange)) as stream:
            async for received in stream:
                yield received
        return
    body = await _read_body(exchange)
    if body is None:
        yield ReceivedBreak()
        return
    yield _refusal(body) or ReceivedBody(start["status"], body)


async def _read_body(exchange: CallerExchange) -> bytes | None:
    """Return the whole body, or None if the connection closed before its end."""
    parts: list[bytes] = []
    while True:
        message = await exchange.next_message()
        if message is None:
            return None
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


def _refusal(body: bytes) -> ReceivedRefusal | None:
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return None
    return ReceivedRefusal(error.code, error.run_status)


async def _read_stream(exchange: CallerExchange) -> AsyncGenerator[Received, None]:
    buffer = b""
    last = ReceivedEnd(finish_reason=None, num_prompt_tokens=0, num_cached_tokens=0)
    while True:
        message = await exchange.next_message()
        if message is None:
            yield ReceivedBreak()
            return
        buffer += message.get("body", b"")
        *events, buffer = buffer.split(EVENT_END)
        for event in events:
            data = event.removeprefix(DATA_FIELD)
            if data == DONE:
                yield last
                return
            refusal = _refusal(data)
            if refusal is not None:
                yield refusal
                return
            piece = msgspec.json.decode(data, type=_Event)
            yield ReceivedText(piece.id, piece.choices[0].delta.content)
            last = _stream_end(piece)
        if not message.get("more_body", False):
            # The HTTP body is complete but holds neither an end marker nor an error.
            yield ReceivedEnd(finish_reason=None, num_prompt_tokens=0, num_cached_tokens=0)
            return


def _stream_end(piece: _Event) -> ReceivedEnd:
    usage = piece.usage
    return ReceivedEnd(
        finish_reason=piece.choices[0].finish_reason,
        num_prompt_tokens=usage.prompt_tokens if usage else 0,
        num_cached_tokens=usage.prompt_tokens_details.cached_tokens if usage else 0,
    )
