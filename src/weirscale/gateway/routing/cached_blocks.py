"""Estimated contents of the prefix cache of one engine or kept-KV store.

The estimate follows the prompts that this node and, as gossip reports it, other nodes send. It is
only a hint: an engine prefills the blocks that it lacks, and reuses a block only within the scope
that the block was made in.
"""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from weirscale.gateway.model.prompt import PromptBlock


class CachedBlock(msgspec.Struct):
    """A block that is presumably cached.

    Attributes:
        num_tokens: Size of the block in tokens.
        is_ready: Whether the engine has certainly prefilled it, so that other engines can fetch it.
    """

    num_tokens: int
    is_ready: bool


class CachedBlocks:
    """The blocks that are presumably cached in one place, evicted in least recently used order.

    Args:
        capacity_tokens: Capacity of the cache in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._num_tokens = 0
        self._blocks: OrderedDict[tuple[str, str], CachedBlock] = OrderedDict()

    def record(self, scope: str, blocks: Sequence[PromptBlock], is_ready: bool) -> None:
        """Record that the blocks of a prompt were sent there, or (`is_ready`) prefilled there."""
        # In reverse order, so that eviction removes the end of a prefix before its beginning.
        for block in reversed(blocks):
            self._record_block((scope, block.block_id), block.num_tokens, is_ready)
        while self._num_tokens > self._capacity_tokens and self._blocks:
            _, evicted = self._blocks.popitem(last=False)
            self._num_tokens -= evicted.num_tokens

    def _record_block(self, key: tuple[str, str], num_tokens: int, is_ready: bool) -> None:
        cached = self._blocks.get(key)
        if cached is None:
            self._blocks[key] = CachedBlock(num_tokens, is_ready)
            self._num_tokens += num_tokens
            return
        cached.is_ready = cached.is_ready or is_ready
        self._blocks.move_to_end(key)

    def matched_tokens(
        self, scope: str, blocks: Sequence[PromptBlock], only_ready: bool = False
    ) -> int:
        """Return the number of tokens in the leading blocks that are cached."""
        num_tokens = 0
        for block in blocks:
            cached = self._blocks.get((scope, block.block_id))
            if cached is None or (only_ready and not cached.is_ready):
                break
            num_tokens += block.num_tokens
        return num_tokens

    def forget(self, scope: str, blocks: Sequence[PromptBlock]) -> None:
        """Remove blocks that were recorded as sent there and were not prefilled."""
        for block in blocks:
            cached = self._blocks.get((scope, block.block_id))
            if cached is not None and not cached.is_ready:
                del self._blocks[(scope, block.block_id)]
                self._num_tokens -= cached.num_tokens

    def clear(self) -> None:
        """Remove all blocks, after a restart or a load of new weights."""
        self._blocks.clear()
        self._num_tokens = 0
