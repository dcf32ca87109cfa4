"""Table from block key to the engines that hold it, with one bit for each engine of a zone."""

from collections.abc import Callable, Sequence

MAX_RETIRED_BITS = 16
"""Bits of emptied engines that may stay in the table before a sweep removes them. A sweep of
100,000 entries takes about 10 ms."""


class EngineMasks:
    """Table from key to engine bits.

    Emptying an engine is cheap: its bit is retired and a new bit is used. A sweep removes several
    retired bits from the table at once.
    """

    def __init__(self) -> None:
        self._masks: dict[int, int] = {}
        self._live = 0
        self._retired = 0

    def __len__(self) -> int:
        return len(self._masks)

    @property
    def live(self) -> int:
        """All bits in use."""
        return self._live

    def new_bit(self) -> int:
        """Return a bit for one engine that no key has."""
        used = self._live | self._retired
        bit = ~used & (used + 1)
        self._live |= bit
        return bit

    def retire_bit(self, bit: int) -> None:
        """Empty an engine; the caller must not use its bit again."""
        self._live &= ~bit
        self._retired |= bit
        if self._retired.bit_count() >= MAX_RETIRED_BITS:
            self._sweep()

    def add(self, key: int, bit: int) -> None:
        """Record that the engine holds the key."""
        self._masks[key] = self._masks.get(key, 0) | bit

    def remove(self, key: int, bit: int) -> None:
        """Record that the engine does not hold the key."""
        mask = self._masks.get(key, 0) & ~bit
        if mask:
            self._masks[key] = mask
        else:
            self._masks.pop(key, None)

    def remove_where(self, bit: int, is_removed: Callable[[int], bool]) -> None:
        """Remove the keys of one engine that satisfy a condition."""
        held = [key for key, mask in self._masks.items() if mask & bit]
        for key in held:
            if is_removed(key):
                self.remove(key, bit)

    def keys_of(self, bit: int) -> set[int]:
        """Return all keys of one engine; scans the table."""
        return {key for key, mask in self._masks.items() if mask & bit}

    def leading_depths(
        self, block_hashes: Sequence[int], shift: int, sample_bits: int, engine_bits: int
    ) -> list[tuple[int, int]]:
        """Return how many leading blocks of a chain each engine holds, by bisection.

        Engines evict the tail of a chain before its head, so a held sampled block implies all
        blocks before it. The number of look-ups grows with the number of different depths and with
        the logarithm of the chain's length.

        Args:
            block_hashes: The chain.
            shift: A hash shifted right by this is a key.
            sample_bits: Only keys with this many zero low bits are in the table.
            engine_bits: Bits of the engines to look up, none of them retired.

        Returns:
            Pairs of engine bits and a lower bound of the leading blocks held; engines without any
            are absent.
        """
        num_blocks = len(block_hashes)
        sample_mask = (1 << sample_bits) - 1
        masks = self._masks
        depths: list[tuple[int, int]] = []
        # Each segment is (low, present, high, remaining): the engines `present` hold block `low`,
        # and of these only `remaining` hold block `high`.
        segments = [(-1, engine_bits, num_blocks, 0)]
        while segments:
            low, present, high, remaining = segments.pop()
            ending = present & ~remaining
            if not ending:
                continue
            probe = _next_sampled(block_hashes, shift, sample_mask, low, high)
            if probe < 0:
                if low >= 0:
                    depths.append((ending, low + 1))
                continue
            held = (masks.get(block_hashes[probe] >> shift, 0) & present) | remaining
            segments.append((low, present, probe, held))
            segments.append((probe, held, high, remaining))
        return depths

    def _sweep(self) -> None:
        live = self._live
        self._masks = {key: mask & live for key, mask in self._masks.items() if mask & live}
        self._retired = 0


def _next_sampled(
    block_hashes: Sequence[int], shift: int, sample_mask: int, low: int, high: int
) -> int:
    """Return a sampled position near the middle between two exclusive bounds, or -1."""
    if high - low < 2:
        return -1
    middle = (low + high) // 2
    if not sample_mask:
        return middle
    hash_mask = sample_mask << shift
    for offset, block_hash in enumerate(block_hashes[middle:high]):
        if not block_hash & hash_mask:
            return middle + offset
    for offset, block_hash in enumerate(reversed(block_hashes[low + 1 : middle])):
        if not block_hash & hash_mask:
            return middle - 1 - offset
    return -1
