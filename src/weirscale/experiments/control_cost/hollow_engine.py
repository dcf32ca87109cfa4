"""Hollow engines: ports without bodies that report synthetic loads and cache events.

A cache is a window over an endless sequence of hashes that the engine's number determines: each
batch of events stores some hashes at the window's end and removes as many at its start. So a
million blocks take no memory here, and all that is measured belongs to the nodes.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager
from typing import NoReturn

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import Engine
from weirscale.domain.identifiers import BlockHash, Incarnation, RequestId, WeightVersion
from weirscale.experiments.control_cost.deployment import FIRST_VERSION
from weirscale.messages.cache import (
    BlockRemoved,
    BlockStored,
    CacheDump,
    CacheEvent,
    CacheEventBatch,
    LoadReport,
)
from weirscale.ports.engine import (
    ChunkOrFailure,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    GenerateCall,
)

EVENTS_PER_S = 65.0
"""110,000 cache events a second over 1,700 engines."""

BATCH_INTERVAL_S = 1.0
"""Time between batches of one engine; real ones publish more often, in smaller batches."""

HTTP_HEADER_BYTES = 320
"""Headers of a small request and its answer, both ways."""

EVENT_FRAME_BYTES = 16
"""Server-sent-event framing and the chunk length of one batch."""

HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_MASK = 2**64 - 1
HASH_MIX = 0xBF58476D1CE4E5B9
INCARNATION = Incarnation(1)


class EngineTraffic(msgspec.Struct):
    """What engines have sent to one node.

    Attributes:
        num_load_polls: Load reports asked for.
        num_load_bytes: Their bytes, headers of request and answer included.
        num_batches: Batches of cache events.
        num_event_bytes: Their bytes.
        num_dumps: Dumps asked for.
        num_dump_bytes: Their bytes.
    """

    num_load_polls: int = 0
    num_load_bytes: int = 0
    num_batches: int = 0
    num_event_bytes: int = 0
    num_dumps: int = 0
    num_dump_bytes: int = 0


class HollowEngine:
    """One engine, shared by the ports of all nodes; a pure function of its number and the time.

    Args:
        declared: Its declaration; the cache is full from the start.
    """

    def __init__(self, declared: Engine) -> None:
        self.declared = declared
        self._number = int(declared.name.rpartition("-")[2])
        self._num_changes = max(1, round(EVENTS_PER_S * BATCH_INTERVAL_S / 2))
        self.num_batch_bytes = len(msgspec.json.encode(self.batch(1))) + EVENT_FRAME_BYTES
        self.num_report_bytes = len(msgspec.json.encode(self.report(0.0))) + HTTP_HEADER_BYTES

    def sequence(self, now_s: float) -> int:
        """Return the sequence of the latest batch; engines publish out of step."""
        return 1 + int(now_s / BATCH_INTERVAL_S + self._phase())

    def seconds_until(self, sequence: int, now_s: float) -> float:
        """Return the time until a batch is published."""
        return (sequence - 1 - self._phase()) * BATCH_INTERVAL_S - now_s

    def batch(self, sequence: int) -> CacheEventBatch:
        """Return one batch: as many single blocks stored as removed."""
        first = sequence * self._num_changes
        num_blocks = self.declared.num_total_blocks
        events: list[CacheEvent] = []
        for position in range(first, first + self._num_changes):
            parent = self._hash(num_blocks + position - 1)
            events.append(BlockStored((self._hash(num_blocks + position),), parent))
            events.append(BlockRemoved((self._hash(position),)))
        return CacheEventBatch(
            self.declared.name,
            INCARNATION,
            self.declared.model,
            FIRST_VERSION,
            sequence,
            tuple(events),
        )

    def dump(self, now_s: float) -> CacheDump:
        """Return all blocks held."""
        sequence = self.sequence(now_s)
        first = (sequence + 1) * self._num_changes
        hashes = tuple(map(self._hash, range(first, first + self.declared.num_total_blocks)))
        return CacheDump(
            self.declared.name, INCARNATION, self.declared.model, FIRST_VERSION, sequence, hashes
        )

    def report(self, now_s: float) -> LoadReport:
        """Return a load report that differs from second to second."""
        noise = self._hash(int(now_s)) >> 40
        return LoadReport(
            engine=self.declared.name,
            incarnation=INCARNATION,
            model=self.declared.model,
            weight_version=WeightVersion(FIRST_VERSION),
            adapters=(),
            num_running=noise % 40,
            num_waiting=noise % 7,
            num_waiting_prefill_tokens=noise % 20_000,
            num_cached_blocks=self.declared.num_total_blocks,
            num_total_blocks=self.declared.num_total_blocks,
            is_leaving=False,
            order_token=0,
        )

    def _phase(self) -> float:
        return (self._number * 0.618) % 1.0

    def _hash(self, position: int) -> BlockHash:
        mixed = ((self._number << 40) + position) * HASH_FACTOR & HASH_MASK
        return BlockHash((mixed ^ mixed >> 31) * HASH_MIX & HASH_MASK)


class HollowEnginePort:
    """A node's way to one hollow engine; an `EnginePort` that runs no requests."""

    __slots__ = ("_engine", "_traffic")

    def __init__(self, engine: HollowEngine, traffic: EngineTraffic) -> None:
        self._engine = engine
        self._traffic = traffic

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Raise: hollow engines have no bodies."""
        _refuse_bodies()

    def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Raise: hollow engines have no bodies."""
        _refuse_bodies()

    async def cancel(self, request_id: RequestId, attempt: int) -> Result[None, EngineFailure]:
        """Answer that nothing is known of any request."""
        return Err(EngineFailure(EngineFailureKind.NOT_FOUND, "a hollow engine runs nothing"))

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report."""
        self._traffic.num_load_polls += 1
        self._traffic.num_load_bytes += self._engine.num_report_bytes
        return Ok(self._engine.report(anyio.current_time()))

    @asynccontextmanager
    async def cache_events(
        self, incarnation: Incarnation | None, after_sequence: int
    ) -> AsyncIterator[AsyncIterator[Result[CacheEventBatch, EngineFailure]]]:
        """Follow cache events after a sequence."""
        async with aclosing(self._batches(after_sequence + 1)) as batches:
            yield batches

    async def _batches(
        self, sequence: int
    ) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
        while True:
            wait_s = self._engine.seconds_until(sequence, anyio.current_time())
            if wait_s > 0:
                await anyio.sleep(wait_s)
            self._traffic.num_batches += 1
            self._traffic.num_event_bytes += self._engine.num_batch_bytes
            yield Ok(self._engine.batch(sequence))
            sequence += 1

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read every block held now."""
        dump = self._engine.dump(anyio.current_time())
        self._traffic.num_dumps += 1
        self._traffic.num_dump_bytes += len(msgspec.json.encode(dump))
        return Ok(dump)

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Accept an order and do nothing."""
        return Ok(None)


def _refuse_bodies() -> NoReturn:
    raise NotImplementedError("hollow engines serve no requests")
