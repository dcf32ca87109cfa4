"""Engine stand-in behind the engine port, in this process, in virtual or real time."""

from collections.abc import AsyncGenerator, AsyncIterator, Mapping, Sequence
from contextlib import aclosing, asynccontextmanager
from random import Random
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from weirscale.domain.identifiers import BlockHash, EngineName, Incarnation, RequestId
from weirscale.messages.cache import CacheDump, CacheEventBatch, LoadReport
from weirscale.ports.engine import (
    ChunkOrFailure,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    GenerateCall,
    LoadModel,
)
from weirscale.standins.engine.attempt import Attempt
from weirscale.standins.engine.chunk_faults import ChunkFaults
from weirscale.standins.engine.event_stream import follow_events
from weirscale.standins.engine.model import EngineModel
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.faults import EngineFaults, FaultSwitch

NO_FAULTS = EngineFaults()

FIRST_INCARNATION = Incarnation(1)


class WeightSource(Protocol):
    """A source of model weights."""

    async def fetch(self, engine: EngineName, load: LoadModel, num_bytes: int) -> Result[None, str]:
        """Read all weights; return once the read has ended."""
        ...


class BlockStore(Protocol):
    """A store of kept KV cache."""

    async def import_blocks(self, block_hashes: Sequence[BlockHash]) -> Result[int, str]:
        """Read a chain of blocks; return how many leading blocks the store had."""
        ...

    async def export_blocks(self, block_hashes: Sequence[BlockHash]) -> Result[None, str]:
        """Store a chain of blocks."""
        ...


