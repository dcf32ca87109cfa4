"""What this node itself sent lately: prefixes that engines are computing or have just computed.

Bridges the time until digests tell of them, and sends those who ask for a prefix while it is being
computed to the engine that computes it.
"""

from collections.abc import Iterator, Sequence

from weirscale.domain.identifiers import BlockHash, EngineName
from weirscale.domain.prefix.engine_masks import EngineMasks

GENERATION_S = 4.0
"""A send is remembered for one to two generations: the lag of events and digests together."""

BLOCK_STEP = 8
"""Every so many blocks of a chain are remembered, and its last."""

MAX_GENERATION_KEYS = 100_000
"""A generation ends early at so many keys; bounds memory to some 20 MB."""

NO_SHIFT = 0
ALL_SAMPLED = 0


class RecentSends:
    """Chains sent in the last seconds, in two generations of which the older is dropped whole."""

    def __init__(self) -> None:
        self._bits: dict[EngineName, int] = {}
        self._engines: dict[int, EngineName] = {}
        self._newer = EngineMasks()
        self._older = EngineMasks()
        self._started_at_s: float | None = None

    def note_sent(
        self, block_hashes: Sequence[BlockHash], engine: EngineName, now_s: float
    ) -> None:
        """Remember that a prompt was sent to an engine."""
        self._rotate(now_s)
        bit = self._bits.get(engine)
        if bit is None:
            bit = 1 << len(self._bits)
            self._bits[engine] = bit
            self._engines[bit] = engine
        for key in _steps(block_hashes):
            self._newer.add(key, bit)

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Iterator[tuple[EngineName, int]]:
        """Yield engines and the leading blocks of the chain sent there, some maybe twice."""
        self._rotate(now_s)
        steps = _steps(block_hashes)
        all_bits = (1 << len(self._bits)) - 1
        for generation in (self._newer, self._older):
            if not len(generation):
                continue
            depths = generation.leading_depths(steps, NO_SHIFT, ALL_SAMPLED, all_bits)
            for mask, num_steps in depths:
                is_whole = num_steps == len(steps)
                num_blocks = len(block_hashes) if is_whole else num_steps * BLOCK_STEP
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


def _steps(block_hashes: Sequence[BlockHash]) -> Sequence[BlockHash]:
    """Return every BLOCK_STEP-th hash and the last one, which stands for the whole chain."""
    steps = list(block_hashes[BLOCK_STEP - 1 :: BLOCK_STEP])
    if len(block_hashes) % BLOCK_STEP:
        steps.append(block_hashes[-1])
    return steps
