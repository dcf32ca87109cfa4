"""Encode the chunks of an answer as server-sent events in the format of the OpenAI API."""

import msgspec

from weirscale.domain.request.model import TokenChunk
from weirscale.ports import engine_wire as wire
from weirscale.ports.engine import EngineFailure, EngineFailureKind, GenerateCall

CHAT_PATH = "/v1/chat/completions"
GARBLED_EVENT = b'data: {"choices": [{"del' + wire.EVENT_END


class StreamEncoder:
    """Encodes the events of one stream."""

    def __init__(self, call: GenerateCall) -> None:
        self._is_chat = call.path == CHAT_PATH
        self._object = "chat.completion.chunk" if self._is_chat else "text_completion"
        self._model = call.model

    def encode(self, chunk: TokenChunk) -> bytes:
        """Encode one chunk as an event."""
        choice = wire.StreamChoice(finish_reason=chunk.finish_reason)
        if self._is_chat:
            choice.delta = wire.Delta(chunk.text)
        else:
            choice.text = chunk.text
        event = wire.StreamEvent(
            id=chunk.request_id,
            object=self._object,
            model=self._model,
            choices=[choice],
            sequence=chunk.sequence,
            num_tokens=chunk.num_tokens,
        )
        if chunk.finish_reason is not None:
            event.usage = _usage(chunk.num_prompt_tokens, chunk.num_cached_tokens)
        return wire.DATA_PREFIX + msgspec.json.encode(event) + wire.EVENT_END

    def encode_failure(self, failure: EngineFailure) -> bytes:
        """Encode a failure as an error event, and a CORRUPT failure as an invalid event."""
        if failure.kind is EngineFailureKind.CORRUPT:
            return GARBLED_EVENT
        error = wire.WireError(
            message=failure.detail, code=failure.kind.value, retry_after_s=failure.retry_after_s
        )
        body = msgspec.json.encode(wire.ErrorBody(error))
        return wire.DATA_PREFIX + body + wire.EVENT_END

    def end(self) -> bytes:
        """Return the event that ends the stream."""
        return wire.DATA_PREFIX + wire.END_OF_STREAM + wire.EVENT_END


def _usage(num_prompt_tokens: int, num_cached_tokens: int) -> wire.Usage:
    return wire.Usage(
        prompt_tokens=num_prompt_tokens,
        completion_tokens=0,
        total_tokens=num_prompt_tokens,
        prompt_tokens_details=wire.PromptDetails(num_cached_tokens),
    )
