"""Bounded store of KV blocks, keyed by chained block hash.

The seed of the hash chain covers tenant, model, weight version and adapter, so a block is never
shared between different ones.
"""

from collections import OrderedDict
from collections.abc import Sequence

import anyio
import msgspec
from result import Ok, Result

from weirscale.domain.identifiers import BlockHash


class KeptKvSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Properties of a stand-in kept-KV store.

    Attributes:
        name: The store's name.
        num_total_blocks: Capacity; the least recently used blocks are evicted first.
        call_latency_s: Fixed part of the duration of a call.
        block_transfer_s: Duration of the transfer of one block, in either direction.
    """

    name: str
    num_total_blocks: int = 100_000
    call_latency_s: float = 0.002
    block_transfer_s: float = 0.00016


class InProcessKeptKvStore:
    """An in-process store; a `BlockStore` for stand-in engines."""

    def __init__(self, settings: KeptKvSettings) -> None:
        self.settings = settings
        self._blocks: OrderedDict[BlockHash, None] = OrderedDict()
        self.num_imported_blocks = 0

    @property
    def num_blocks(self) -> int:
        """Number of stored blocks."""
        return len(self._blocks)

    async def import_blocks(self, block_hashes: Sequence[BlockHash]) -> Result[int, str]:
        """Read a chain of blocks; return how many leading blocks were stored."""
        num_found = self._num_leading(block_hashes)
        await self._call(num_found)
        for block_hash in block_hashes[:num_found]:
            if block_hash in self._blocks:
                self._blocks.move_to_end(block_hash)
        self.num_imported_blocks += num_found
        return Ok(num_found)

    async def export_blocks(self, block_hashes: Sequence[BlockHash]) -> Result[None, str]:
        """Store a chain of blocks; blocks that are already stored need no transfer."""
        missing = [block_hash for block_hash in block_hashes if block_hash not in self._blocks]
        await self._call(len(missing))
        # Deeper blocks are written first, so that they are evicted before those they depend on.
        for block_hash in reversed(block_hashes):
            self._blocks[block_hash] = None
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > self.settings.num_total_blocks:
            self._blocks.popitem(last=False)
        return Ok(None)

    def _num_leading(self, block_hashes: Sequence[BlockHash]) -> int:
        for index, block_hash in enumerate(block_hashes):
            if block_hash not in self._blocks:
                return index
        return len(block_hashes)

    async def _call(self, num_blocks: int) -> None:
        transfer_s = num_blocks * self.settings.block_transfer_s
        await anyio.sleep(self.settings.call_latency_s + transfer_s)
