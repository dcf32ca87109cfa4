"""Paged prefix cache that pins the blocks of running requests and evicts others by LRU.

Memory is counted in blocks. A running request holds the cached blocks of its prompt (pinned, shared
with other requests) and a reservation for blocks that are not yet computed. The sum of pinned,
unpinned and reserved blocks never exceeds the total: unpinned blocks are evicted to make room,
least recently used first.
"""

from collections import OrderedDict
from collections.abc import Sequence

from weirscale.domain.identifiers import BlockHash
from weirscale.standins.engine.event_log import EventLog


class PrefixCache:
    """Cached blocks of one engine incarnation, all of the same model version."""

    def __init__(self, num_total_blocks: int, events: EventLog) -> None:
        self._num_total = num_total_blocks
        self._events = events
        self._pin_counts: dict[BlockHash, int] = {}
        self._unpinned: OrderedDict[BlockHash, None] = OrderedDict()
        self._num_reserved = 0

    @property
    def num_cached(self) -> int:
        """Number of cached blocks, pinned or not."""
        return len(self._pin_counts) + len(self._unpinned)

    def block_hashes(self) -> tuple[BlockHash, ...]:
        """Return all cached blocks: unpinned ones, least recently used first, then pinned ones."""
        return (*self._unpinned, *self._pin_counts)

    def num_matched(self, block_hashes: Sequence[BlockHash]) -> int:
        """Return how many leading blocks of a chain are cached."""
        pin_counts = self._pin_counts
        unpinned = self._unpinned
        for index, block_hash in enumerate(block_hashes):
            if block_hash not in pin_counts and block_hash not in unpinned:
                return index
        return len(block_hashes)

    def acquire(self, block_hashes: Sequence[BlockHash], num_matched: int, num_new: int) -> bool:
        """Pin the matched leading blocks and reserve room for new ones.

        Return False, and change nothing, if there is not enough room.
        """
        matched = block_hashes[:num_matched]
        num_already_pinned = sum(1 for item in matched if item in self._pin_counts)
        num_pinned_after = len(self._pin_counts) + num_matched - num_already_pinned
        if num_pinned_after + self._num_reserved + num_new > self._num_total:
            return False
        for block_hash in matched:
            self._pin(block_hash)
        self._num_reserved += num_new
        self._evict_to_fit()
        return True

    def store_reserved(self, block_hash: BlockHash, parent: BlockHash | None) -> None:
        """Turn one reserved block into a pinned, cached block."""
        self._num_reserved -= 1
        if block_hash not in self._pin_counts and block_hash not in self._unpinned:
            self._events.record_stored(block_hash, parent)
        self._pin(block_hash)

    def import_blocks(self, block_hashes: Sequence[BlockHash]) -> None:
        """Cache a chain of blocks computed elsewhere, within memory not pinned or reserved."""
        parent: BlockHash | None = None
        room = self._num_total - len(self._pin_counts) - self._num_reserved
        for block_hash in block_hashes[: max(0, room)]:
            if block_hash in self._unpinned:
                self._unpinned.move_to_end(block_hash)
            elif block_hash not in self._pin_counts:
                self._unpinned[block_hash] = None
                self._events.record_stored(block_hash, parent)
            parent = block_hash
        self._evict_to_fit()

    def release(self, block_hashes: Sequence[BlockHash], num_reserved: int) -> None:
        """Unpin blocks and return a reservation; deeper blocks will be evicted first."""
        pin_counts = self._pin_counts
        self._num_reserved -= num_reserved
        for block_hash in reversed(block_hashes):
            count = pin_counts[block_hash] - 1
            if count:
                pin_counts[block_hash] = count
                continue
            del pin_counts[block_hash]
            self._unpinned[block_hash] = None

    def clear(self) -> None:
        """Drop all blocks; must only be called while no request runs."""
        if self.num_cached:
            self._events.record_cleared()
        self._pin_counts.clear()
        self._unpinned.clear()
        self._num_reserved = 0

    def _pin(self, block_hash: BlockHash) -> None:
        count = self._pin_counts.get(block_hash, 0)
        if not count:
            self._unpinned.pop(block_hash, None)
        self._pin_counts[block_hash] = count + 1

    def _evict_to_fit(self) -> None:
        num_excess = self.num_cached + self._num_reserved - self._num_total
        for _ in range(num_excess):
            block_hash, _ = self._unpinned.popitem(last=False)
            self._events.record_removed(block_hash)
