"""Cache events of one engine incarnation: batched, numbered and kept for replay."""

from collections import deque
from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import (
    BlockHash,
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
)
from weirscale.messages.cache import (
    AllBlocksCleared,
    BlockRemoved,
    BlockStored,
    CacheEvent,
    CacheEventBatch,
)


class PublishedBatch(msgspec.Struct, frozen=True):
    """A batch and the time at which it was flushed; followers receive it after the event lag."""

    published_at_s: float
    batch: CacheEventBatch


class EventLog:
    """Cache events of one incarnation; sequence numbers of batches start at 1."""

    def __init__(self, engine: EngineName, incarnation: Incarnation, window_batches: int) -> None:
        self._engine = engine
        self._incarnation = incarnation
        self._window: deque[PublishedBatch] = deque(maxlen=window_batches)
        self._pending: list[CacheEvent] = []
        self._stored: list[BlockHash] = []
        self._stored_parent: BlockHash | None = None
        self._removed: list[BlockHash] = []
        self.last_sequence = 0
        self.listeners: list[Callable[[], None]] = []

    def record_stored(self, block_hash: BlockHash, parent: BlockHash | None) -> None:
        """Record one stored block; a child of the previous block joins the same event."""
        if self._removed:
            self._close_event()
        if self._stored and self._stored[-1] != parent:
            self._close_event()
        if not self._stored:
            self._stored_parent = parent
        self._stored.append(block_hash)

    def record_removed(self, block_hash: BlockHash) -> None:
        """Record one evicted block."""
        if self._stored:
            self._close_event()
        self._removed.append(block_hash)

    def record_cleared(self) -> None:
        """Record that the cache was emptied."""
        self._close_event()
        self._pending.append(AllBlocksCleared())

    def flush(self, model: ModelName, weight_version: WeightVersion, now_s: float) -> None:
        """Publish the events recorded since the last flush as one batch, if there are any."""
        self._close_event()
        if not self._pending:
            return
        self.last_sequence += 1
        batch = CacheEventBatch(
            engine=self._engine,
            incarnation=self._incarnation,
            model=model,
            weight_version=weight_version,
            sequence=self.last_sequence,
            events=tuple(self._pending),
        )
        self._pending = []
        self._window.append(PublishedBatch(now_s, batch))
        self.notify()

    def notify(self) -> None:
        """Wake all followers."""
        listeners, self.listeners = self.listeners, []
        for listener in listeners:
            listener()

    def can_replay_after(self, sequence: int) -> bool:
        """Return whether all batches after a sequence number are still in the replay window."""
        if sequence > self.last_sequence:
            return False
        return self.last_sequence - sequence <= len(self._window)

    def batch_after(self, sequence: int) -> PublishedBatch | None:
        """Return the batch after a sequence number, None if it is not published yet.

        `can_replay_after` must hold for the sequence number.
        """
        num_behind = self.last_sequence - sequence
        return self._window[-num_behind] if num_behind else None

    def _close_event(self) -> None:
        if self._stored:
            self._pending.append(BlockStored(tuple(self._stored), self._stored_parent))
            self._stored = []
        if self._removed:
            self._pending.append(BlockRemoved(tuple(self._removed)))
            self._removed = []
