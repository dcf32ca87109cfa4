"""Recently sent prompts, whose prefixes engines are computing or have just computed.

They fill the gap until cache digests include these prefixes. So a request with a prefix that is
being computed goes to the engine that computes it.
"""

from collections.abc import Callable, Iterator, Sequence
from functools import lru_cache
from typing import overload

from weirscale.domain.identifiers import BlockHash, EngineName
from weirscale.domain.prefix.engine_masks import EngineMasks
from weirscale.domain.prefix.sampling import block_key

GENERATION_S = 3.0
"""A send is kept for one to two generations, which covers the lag of cache events and digests."""

BLOCK_STEP = 8
"""Distance of the recorded blocks in the chain of a node's own send; the last block is recorded
too."""

LADDER_STEPS_PER_DOUBLING = 4
"""Blocks per doubling of depth that nodes announce of their sends: 32 for a chain of 2,000
blocks."""

MAX_GENERATION_KEYS = 100_000
"""A generation ends early at this number of keys, which limits memory to about 20 MB."""

NO_SHIFT = 0
ALL_SAMPLED = 0


ChooseDepths = Callable[[int], Sequence[int]]
"""Returns, for a number of blocks, the depths to record: ascending, including the last."""


@lru_cache(maxsize=1024)
def even_depths(num_blocks: int) -> Sequence[int]:
    """Return every BLOCK_STEP-th depth and the last one."""
    depths = list(range(BLOCK_STEP, num_blocks + 1, BLOCK_STEP))
    if num_blocks % BLOCK_STEP:
        depths.append(num_blocks)
    return tuple(depths)


@lru_cache(maxsize=1024)
def ladder_depths(num_blocks: int) -> Sequence[int]:
    """Return depths that grow by a constant factor, and the last one.

    Except for the last one, the depths are the same for all prompts.
    """
    depths: list[int] = []
    step = 0
    while (depth := int(BLOCK_STEP * 2 ** (step / LADDER_STEPS_PER_DOUBLING))) < num_blocks:
        depths.append(depth)
        step += 1
    if num_blocks:
        depths.append(num_blocks)
    return tuple(depths)


def keys_at(block_hashes: Sequence[BlockHash], depths: Sequence[int]) -> list[int]:
    """Return the keys of the blocks that end at the depths."""
    return [block_key(block_hashes[depth - 1]) for depth in depths]


class _LazyKeys(Sequence[int]):
    """The keys at the depths, computed on access because a bisection needs only a few of them."""

    __slots__ = ("_block_hashes", "_depths")

    def __init__(self, block_hashes: Sequence[BlockHash], depths: Sequence[int]) -> None:
        self._block_hashes = block_hashes
        self._depths = depths

    def __len__(self) -> int:
        return len(self._depths)

    @overload
    def __getitem__(self, index: int) -> int: ...
    @overload
    def __getitem__(self, index: slice) -> Sequence[int]: ...
    def __getitem__(self, index: int | slice) -> int | Sequence[int]:
        if isinstance(index, slice):
            return keys_at(self._block_hashes, self._depths[index])
        return block_key(self._block_hashes[self._depths[index] - 1])


class RecentSends:
    """Chains sent in the last seconds, in two generations; the older one is dropped as a whole.

    Args:
        choose_depths: Returns the depths of the blocks to record.
    """

    def __init__(self, choose_depths: ChooseDepths = even_depths) -> None:
        self._choose_depths = choose_depths
        self._bits: dict[EngineName, int] = {}
        self._engines: dict[int, EngineName] = {}
        self._newer = EngineMasks()
        self._older = EngineMasks()
        self._started_at_s: float | None = None

    def record_send(
        self, block_hashes: Sequence[BlockHash], engine: EngineName, now_s: float
    ) -> None:
        """Record that a prompt was sent to an engine."""
        depths = self._choose_depths(len(block_hashes))
        self.record_keys(keys_at(block_hashes, depths), engine, now_s)

    def record_keys(self, keys: Sequence[int], engine: EngineName, now_s: float) -> None:
        """Record the keys of a prompt that was sent to an engine."""
        self._rotate(now_s)
        bit = self._bits.get(engine)
        if bit is None:
            bit = 1 << len(self._bits)
            self._bits[engine] = bit
            self._engines[bit] = engine
        for key in keys:
            self._newer.add(key, bit)

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Iterator[tuple[EngineName, int]]:
        """Yield engines with the number of leading blocks sent there; an engine may occur twice."""
        self._rotate(now_s)
        depths = self._choose_depths(len(block_hashes))
        keys = _LazyKeys(block_hashes, depths)
        all_bits = (1 << len(self._bits)) - 1
        for generation in (self._newer, self._older):
            if not len(generation):
                continue
            for mask, num_keys in generation.leading_depths(keys, NO_SHIFT, ALL_SAMPLED, all_bits):
                num_blocks = depths[num_keys - 1]
                while mask:
                    bit = mask & -mask
                    mask ^= bit
                    yield self._engines[bit], num_blocks

    def forget(self, engine: EngineName) -> None:
        """Drop all sends to an engine that turned out not to have the blocks cached."""
        bit = self._bits.get(engine)
        if bit is not None:
            self._newer.remove_where(bit, _any_key)
            self._older.remove_where(bit, _any_key)

    def _rotate(self, now_s: float) -> None:
        if self._started_at_s is None:
            self._started_at_s = now_s
        age_s = now_s - self._started_at_s
        if age_s < GENERATION_S and len(self._newer) < MAX_GENERATION_KEYS:
            return
        self._older = self._newer if age_s < 2 * GENERATION_S else EngineMasks()
        self._newer = EngineMasks()
        self._started_at_s = now_s


def _any_key(_key: int) -> bool:
    return True
