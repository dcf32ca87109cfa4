"""State of one attempt in the engine, from its arrival to the end of its retention."""

from collections.abc import Callable

from weirscale.domain.identifiers import BlockHash
from weirscale.domain.request.model import TokenChunk
from weirscale.ports.engine import EngineFailure, GenerateCall
from weirscale.standins.engine.answer import CHARACTERS_PER_TOKEN, expected_text
from weirscale.standins.engine.ledger import RunRecord

FINISH_REASON = "length"
"""The stand-in always generates `max_tokens` tokens."""


class Attempt:
    """State of one attempt; only the engine model changes it.

    Attributes:
        call: The call that started the attempt.
        block_hashes: Hash chain of the full blocks of the prompt and the continued text.
        num_prompt_tokens: Tokens of the prompt and the continued text.
        num_total_blocks: Blocks needed for the prompt and the whole answer.
        deadline_s: Time at which the caller gives up.
        num_cached_tokens: Prompt tokens found in the cache when the attempt entered the batch.
        num_prefill_left: Prompt tokens still to compute.
        num_held_blocks: Number of leading blocks of the chain that are pinned.
        num_reserved_blocks: Number of reserved blocks that are not yet pinned.
        num_generated: Answer tokens so far, including those of a continued answer.
        chunks: Chunks generated so far.
        failure: Why the attempt ended without a whole answer, or None.
        is_done: Whether the attempt has ended and no chunk will follow.
        retained_until_s: End of the retention of a finished attempt.
        record: Ledger entry of the attempt, None until it enters the batch.
        listeners: Functions that are called once at the next change.
    """

    __slots__ = (
        "_text",
        "block_hashes",
        "call",
        "chunks",
        "deadline_s",
        "failure",
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
        "retained_until_s",
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
        self.retained_until_s = 0.0
        self.listeners: list[Callable[[], None]] = []
        self._text: str | None = None

    @property
    def num_tokens_left(self) -> int:
        """Tokens still to generate."""
        return max(0, self.call.max_tokens - self.num_generated)

    def generate(self, num_tokens: int) -> None:
        """Append a chunk with the next tokens; the last chunk carries the token counts."""
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
        """Call the listeners of this attempt once."""
        listeners, self.listeners = self.listeners, []
        for listener in listeners:
            listener()
