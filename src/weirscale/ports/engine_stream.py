"""Parses an engine's server-sent events into chunks, with little work for each token."""

import msgspec
from result import Err, Ok

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import TokenChunk
from weirscale.ports import engine_wire as wire
from weirscale.ports.engine import ChunkOrFailure, EngineFailure, EngineFailureKind

MAX_EVENT_BYTES = 1024 * 1024
"""A longer event cannot be a chunk of an answer; the stream is corrupt."""

ERROR_EVENT_STATUS = 200
"""HTTP status of a stream that contains an error event."""

_DATA_PREFIX_LENGTH = len(wire.DATA_PREFIX)
_DECODE = msgspec.json.Decoder(wire.StreamEvent).decode


class SseParser:
    """Parser of one stream.

    An engine may send token counts in a separate event after the last chunk, as vLLM does.
    The last chunk is therefore held back until the counts or the end marker arrive.

    Attributes:
        is_finished: Whether the answer is complete or has failed; nothing more is read then.
    """

    def __init__(self, request_id: RequestId, first_sequence: int) -> None:
        self.is_finished = False
        self._request_id = request_id
        self._next_sequence = first_sequence
        self._incomplete_event = b""
        self._last_chunk: TokenChunk | None = None

    def feed(self, data: bytes) -> list[ChunkOrFailure]:
        """Return the chunks, or the failure, that a piece of the body completes."""
        if b"\r" in data:
            data = data.replace(b"\r", b"")
        *events, self._incomplete_event = (
            self._incomplete_event + data if self._incomplete_event else data
        ).split(wire.EVENT_END)
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            return [self._fail_as_corrupt(f"an event is longer than {MAX_EVENT_BYTES} bytes")]
        items: list[ChunkOrFailure] = []
        for event in events:
            if self.is_finished:
                break
            item = self._read_event(event)
            if item is not None:
                items.append(item)
        return items

    def end(self) -> ChunkOrFailure:
        """Return the held-back last chunk, or the failure that the stream ended early."""
        self.is_finished = True
        if self._last_chunk is not None:
            return Ok(self._last_chunk)
        detail = "the stream ended before the end of the answer; resume it"
        return Err(EngineFailure(EngineFailureKind.BROKEN, detail))

    def _read_event(self, event: bytes) -> ChunkOrFailure | None:
        if not event.startswith(wire.DATA_PREFIX):
            return (
                None
                if event.startswith(b":") or not event
                else self._fail_as_corrupt(repr(event[:80]))
            )
        payload = event[_DATA_PREFIX_LENGTH:]
        if payload == wire.END_OF_STREAM:
            return self.end()
        try:
            decoded = _DECODE(payload)
        except (msgspec.DecodeError, ValueError) as error:
            return self._fail_as_corrupt(str(error))
        if decoded.error is not None:
            self.is_finished = True
            return Err(wire.failure_of_answer(ERROR_EVENT_STATUS, decoded.error))
        return self._chunk_of(decoded)

    def _chunk_of(self, event: wire.StreamEvent) -> ChunkOrFailure | None:
        if not event.choices:
            return self._finish_with(event.usage) if event.usage is not None else None
        choice = event.choices[0]
        text = choice.text if choice.delta is None else choice.delta.content
        if not text and choice.finish_reason is None:
            return None
        sequence = self._next_sequence if event.sequence is None else event.sequence
        self._next_sequence = sequence + 1
        is_own = event.id == self._request_id
        request_id = self._request_id if is_own else self._request_id_of(event.id)
        if choice.finish_reason is None and text:
            return Ok(TokenChunk(request_id, sequence, text, event.num_tokens))
        self._last_chunk = TokenChunk(
            request_id=request_id,
            sequence=sequence,
            text=text or "",
            num_tokens=event.num_tokens if text else 0,
            finish_reason=choice.finish_reason,
        )
        return self._finish_with(event.usage) if event.usage is not None else None

    def _finish_with(self, usage: wire.Usage | None) -> ChunkOrFailure | None:
        if self._last_chunk is None or usage is None:
            return None
        self.is_finished = True
        details = usage.prompt_tokens_details
        complete_chunk = msgspec.structs.replace(
            self._last_chunk,
            num_prompt_tokens=usage.prompt_tokens,
            num_cached_tokens=details.cached_tokens if details else 0,
        )
        return Ok(complete_chunk)

    def _request_id_of(self, wire_id: str) -> RequestId:
        for prefix in wire.ID_PREFIXES:
            if wire_id == prefix + self._request_id:
                return self._request_id
        return RequestId(wire_id)

    def _fail_as_corrupt(self, detail: str) -> ChunkOrFailure:
        self.is_finished = True
        return Err(EngineFailure(EngineFailureKind.CORRUPT, f"the stream does not parse: {detail}"))
