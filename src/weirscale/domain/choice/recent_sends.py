"""What this node itself sent lately: prefixes that engines are computing or have just computed.

Bridges the time until digests tell of them, and sends those who ask for a prefix while it is being
computed to the engine that computes it.
"""

from collections.abc import Callable, Iterator, Sequence
from functools import lru_cache
from typing import overload

from weirscale.domain.identifiers import BlockHash, EngineName
from weirscale.domain.prefix.engine_masks import EngineMasks
from weirscale.domain.prefix.sampling import block_key

GENERATION_S = 3.0
"""A send is remembered for one to two generations: the lag of events and digests together."""

BLOCK_STEP = 8
"""Of a node's own sends every so many blocks of a chain are remembered, and its last."""

LADDER_STEPS_PER_DOUBLING = 4
"""Of other nodes' sends so many blocks are told for each doubling of depth: 32 for 2,000 blocks."""

MAX_GENERATION_KEYS = 100_000
"""A generation ends early at so many keys; bounds memory to some 20 MB."""

NO_SHIFT = 0
ALL_SAMPLED = 0


ChooseDepths = Callable[[int], Sequence[int]]
"""Returns for a number of blocks the depths that are remembered, ascending, the last included."""


@lru_cache(maxsize=1024)
def even_depths(num_blocks: int) -> Sequence[int]:
    """Return every BLOCK_STEP-th depth and the last."""
    depths = list(range(BLOCK_STEP, num_blocks + 1, BLOCK_STEP))
    if num_blocks % BLOCK_STEP:
        depths.append(num_blocks)
    return tuple(depths)


@lru_cache(maxsize=1024)
def ladder_depths(num_blocks: int) -> Sequence[int]:
    """Return depths that grow by a constant factor, and the last; the same for all prompts."""
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


class _KeysAt(Sequence[int]):
    """The keys at depths, made when looked at: bisection looks at few of them."""

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
    """Chains sent in the last seconds, in two generations of which the older is dropped whole.

    Args:
        choose_depths: Which blocks of a chain are remembered.
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
        """Remember that a prompt was sent to an engine."""
        depths = self._choose_depths(len(block_hashes))
        self.record_keys(keys_at(block_hashes, depths), engine, now_s)

    def record_keys(self, keys: Sequence[int], engine: EngineName, now_s: float) -> None:
        """Remember the keys of a prompt that was sent to an engine."""
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
        """Yield engines and the leading blocks of the chain sent there, some maybe twice."""
        self._rotate(now_s)
        depths = self._choose_depths(len(block_hashes))
        keys = _KeysAt(block_hashes, depths)
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
        """Forget what was sent to an engine that turned out not to hold it."""
        bit = self._bits.get(engine)
        if bit is not None:
            self._newer.remove_where(bit, _always)
            self._older.remove_where(bit, _always)

    def _rotate(self, now_s: float) -> None:
        if self._started_at_s is None:
            self._started_at_s = now_s
        age_s = now_s - self._started_at_s
        if age_s < GENERATION_S and len(self._newer) < MAX_GENERATION_KEYS:
            return
        self._older = self._newer if age_s < 2 * GENERATION_S else EngineMasks()
        self._newer = EngineMasks()
        self._started_at_s = now_s


def _always(_key: int) -> bool:
    return True
