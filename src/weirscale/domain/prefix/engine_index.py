"""The exact set of blocks of one engine, according to its events.

It is kept by the engine's home node. Events arrive late and with gaps. These rules ensure that a
block is kept no longer than it takes to learn of its removal:

- batches are applied strictly in sequence; later batches wait for a missing one;
- a higher incarnation or another weight version empties the set at once;
- a gap that is not filled within MAX_GAP_S empties the set until a dump is loaded.
"""

import enum

from weirscale.domain.identifiers import BlockHash, EngineName, Incarnation, WeightVersion
from weirscale.domain.prefix.block_set import BlockSet
from weirscale.messages.cache import (
    AllBlocksCleared,
    BlockRemoved,
    BlockStored,
    CacheDump,
    CacheEventBatch,
)

MAX_WAITING_BATCHES = 64
"""Batches kept while one is missing: some seconds of events. With more, a dump is cheaper."""

MAX_GAP_S = 2.0
"""Maximum time that the state before a gap is kept: as long as events lag anyway."""

NO_INCARNATION = Incarnation(-1)
"""Incarnation before the first batch or dump; lower than that of any engine."""

FIRST_SEQUENCE = 1
"""Sequence of the first batch of an incarnation; the cache is empty before it."""


class ApplyOutcome(enum.Enum):
    """Result of processing a batch or a dump."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    """It was already applied; nothing changed."""
    VOID = "void"
    """It comes from an earlier run of the engine; nothing changed."""
    GAP = "gap"
    """An earlier batch is missing: request a replay after `sequence`, or a dump."""


class EngineIndex:
    """Blocks of one engine's current run.

    Args:
        engine: The engine's name.
    """

    def __init__(self, engine: EngineName) -> None:
        self.engine = engine
        self.incarnation = NO_INCARNATION
        self.weight_version = WeightVersion("")
        self.sequence = 0
        self.needs_dump = True
        self._gap_since_s: float | None = None
        self._blocks = BlockSet()
        self._waiting: dict[int, CacheEventBatch] = {}
        self._was_held: dict[BlockHash, bool] = {}
        self._was_reset = True

    @property
    def blocks(self) -> BlockSet:
        """The blocks presumably held; read only."""
        return self._blocks

    @property
    def has_gap(self) -> bool:
        """Whether a batch is missing or the state is unknown."""
        return self.needs_dump or self._gap_since_s is not None

    def apply(self, batch: CacheEventBatch, now_s: float) -> ApplyOutcome:
        """Apply one batch."""
        if batch.incarnation < self.incarnation:
            return ApplyOutcome.VOID
        if batch.incarnation > self.incarnation:
            self._start_run(batch.incarnation, batch.weight_version)
        if batch.sequence <= self.sequence and not self.needs_dump:
            return ApplyOutcome.DUPLICATE
        starts_run = batch.sequence == FIRST_SEQUENCE and self.sequence == 0
        if starts_run:
            self.needs_dump = False
        if batch.sequence != self.sequence + 1 or self.needs_dump:
            self._hold_back(batch, now_s)
            return ApplyOutcome.GAP
        self._apply_events(batch)
        self._apply_waiting(now_s)
        return ApplyOutcome.APPLIED

    def load_dump(self, dump: CacheDump, now_s: float) -> ApplyOutcome:
        """Replace the state by a dump, unless the dump is older."""
        if dump.incarnation < self.incarnation:
            return ApplyOutcome.VOID
        is_same_run = dump.incarnation == self.incarnation
        if is_same_run and dump.sequence < self.sequence:
            return ApplyOutcome.VOID
        if is_same_run and dump.sequence == self.sequence and not self.needs_dump:
            return ApplyOutcome.DUPLICATE
        if not is_same_run:
            self._start_run(dump.incarnation, dump.weight_version)
        self.weight_version = dump.weight_version
        self.sequence = dump.sequence
        self._replace_blocks(BlockSet(dump.block_hashes))
        self.needs_dump = False
        self._apply_waiting(now_s)
        return ApplyOutcome.APPLIED

    def record_run(self, incarnation: Incarnation, weight_version: WeightVersion) -> None:
        """Record the engine's run and weights from another source (a load report)."""
        if incarnation < self.incarnation:
            return
        if incarnation > self.incarnation:
            self._start_run(incarnation, weight_version)

    def expire(self, now_s: float) -> bool:
        """Empty the set if a gap has been open for too long; return whether it was emptied."""
        gap_since_s = self._gap_since_s
        if gap_since_s is None or now_s - gap_since_s < MAX_GAP_S:
            return False
        self.invalidate()
        return True

    def invalidate(self) -> None:
        """Drop the blocks; the index then needs a dump."""
        self.needs_dump = True
        self._gap_since_s = None
        self._replace_blocks(BlockSet())

    def take_changes(self) -> tuple[bool, list[BlockHash], list[BlockHash]]:
        """Return the changes since the last call and clear them.

        Returns:
            Whether the state was replaced, the added blocks and the removed blocks. After a
            replacement, the added blocks are all blocks held. A block that was both added and
            removed is in neither list.
        """
        if self._was_reset:
            self._was_reset = False
            self._was_held.clear()
            return True, list(self._blocks), []
        added: list[BlockHash] = []
        removed: list[BlockHash] = []
        for block_hash, was_held in self._was_held.items():
            is_held = block_hash in self._blocks
            if is_held and not was_held:
                added.append(block_hash)
            if was_held and not is_held:
                removed.append(block_hash)
        self._was_held.clear()
        return False, added, removed

    def _start_run(self, incarnation: Incarnation, weight_version: WeightVersion) -> None:
        self.incarnation = incarnation
        self.weight_version = weight_version
        self.sequence = 0
        self.needs_dump = True
        self._gap_since_s = None
        self._waiting.clear()
        self._replace_blocks(BlockSet())

    def _replace_blocks(self, blocks: BlockSet) -> None:
        self._blocks = blocks
        self._was_held.clear()
        self._was_reset = True

    def _hold_back(self, batch: CacheEventBatch, now_s: float) -> None:
        if batch.weight_version != self.weight_version:
            # Whatever the missing batches contain, blocks of other weights are void from here on.
            self._replace_blocks(BlockSet())
        if self._gap_since_s is None and not self.needs_dump:
            self._gap_since_s = now_s
        if len(self._waiting) >= MAX_WAITING_BATCHES:
            self._waiting.clear()
            self.invalidate()
        self._waiting[batch.sequence] = batch

    def _apply_waiting(self, now_s: float) -> None:
        """Apply waiting batches that are next in sequence, and drop those already applied."""
        while True:
            batch = self._waiting.pop(self.sequence + 1, None)
            if batch is None:
                break
            self._apply_events(batch)
        for sequence in [number for number in self._waiting if number <= self.sequence]:
            del self._waiting[sequence]
        if not self._waiting:
            self._gap_since_s = None
        elif self._gap_since_s is None:
            self._gap_since_s = now_s

    def _apply_events(self, batch: CacheEventBatch) -> None:
        if batch.weight_version != self.weight_version:
            self._replace_blocks(BlockSet())
            self.weight_version = batch.weight_version
        for event in batch.events:
            if isinstance(event, BlockStored):
                self._store(event.block_hashes)
            elif isinstance(event, BlockRemoved):
                self._remove(event.block_hashes)
            elif isinstance(event, AllBlocksCleared):
                self._replace_blocks(BlockSet())
        self.sequence = batch.sequence

    def _store(self, block_hashes: tuple[BlockHash, ...]) -> None:
        for block_hash in block_hashes:
            if self._blocks.add(block_hash):
                self._was_held.setdefault(block_hash, False)

    def _remove(self, block_hashes: tuple[BlockHash, ...]) -> None:
        for block_hash in block_hashes:
            if self._blocks.discard(block_hash):
                self._was_held.setdefault(block_hash, True)
