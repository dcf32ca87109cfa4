"""The exact set of blocks of one engine, as far as its events have told.

Kept by the engine's home node. Events come late and with gaps; the rules here make sure that a
block is never believed longer than it takes to learn of its removal:

- batches are applied strictly in sequence; later ones wait for the missing one;
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
"""Batches kept while one is missing; some seconds of events. With more, a dump is cheaper."""

MAX_GAP_S = 2.0
"""Longest time that the state before a gap is believed: as long as events lag anyway."""

NO_INCARNATION = Incarnation(-1)
"""Lower than that of any engine: nothing is known yet."""

FIRST_SEQUENCE = 1
"""Sequence of the first batch of an incarnation, before which the cache is empty."""


class ApplyOutcome(enum.Enum):
    """What became of a batch or a dump."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"
    """Already included; nothing changed."""
    VOID = "void"
    """Of an earlier run of the engine; nothing changed."""
    GAP = "gap"
    """An earlier batch is missing: ask for a replay after `sequence`, or for a dump."""


class EngineIndex:
    """Blocks of one engine's present run.

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
        """The blocks believed to be held; read only."""
        return self._blocks

    @property
    def has_gap(self) -> bool:
        """Whether a batch is missing or the state is unknown."""
        return self.needs_dump or self._gap_since_s is not None

    def apply(self, batch: CacheEventBatch, now_s: float) -> ApplyOutcome:
        """Take in one batch."""
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
            self._keep_waiting(batch, now_s)
            return ApplyOutcome.GAP
        self._apply_events(batch)
        self._apply_waiting(now_s)
        return ApplyOutcome.APPLIED

    def load_dump(self, dump: CacheDump, now_s: float) -> ApplyOutcome:
        """Replace the state by a dump, unless the dump is older than the state."""
        if dump.incarnation < self.incarnation:
            return ApplyOutcome.VOID
        same_run = dump.incarnation == self.incarnation
        if same_run and dump.sequence < self.sequence:
            return ApplyOutcome.VOID
        if same_run and dump.sequence == self.sequence and not self.needs_dump:
            return ApplyOutcome.DUPLICATE
        if not same_run:
            self._start_run(dump.incarnation, dump.weight_version)
        self.weight_version = dump.weight_version
        self.sequence = dump.sequence
        self._replace_blocks(BlockSet(dump.block_hashes))
        self.needs_dump = False
        self._apply_waiting(now_s)
        return ApplyOutcome.APPLIED

    def record_run(self, incarnation: Incarnation, weight_version: WeightVersion) -> None:
        """Learn from elsewhere (a load report) which run and weights the engine has."""
        if incarnation < self.incarnation:
            return
        if incarnation > self.incarnation:
            self._start_run(incarnation, weight_version)

    def expire(self, now_s: float) -> bool:
        """Empty the set if a gap has stayed open for too long; True if it did."""
        since = self._gap_since_s
        if since is None or now_s - since < MAX_GAP_S:
            return False
        self.invalidate()
        return True

    def invalidate(self) -> None:
        """Forget the blocks; only a dump makes the index useful again."""
        self.needs_dump = True
        self._gap_since_s = None
        self._replace_blocks(BlockSet())

    def take_changes(self) -> tuple[bool, list[BlockHash], list[BlockHash]]:
        """Return and forget what changed since the last call.

        Returns:
            Whether the state was replaced (all blocks held are then in the added ones), the blocks
            added and the blocks removed. A block that came and went is in neither.
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

    def _keep_waiting(self, batch: CacheEventBatch, now_s: float) -> None:
        if batch.weight_version != self.weight_version:
            # Whatever the missing batches say, blocks of other weights are void from here on.
            self._replace_blocks(BlockSet())
        if self._gap_since_s is None and not self.needs_dump:
            self._gap_since_s = now_s
        if len(self._waiting) >= MAX_WAITING_BATCHES:
            self._waiting.clear()
            self.invalidate()
        self._waiting[batch.sequence] = batch

    def _apply_waiting(self, now_s: float) -> None:
        """Apply waiting batches that now follow, and drop those already included."""
        while True:
            batch = self._waiting.pop(self.sequence + 1, None)
            if batch is None:
                break
            self._apply_events(batch)
        for sequence in [each for each in self._waiting if each <= self.sequence]:
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
