"""One attempt as the engine holds it, from its arrival until it is forgotten."""

from collections.abc import Callable

from weirscale.domain.identifiers import BlockHash
from weirscale.domain.request.model import TokenChunk
from weirscale.ports.engine import EngineFailure, GenerateCall
from weirscale.standins.engine.answer import CHARACTERS_PER_TOKEN, expected_text
from weirscale.standins.engine.ledger import RunRecord

FINISH_REASON = "length"
"""The stand-in always generates the most tokens asked for."""


class Attempt:
    """State of one attempt; changed by the engine model only.

    Attributes:
        call: What was asked.
        block_hashes: Chain of the full blocks of the prompt and the continued text.
        num_prompt_tokens: Tokens of the prompt and the continued text.
        num_total_blocks: Blocks needed until the last token.
        deadline_s: When the caller gives up.
        num_cached_tokens: Prompt tokens found in the cache when the attempt entered the batch.
        num_prefill_left: Prompt tokens to compute.
        num_held_blocks: Leading blocks of the chain that are pinned.
        num_reserved_blocks: Blocks reserved and not yet pinned.
        num_generated: Tokens of the answer so far, continued ones included.
        chunks: Everything streamed so far.
        failure: Why it ended without a whole answer, or None.
        is_done: Whether no chunk will follow.
        record: Its ledger entry, None until it enters the batch.
        listeners: Called once at the next change.
    """

    __slots__ = (
        "_text",
        "block_hashes",
        "call",
        "chunks",
        "deadline_s",
        "failure",
        "forget_at_s",
        "is_done",
        "listeners",
        "num_cached_tokens",
        "num_generated",
        "num_held_blocks",
        "num_prefill_left",
        "num_prompt_tokens",
        "num_reserved_blocks",
        "num_total_blocks",
        "record",
    )

    def __init__(
        self,
        call: GenerateCall,
        block_hashes: list[BlockHash],
        num_prompt_tokens: int,
        num_total_blocks: int,
        deadline_s: float,
    ) -> None:
        self.call = call
        self.block_hashes = block_hashes
        self.num_prompt_tokens = num_prompt_tokens
        self.num_total_blocks = num_total_blocks
        self.deadline_s = deadline_s
        self.num_cached_tokens = 0
        self.num_prefill_left = num_prompt_tokens
        self.num_held_blocks = 0
        self.num_reserved_blocks = 0
        self.num_generated = call.continue_num_tokens
        self.chunks: list[TokenChunk] = []
        self.failure: EngineFailure | None = None
        self.is_done = False
        self.record: RunRecord | None = None
        self.forget_at_s = 0.0
        self.listeners: list[Callable[[], None]] = []
        self._text: str | None = None

    @property
    def num_tokens_left(self) -> int:
        """Tokens still to generate."""
        return max(0, self.call.max_tokens - self.num_generated)

    def generate(self, num_tokens: int) -> None:
        """Append one chunk with the next tokens; the last chunk carries the counts."""
        if self._text is None:
            self._text = expected_text(self.call.prompt, self.call.max_tokens)
        start = self.num_generated
        end = start + min(num_tokens, self.num_tokens_left)
        self.num_generated = end
        is_last = end >= self.call.max_tokens
        self.chunks.append(
            TokenChunk(
                request_id=self.call.request_id,
                sequence=self.call.continue_sequence + len(self.chunks),
                text=self._text[start * CHARACTERS_PER_TOKEN : end * CHARACTERS_PER_TOKEN],
                num_tokens=end - start,
                finish_reason=FINISH_REASON if is_last else None,
                num_prompt_tokens=self.num_prompt_tokens if is_last else 0,
                num_cached_tokens=self.num_cached_tokens if is_last else 0,
            )
        )

    def notify(self) -> None:
        """Wake whoever streams this attempt."""
        listeners, self.listeners = self.listeners, []
        for listener in listeners:
            listener()
