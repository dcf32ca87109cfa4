"""What a node believes one engine or store keeps of prompts.

Beliefs come from sends, the node's own and those in other nodes' gossip. They are hints: an engine
reads what it lacks, and finds a block only within the scope that it was made in.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.prompt import PromptBlock


class KeptBlock(msgspec.Struct):
    """A block believed to be kept.

    Attributes:
        num_tokens: Its size.
        is_ready: Whether the engine has certainly read it, so that others may fetch it.
    """

    num_tokens: int
    is_ready: bool


class CachedBlocks:
    """The blocks believed to be kept at one place; the least recently used are dropped first.

    Args:
        capacity_tokens: Tokens that fit.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._num_tokens = 0
        self._blocks: OrderedDict[tuple[str, str], KeptBlock] = OrderedDict()

    def record(self, scope: str, blocks: Sequence[PromptBlock], is_ready: bool) -> None:
        """Record that a request with these blocks goes there, or that it has been read there."""
        # The first block is touched last, so that a chain loses its end before its beginning.
        for block in reversed(blocks):
            self._record_block((scope, block.block_id), block.num_tokens, is_ready)
        while self._num_tokens > self._capacity_tokens and self._blocks:
            _, dropped = self._blocks.popitem(last=False)
            self._num_tokens -= dropped.num_tokens

    def _record_block(self, key: tuple[str, str], num_tokens: int, is_ready: bool) -> None:
        kept = self._blocks.get(key)
        if kept is None:
            self._blocks[key] = KeptBlock(num_tokens, is_ready)
            self._num_tokens += num_tokens
            return
        kept.is_ready = kept.is_ready or is_ready
        self._blocks.move_to_end(key)

    def matched_tokens(
        self, scope: str, blocks: Sequence[PromptBlock], only_ready: bool = False
    ) -> int:
        """Return the tokens of the leading blocks that are kept."""
        num_tokens = 0
        for block in blocks:
            kept = self._blocks.get((scope, block.block_id))
            if kept is None or (only_ready and not kept.is_ready):
                break
            num_tokens += block.num_tokens
        return num_tokens

    def forget(self, scope: str, blocks: Sequence[PromptBlock]) -> None:
        """Forget blocks that were expected and not read there."""
        for block in blocks:
            kept = self._blocks.get((scope, block.block_id))
            if kept is not None and not kept.is_ready:
                del self._blocks[(scope, block.block_id)]
                self._num_tokens -= kept.num_tokens

    def clear(self) -> None:
        """Forget everything: the place restarted or took new weights."""
        self._blocks.clear()
        self._num_tokens = 0