class InProcessEngine:
    """An `EnginePort` whose engine is a task of this process; start `run` in a task group."""

    def __init__(
        self,
        settings: EngineSettings,
        random: Random,
        *,
        incarnation: Incarnation = FIRST_INCARNATION,
        weight_source: WeightSource | None = None,
        block_stores: Mapping[str, BlockStore] | None = None,
    ) -> None:
        self.settings = settings
        self.model = EngineModel(settings, incarnation)
        self.faults: FaultSwitch[EngineFaults] = FaultSwitch(NO_FAULTS)
        self._random = random
        self._weight_source = weight_source
        self._block_stores = block_stores or {}
        self._wake = anyio.Event()
        self._loading: LoadModel | None = None
        self._load_scope: anyio.CancelScope | None = None
        self._down_until_s = 0.0

    async def run(self) -> None:
        """Run the engine until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._run_step(tasks)

    async def _run_step(self, tasks: TaskGroup) -> None:
        wake = self._wake = anyio.Event()
        if self.faults.current.is_stalled:
            self.faults.on_change(wake.set)
            await wake.wait()
            return
        self._begin_load(tasks)
        duration_s = self.model.begin_step(anyio.current_time())
        if duration_s is None:
            await wake.wait()
            return
        await anyio.sleep(duration_s * self.faults.current.slow_factor)
        self.model.finish_step(anyio.current_time())
        self._export_finished(tasks)

    def _begin_load(self, tasks: TaskGroup) -> None:
        load = self.model.load_to_begin()
        if load is None or load is self._loading:
            return
        self._loading = load
        self._stop_load()
        self._load_scope = anyio.CancelScope()
        self.model.begin_load(load, anyio.current_time())
        tasks.start_soon(self._load, load, self._load_scope)

    def _stop_load(self) -> None:
        if self._load_scope is not None:
            self._load_scope.cancel()

    async def _load(self, load: LoadModel, scope: anyio.CancelScope) -> None:
        """Read weights, unless another load or a crash cancels the read."""
        succeeded = True
        with scope:
            if self._weight_source is not None:
                size = self.settings.weight_bytes
                fetched = await self._weight_source.fetch(self.settings.name, load, size)
                succeeded = isinstance(fetched, Ok)
        if scope.cancelled_caught:
            return
        self.model.finish_load(load, succeeded, anyio.current_time())
        self._wake.set()

    def _export_finished(self, tasks: TaskGroup) -> None:
        finished, self.model.finished_attempts = self.model.finished_attempts, []
        store = self._block_stores.get(self.settings.export_to or "")
        if store is None:
            return
        for attempt in finished:
            tasks.start_soon(store.export_blocks, attempt.block_hashes)

    def crash(self, incarnation: Incarnation | None = None) -> None:
        """Lose all state; the engine is reachable again, with an empty cache, after `restart_s`."""
        now_s = anyio.current_time()
        self._down_until_s = now_s + self.settings.restart_s
        self._stop_load()
        self.model.crash(incarnation or Incarnation(self.model.incarnation + 1), now_s)
        self._wake.set()

    def leave(self) -> None:
        """Refuse new requests and set `is_leaving` in load reports; admitted requests continue."""
        self.model.is_leaving = True

    @property
    def is_reachable(self) -> bool:
        """Whether the engine accepts connections now."""
        if self.faults.current.refuse_connections:
            return False
        return anyio.current_time() >= self._down_until_s

    def _unreachable(self) -> EngineFailure | None:
        if self.is_reachable:
            return None
        return EngineFailure(
            EngineFailureKind.UNREACHABLE, "connection refused; choose another engine"
        )

    async def start(self, call: GenerateCall) -> Result[Attempt, EngineFailure]:
        """Submit an attempt without streaming it."""
        refusal = self._unreachable() or self._fault_refusal() or self.model.refusal(call)
        if refusal is not None:
            return Err(refusal)
        await self._import_kept(call)
        started = self.model.submit(call, anyio.current_time())
        self._wake.set()
        return started

    def _fault_refusal(self) -> EngineFailure | None:
        faults = self.faults.current
        if faults.refuse_busy:
            return EngineFailure(EngineFailureKind.REFUSED_BUSY, "the engine has no room")
        if faults.refuse_invalid:
            return EngineFailure(EngineFailureKind.REFUSED_INVALID, "the request is invalid")
        return None

    async def _import_kept(self, call: GenerateCall) -> None:
        store = self._block_stores.get(call.kept_kv_store or "")
        if store is None:
            return
        hashes = self.model.block_hashes(call)
        if call.kept_kv_block_hash not in hashes:
            return
        loaded = (self.model.incarnation, self.model.weight_version)
        blocks = hashes[: hashes.index(BlockHash(call.kept_kv_block_hash)) + 1]
        with anyio.move_on_after(self.settings.max_import_wait_s):
            imported = await store.import_blocks(blocks)
            is_same_engine_state = loaded == (self.model.incarnation, self.model.weight_version)
            if isinstance(imported, Ok) and is_same_engine_state:
                self.model.import_blocks(blocks[: imported.ok_value], anyio.current_time())

    @asynccontextmanager
    async def generate(self, call: GenerateCall) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        """Start one attempt and stream its chunks."""
        started = await self.start(call)
        if isinstance(started, Err):
            chunks = _single_failure(started)
        else:
            chunks = self.stream(started.ok_value, call.continue_sequence, call.time_left_s)
        async with aclosing(chunks):
            yield chunks

    def time_left_s(self, attempt: Attempt) -> float:
        """Return the time until an attempt's caller gives up, in seconds."""
        return max(0.0, attempt.deadline_s - anyio.current_time())

    @asynccontextmanager
    async def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AsyncIterator[AsyncIterator[ChunkOrFailure]]:
        """Stream the chunks of an attempt again, starting at a sequence number."""
        found = self.find(request_id, attempt, from_sequence)
        if isinstance(found, Err):
            chunks = _single_failure(found)
        else:
            attempt_found = found.ok_value
            time_left_s = self.time_left_s(attempt_found)
            chunks = self.stream(attempt_found, from_sequence, time_left_s)
        async with aclosing(chunks):
            yield chunks

    def find(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> Result[Attempt, EngineFailure]:
        """Return an attempt that can be streamed from a sequence number."""
        unreachable = self._unreachable()
        if unreachable is not None:
            return Err(unreachable)
        current = self.model.find(request_id, attempt)
        if current is None or from_sequence < current.call.continue_sequence:
            detail = "unknown attempt; continue on another engine"
            return Err(EngineFailure(EngineFailureKind.NOT_FOUND, detail))
        return Ok(current)

    async def stream(
        self, attempt: Attempt, from_sequence: int, time_left_s: float
    ) -> AsyncGenerator[ChunkOrFailure, None]:
        """Iterate over the chunks of an attempt, with the active faults applied."""
        faults = self.faults.faults_for_call()
        chunk_faults = None if faults is NO_FAULTS else ChunkFaults(faults)
        deadline_s = anyio.current_time() + time_left_s
        position = from_sequence - attempt.call.continue_sequence
        while True:
            while position < len(attempt.chunks):
                chunk = attempt.chunks[position]
                position += 1
                if chunk_faults is None:
                    yield Ok(chunk)
                    continue
                await anyio.sleep(faults.answer_delay_s)
                for item in chunk_faults.pass_on(chunk):
                    yield item
                if chunk_faults.is_ended:
                    return
            if attempt.is_done:
                if attempt.failure is not None:
                    yield Err(attempt.failure)
                return
            if not await _wait_for_change(attempt, deadline_s):
                detail = f"no chunk after {time_left_s} s; retry on another engine"
                yield Err(EngineFailure(EngineFailureKind.TIMED_OUT, detail))
                return

    async def cancel(self, request_id: RequestId, attempt: int) -> Result[None, EngineFailure]:
        """Stop an attempt."""
        failure = await self._control_failure()
        if failure is not None:
            return Err(failure)
        if self.model.cancel(request_id, attempt, anyio.current_time()):
            return Ok(None)
        return Err(EngineFailure(EngineFailureKind.NOT_FOUND, "unknown attempt"))

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report."""
        failure = await self._control_failure()
        if failure is not None:
            return Err(failure)
        await anyio.sleep(self.faults.current.load_report_delay_s)
        return Ok(self.model.load_report(anyio.current_time()))

    @asynccontextmanager
    async def cache_events(
        self, incarnation: Incarnation | None, after_sequence: int
    ) -> AsyncIterator[AsyncIterator[Result[CacheEventBatch, EngineFailure]]]:
        """Follow the cache events after a sequence number."""
        failure = self._unreachable()
        if failure is not None:
            batches = _single_event_failure(Err(failure))
        else:
            batches = follow_events(
                self.model, self.faults, self._random, incarnation, after_sequence
            )
        async with aclosing(batches):
            yield batches

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read all blocks cached now."""
        failure = await self._control_failure()
        if failure is not None:
            return Err(failure)
        return Ok(self.model.dump())

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Send a fenced order to the engine."""
        failure = await self._control_failure()
        if failure is not None:
            return Err(failure)
        ordered = self.model.order(order, anyio.current_time())
        self._wake.set()
        return ordered

    async def _control_failure(self) -> EngineFailure | None:
        await anyio.lowlevel.checkpoint()
        failure = self._unreachable()
        if failure is None and self.faults.current.is_stalled:
            await anyio.sleep(self.settings.control_timeout_s)
            failure = EngineFailure(EngineFailureKind.TIMED_OUT, "the engine did not answer")
        return failure


async def _wait_for_change(attempt: Attempt, deadline_s: float) -> bool:
    """Wait until an attempt changes; return False if the deadline passes first."""
    changed = anyio.Event()
    attempt.listeners.append(changed.set)
    with anyio.move_on_after(deadline_s - anyio.current_time()):
        await changed.wait()
    return changed.is_set()


async def _single_failure(failure: Err[EngineFailure]) -> AsyncGenerator[ChunkOrFailure, None]:
    yield failure


async def _single_event_failure(
    failure: Err[EngineFailure],
) -> AsyncGenerator[Result[CacheEventBatch, EngineFailure], None]:
    yield failure
