"""Answers in OpenAI's format: complete JSON bodies, and the events of a stream."""

import msgspec

from weirscale.domain.request.model import GenerationRequest, TokenChunk
from weirscale.node.callers.generation_input import ADAPTER_SEPARATOR, CHAT_PATH

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"

_encode = msgspec.json.Encoder().encode


class PromptTokensDetails(msgspec.Struct, frozen=True):
    """Prompt tokens by how they were served."""

    cached_tokens: int


class Usage(msgspec.Struct, frozen=True):
    """Token counts of one answer, as counted by the engine."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class _ChatMessage(msgspec.Struct, frozen=True):
    content: str
    role: str = "assistant"


class _ChatChoice(msgspec.Struct, frozen=True):
    message: _ChatMessage
    finish_reason: str
    index: int = 0


class _TextChoice(msgspec.Struct, frozen=True):
    text: str
    finish_reason: str
    index: int = 0


class _Answer(msgspec.Struct, frozen=True):
    id: str
    object: str
    created: int
    model: str
    choices: tuple[_ChatChoice | _TextChoice, ...]
    usage: Usage


def usage_of(last: TokenChunk, num_completion_tokens: int) -> Usage:
    """Return the usage of an answer whose last chunk is `last`."""
    return Usage(
        prompt_tokens=last.num_prompt_tokens,
        completion_tokens=num_completion_tokens,
        total_tokens=last.num_prompt_tokens + num_completion_tokens,
        prompt_tokens_details=PromptTokensDetails(last.num_cached_tokens),
    )


def model_label(request: GenerationRequest) -> str:
    """Return the model's name as the caller sent it."""
    if request.adapter is None:
        return request.model
    return request.model + ADAPTER_SEPARATOR + request.adapter


def whole_answer(
    request: GenerationRequest, text: str, last: TokenChunk, usage: Usage, created_s: int
) -> bytes:
    """Return the JSON body of a complete answer."""
    is_chat = request.path == CHAT_PATH
    reason = last.finish_reason or ""
    choice = _ChatChoice(_ChatMessage(text), reason) if is_chat else _TextChoice(text, reason)
    answer = _Answer(
        id=request.request_id,
        object="chat.completion" if is_chat else "text_completion",
        created=created_s,
        model=model_label(request),
        choices=(choice,),
        usage=usage,
    )
    return _encode(answer)


class EventEncoder:
    """Encodes the chunks of one answer as server-sent events.

    Everything except the text is the same in all events of an answer, so it is encoded once.
    """

    __slots__ = ("_after_text", "_before_text", "_head", "_is_chat")

    def __init__(self, request: GenerationRequest, created_s: int) -> None:
        self._is_chat = request.path == CHAT_PATH
        kind = b"chat.completion.chunk" if self._is_chat else b"text_completion"
        self._head = b"".join(
            (
                b'data: {"id":',
                _encode(request.request_id),
                b',"object":"',
                kind,
                b'","created":',
                str(created_s).encode(),
                b',"model":',
                _encode(model_label(request)),
                b',"choices":[{"index":0,',
            )
        )
        field = b'"delta":{"content":' if self._is_chat else b'"text":'
        self._before_text = self._head + field
        close = b"}" if self._is_chat else b""
        self._after_text = close + b',"finish_reason":null}]}' + EVENT_END

    def text_event(self, text: str) -> bytes:
        """Return the event for a piece of text."""
        return self._before_text + _encode(text) + self._after_text

    def last_event(self, text: str, finish_reason: str, usage: Usage) -> bytes:
        """Return the event for the last piece of text, with the finish reason and the usage."""
        close = b"}" if self._is_chat else b""
        return b"".join(
            (
                self._before_text,
                _encode(text),
                close,
                b',"finish_reason":',
                _encode(finish_reason),
                b'}],"usage":',
                _encode(usage),
                b"}",
                EVENT_END,
            )
        )


def error_event(error_json: bytes) -> bytes:
    """Return the event that ends a broken stream; `[DONE]` must not follow it."""
    return b"data: " + error_json + EVENT_END
