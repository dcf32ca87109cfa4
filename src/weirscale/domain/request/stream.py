"""Checks that the chunks of a stream belong to its request and arrive once and in order."""

import enum

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import TokenChunk


class ChunkVerdict(enum.Enum):
    """The action for a received chunk."""

    PASS = "pass"
    """It is the next chunk of the answer: pass it on."""
    REPEATED = "repeated"
    """It was already passed on: drop it."""
    CROSSED = "crossed"
    """It belongs to another request: the stream can no longer be trusted."""
    GAP = "gap"
    """An earlier chunk is missing: request the missing chunks."""


class StreamCheck:
    """Checks one answer over all its attempts.

    A chunk passes only if it has the request's id and the next sequence number. So whatever an
    engine or the network does, the caller receives a prefix of one answer.
    """

    __slots__ = ("_request_id", "is_finished", "next_sequence", "num_tokens", "texts")

    def __init__(self, request_id: RequestId) -> None:
        self._request_id = request_id
        self.next_sequence = 0
        self.num_tokens = 0
        self.is_finished = False
        self.texts: list[str] = []

    def check(self, chunk: TokenChunk) -> ChunkVerdict:
        """Return the verdict on a chunk; a chunk that passes increments the expected sequence."""
        if chunk.request_id != self._request_id:
            return ChunkVerdict.CROSSED
        if self.is_finished or chunk.sequence < self.next_sequence:
            return ChunkVerdict.REPEATED
        if chunk.sequence > self.next_sequence:
            return ChunkVerdict.GAP
        self.next_sequence += 1
        self.num_tokens += chunk.num_tokens
        self.texts.append(chunk.text)
        self.is_finished = chunk.finish_reason is not None
        return ChunkVerdict.PASS

    @property
    def text(self) -> str:
        """The complete text that was passed on so far."""
        return "".join(self.texts)
