"""A fast model of an engine: one prefill at a time, an LRU block cache, events and load."""

from array import array
from collections import Counter, OrderedDict, deque
from collections.abc import Sequence

import msgspec

from weirscale.domain.identifiers import (
    BlockHash,
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
)
from weirscale.messages.cache import (
    BlockRemoved,
    BlockStored,
    CacheDump,
    CacheEvent,
    CacheEventBatch,
)

MODEL = ModelName("model")
VERSION = WeightVersion("v1")
FIRST_INCARNATION = Incarnation(1)

MAX_PENDING_RATIO = 4
"""Zero counts are swept out of the pending blocks when they are this multiple of the cache."""


class Work(msgspec.Struct):
    """One request on an engine.

    Attributes:
        number: The arrival's number.
        node: The node that sent it.
        chain: Block hashes of its prompt.
        arrived_at_s: When it reached the node.
        answer_s: Time of decoding its answer.
        num_missing_blocks: Blocks that looked missing when it was queued.
        num_cached_blocks: Blocks found in the cache when its prefill started.
        num_again_blocks: Blocks computed that some engine had computed before.
    """

    number: int
    node: int
    chain: "array[int]"
    arrived_at_s: float
    answer_s: float
    num_missing_blocks: int = 0
    num_cached_blocks: int = 0
    num_again_blocks: int = 0


class EngineModel:
    """State of one engine; the caller drives time.

    Args:
        name: The engine's name.
        num_total_blocks: Cache size.
        tokens_per_block: Tokens in a block.
        tokens_per_s: Prefill speed.
        computed_before: Every block that any engine has computed; shared by all.
    """

    def __init__(
        self,
        name: EngineName,
        num_total_blocks: int,
        tokens_per_block: int,
        tokens_per_s: float,
        computed_before: set[int],
    ) -> None:
        self.name = name
        self.num_total_blocks = num_total_blocks
        self.tokens_per_s = tokens_per_s
        self.num_decoding = 0
        self.waiting: deque[Work] = deque()
        self.current: Work | None = None
        self._tokens_per_block = tokens_per_block
        self._computed_before = computed_before
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._pending: Counter[int] = Counter()
        self._num_waiting_blocks = 0
        self._done_at_s = 0.0
        self._events: list[CacheEvent] = []
        self.sequence = 0

    @property
    def num_cached_blocks(self) -> int:
        """Blocks held."""
        return len(self._cache)

    @property
    def num_requests(self) -> int:
        """Requests waiting, in prefill and decoding."""
        return len(self.waiting) + (self.current is not None) + self.num_decoding

    def add(self, work: Work) -> None:
        """Queue a request."""
        work.num_missing_blocks = len(work.chain) - self.leading_soon(work.chain)  # type: ignore[arg-type]
        self._num_waiting_blocks += work.num_missing_blocks
        self.waiting.append(work)
        self._pending.update(work.chain)

    def start_next(self, now_s: float) -> float | None:
        """Start the next prefill if the engine is free; returns its duration."""
        if self.current is not None or not self.waiting:
            return None
        work = self.waiting.popleft()
        self.current = work
        self._num_waiting_blocks -= work.num_missing_blocks
        work.num_cached_blocks = self._leading_cached(work.chain)
        missing = work.chain[work.num_cached_blocks :]
        work.num_again_blocks = sum(1 for each in missing if each in self._computed_before)
        duration_s = len(missing) * self._tokens_per_block / self.tokens_per_s
        self._done_at_s = now_s + duration_s
        return duration_s

    def finish_prefill(self) -> Work:
        """Store the blocks of the current prefill; it goes on to decode."""
        work = self.current
        assert work is not None
        self.current = None
        self.num_decoding += 1
        self._pending.subtract(work.chain)
        self._pending = (
            +self._pending if len(self._pending) > 4 * self.num_total_blocks else self._pending
        )
        self._computed_before.update(work.chain)
        self._store(work.chain)
        return work

    def waiting_tokens(self, now_s: float) -> int:
        """Return the prompt tokens still to compute, shared ones counted once."""
        left_s = max(self._done_at_s - now_s, 0.0) if self.current is not None else 0.0
        return int(left_s * self.tokens_per_s) + self._num_waiting_blocks * self._tokens_per_block

    def leading_soon(self, chain: Sequence[BlockHash]) -> int:
        """Return leading blocks held or about to be computed by requests already queued."""
        cache = self._cache
        pending = self._pending
        for depth, block_hash in enumerate(chain):
            if block_hash not in cache and pending[block_hash] <= 0:
                return depth
        return len(chain)

    def take_batch(self) -> CacheEventBatch | None:
        """Return the events since the last batch, None without any."""
        if not self._events:
            return None
        events, self._events = tuple(self._events), []
        self.sequence += 1
        return CacheEventBatch(self.name, FIRST_INCARNATION, MODEL, VERSION, self.sequence, events)

    def dump(self) -> CacheDump:
        """Return every block held as of the last batch taken."""
        held = tuple(BlockHash(each) for each in self._cache)
        return CacheDump(self.name, FIRST_INCARNATION, MODEL, VERSION, self.sequence, held)

    def _leading_cached(self, chain: "array[int]") -> int:
        for depth, block_hash in enumerate(chain):
            if block_hash not in self._cache:
                return depth
        return len(chain)

    def _store(self, chain: "array[int]") -> None:
        """Add a chain; the tail is made older than the head, so that it is evicted first."""
        stored = [each for each in chain if each not in self._cache]
        for block_hash in reversed(chain):
            self._cache[block_hash] = None
            self._cache.move_to_end(block_hash)
        if stored:
            self._events.append(BlockStored(tuple(map(BlockHash, stored)), None))
        removed: list[BlockHash] = []
        while len(self._cache) > self.num_total_blocks:
            removed.append(BlockHash(self._cache.popitem(last=False)[0]))
        if removed:
            self._events.append(BlockRemoved(tuple(removed)))
