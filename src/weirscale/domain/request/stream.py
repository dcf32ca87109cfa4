"""Checks that the chunks of an answer are its own, each once and in order."""

import enum

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import TokenChunk


class ChunkVerdict(enum.Enum):
    """What to do with a chunk that arrived."""

    PASS = "pass"
    """The next chunk of the answer: pass it on."""
    REPEATED = "repeated"
    """Passed on already: drop it."""
    CROSSED = "crossed"
    """Belongs to another request: the stream can't be trusted any more."""
    GAP = "gap"
    """A chunk before it is missing: ask for the missing ones."""


class StreamCheck:
    """Follows one answer over all its attempts.

    A chunk passes only if it carries the request's id and the very next sequence, so whatever an
    engine or a network does, the caller sees a prefix of one answer.
    """

    __slots__ = ("_request_id", "is_finished", "next_sequence", "num_tokens", "texts")

    def __init__(self, request_id: RequestId) -> None:
        self._request_id = request_id
        self.next_sequence = 0
        self.num_tokens = 0
        self.is_finished = False
        self.texts: list[str] = []

    def check(self, chunk: TokenChunk) -> ChunkVerdict:
        """Judge a chunk; a passed one moves the expected sequence on."""
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
        """All text passed so far."""
        return "".join(self.texts)
