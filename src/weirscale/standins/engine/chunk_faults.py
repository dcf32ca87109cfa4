"""Faults in a stream: broken off, or with corrupt, repeated, missing, swapped or foreign chunks."""

import msgspec
from result import Err, Ok

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import TokenChunk
from weirscale.ports.engine import ChunkOrFailure, EngineFailure, EngineFailureKind
from weirscale.standins.faults import EngineFaults

OTHER_REQUEST_ID = RequestId("another-request")
OTHER_TEXT = "text of another answer"

EARLY_END = EngineFailure(EngineFailureKind.BROKEN, "the stream ended before the answer; resume it")
"""Represents a stream that ends normally before the answer is complete."""


class ChunkFaults:
    """Applies faults to the chunks of one stream."""

    def __init__(self, faults: EngineFaults) -> None:
        self._faults = faults
        self._num_received = 0
        self._delayed_chunk: TokenChunk | None = None
        self.is_ended = False

    def pass_on(self, chunk: TokenChunk) -> list[ChunkOrFailure]:
        """Return what the engine sends for a chunk; set `is_ended` if the stream ends here."""
        faults = self._faults
        number = self._num_received
        self._num_received += 1
        if number in (faults.cut_before_chunk, faults.garble_chunk):
            self.is_ended = True
            return [Err(self._failure(number))]
        if number == faults.end_before_chunk:
            self.is_ended = True
            return [Err(EARLY_END)]
        if number == faults.skip_chunk:
            return []
        if number == faults.swap_chunk and chunk.finish_reason is None:
            self._delayed_chunk = chunk
            return []
        chunks = [self._change(chunk, number)]
        if number == faults.duplicate_chunk:
            chunks.append(chunks[0])
        if self._delayed_chunk is not None:
            chunks.append(self._delayed_chunk)
            self._delayed_chunk = None
        return [Ok(item) for item in chunks]

    def _failure(self, number: int) -> EngineFailure:
        if number == self._faults.garble_chunk:
            return EngineFailure(EngineFailureKind.CORRUPT, "the stream does not parse")
        return EngineFailure(EngineFailureKind.BROKEN, "the stream broke; resume it")

    def _change(self, chunk: TokenChunk, number: int) -> TokenChunk:
        if self._faults.wrong_request_id:
            return msgspec.structs.replace(chunk, request_id=OTHER_REQUEST_ID)
        if number == self._faults.cross_chunk:
            return msgspec.structs.replace(chunk, request_id=OTHER_REQUEST_ID, text=OTHER_TEXT)
        return chunk
