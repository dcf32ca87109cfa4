"""A compact set of block hashes: open addressing in one array, 12 to 24 bytes per block.

A Python set of integers costs about 70 bytes per entry, and the home node of a few engines holds
hundreds of thousands of hashes.
"""

from array import array
from collections.abc import Iterable, Iterator

from weirscale.domain.identifiers import BlockHash

EMPTY = 0
"""Marks a free slot."""

ZERO_SUBSTITUTE = 2**64 - 1
"""Stored instead of the hash 0, which marks free slots; the two count as the same block."""

MIN_NUM_SLOTS = 16
MAX_LOAD = 0.66
"""Share of used slots above which the table doubles, so that probe sequences stay short."""

HOME_SHIFT = 24
"""A hash's home slot follows from its higher bits, because sampled hashes have equal low bits."""


class BlockSet:
    """A set of 64-bit hashes."""

    __slots__ = ("_mask", "_num_blocks", "_slots")

    def __init__(self, block_hashes: Iterable[int] = ()) -> None:
        self._reset(MIN_NUM_SLOTS)
        for block_hash in block_hashes:
            self.add(block_hash)

    def __len__(self) -> int:
        return self._num_blocks

    def __iter__(self) -> Iterator[BlockHash]:
        return (BlockHash(slot) for slot in self._slots if slot != EMPTY)

    def __contains__(self, block_hash: int) -> bool:
        return self._slots[self._find(block_hash or ZERO_SUBSTITUTE)] != EMPTY

    def add(self, block_hash: int) -> bool:
        """Add a hash; return False if it was present."""
        block_hash = block_hash or ZERO_SUBSTITUTE
        slot = self._find(block_hash)
        if self._slots[slot] != EMPTY:
            return False
        self._slots[slot] = block_hash
        self._num_blocks += 1
        if self._num_blocks > MAX_LOAD * len(self._slots):
            self._grow()
        return True

    def discard(self, block_hash: int) -> bool:
        """Remove a hash; return False if it was absent."""
        slots = self._slots
        mask = self._mask
        free = self._find(block_hash or ZERO_SUBSTITUTE)
        if slots[free] == EMPTY:
            return False
        probe = free
        while True:
            probe = (probe + 1) & mask
            moved = slots[probe]
            if moved == EMPTY:
                break
            home = (moved >> HOME_SHIFT) & mask
            # An entry may move to the free slot only if its probe sequence includes that slot.
            if (probe - home) & mask >= (probe - free) & mask:
                slots[free] = moved
                free = probe
        slots[free] = EMPTY
        self._num_blocks -= 1
        return True

    def clear(self) -> None:
        """Remove all hashes and free the memory."""
        self._reset(MIN_NUM_SLOTS)

    def _reset(self, num_slots: int) -> None:
        self._slots: array[int] = array("Q", bytes(8 * num_slots))
        self._mask = num_slots - 1
        self._num_blocks = 0

    def _find(self, block_hash: int) -> int:
        """Return the slot that holds the hash, or the free slot in which to store it."""
        slots = self._slots
        mask = self._mask
        slot = (block_hash >> HOME_SHIFT) & mask
        while True:
            held = slots[slot]
            if held in (EMPTY, block_hash):
                return slot
            slot = (slot + 1) & mask

    def _grow(self) -> None:
        held = [slot for slot in self._slots if slot != EMPTY]
        self._reset(2 * len(self._slots))
        for block_hash in held:
            self._slots[self._find(block_hash)] = block_hash
        self._num_blocks = len(held)
