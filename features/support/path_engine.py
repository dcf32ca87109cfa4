"""A scripted engine for tests of the request path, with faults at chosen steps of a request."""

import enum
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from result import Err, Ok

from weirscale.domain.request.model import TokenChunk
from weirscale.ports.engine import EngineFailure, EngineFailureKind

NUM_CHUNKS = 6
CHUNK_INTERVAL_S = 0.05
FOREVER_S = 10_000.0
FOREIGN_ID = "somebody-else"


class Step(enum.Enum):
    CONNECT = "connect"
    HEADERS = "headers"
    FIRST_CHUNK = "first chunk"
    MID_STREAM = "mid-stream"
    LAST_CHUNK = "last chunk"
    AFTER_END = "after the end"


CHUNK_OF_STEP = {Step.FIRST_CHUNK: 0, Step.MID_STREAM: 3, Step.LAST_CHUNK: NUM_CHUNKS - 1}


class Fault(enum.Enum):
    KILL = "kill"
    STALL = "stall"
    CROSS = "cross"
    DUPLICATE = "duplicate"
    CUT = "cut"
    RESET = "reset"
    SKIP = "skip"
    BUSY = "busy"
    INVALID = "invalid"
    MISMATCH = "mismatch"


def failure(kind):
    return Err(EngineFailure(kind, kind.value))


def answer_piece(sequence):
    return f"piece{sequence} "


FULL_ANSWER = "".join(answer_piece(i) for i in range(NUM_CHUNKS))


@dataclass
class ScriptedFault:
    step: Step
    fault: Fault
    num_times: int = 1


@dataclass
class ArrivedChunks:
    """Chunks that arrived with the same read."""

    chunks: list

    @property
    def num_ready(self):
        return len(self.chunks)

    async def __anext__(self):
        if not self.chunks:
            raise StopAsyncIteration
        return self.chunks.pop(0)


@dataclass
class ScriptedEngine:
    """An EnginePort. The faults of `script` apply in order, each to one stream per time."""

    name: str
    script: list = field(default_factory=list)
    first_chunk_delay_s: float = CHUNK_INTERVAL_S
    is_alive: bool = True
    runs: dict = field(default_factory=dict)
    cancelled: list = field(default_factory=list)
    calls: list = field(default_factory=list)
    num_resumes: int = 0
    num_read: int = 0
    arrives_together: bool = False

    def runs_of(self, request_id):
        return sum(1 for key in self.runs if key[0] == request_id)

    @asynccontextmanager
    async def generate(self, call):
        self.calls.append(call)
        fault = self._take_fault()
        refusal = await self._connect(fault)
        if refusal is not None:
            yield self._single_item(refusal)
            return
        self.runs[(call.request_id, call.attempt)] = True
        if self.arrives_together:
            yield ArrivedChunks([Ok(self._chunk(call.request_id, i)) for i in range(NUM_CHUNKS)])
            return
        yield self._stream(call.request_id, call.attempt, call.continue_sequence, fault)

    @asynccontextmanager
    async def resume(self, request_id, attempt, from_sequence):
        self.num_resumes += 1
        fault = self._take_fault()
        if not self.is_alive:
            yield self._single_item(failure(EngineFailureKind.UNREACHABLE))
        elif (request_id, attempt) not in self.runs:
            yield self._single_item(failure(EngineFailureKind.NOT_FOUND))
        else:
            yield self._stream(request_id, attempt, from_sequence, fault)

    async def cancel(self, request_id, attempt):
        self.cancelled.append((request_id, attempt))
        return Ok(None)

    def _take_fault(self):
        if not self.script:
            return None
        fault = self.script[0]
        fault.num_times -= 1
        if fault.num_times <= 0:
            self.script.pop(0)
        return fault

    async def _connect(self, fault):
        if not self.is_alive:
            return failure(EngineFailureKind.UNREACHABLE)
        if fault is None or fault.step is not Step.CONNECT:
            return None
        if fault.fault is Fault.KILL:
            self.kill()
        if fault.fault is Fault.STALL:
            await anyio.sleep(FOREVER_S)
        kinds = {
            Fault.BUSY: EngineFailureKind.REFUSED_BUSY,
            Fault.INVALID: EngineFailureKind.REFUSED_INVALID,
            Fault.MISMATCH: EngineFailureKind.REFUSED_MISMATCH,
        }
        return failure(kinds.get(fault.fault, EngineFailureKind.UNREACHABLE))

    def kill(self):
        self.is_alive = False

    async def _single_item(self, item):
        yield item

    async def _stream(self, request_id, attempt, start, fault):
        if fault is not None and fault.step is Step.HEADERS:
            async for item in self._apply_fault(request_id, 0, fault.fault):
                yield item
            if fault.fault is not Fault.DUPLICATE:
                return
        await anyio.sleep(self.first_chunk_delay_s)
        for sequence in range(start, NUM_CHUNKS):
            if sequence > start:
                await anyio.sleep(CHUNK_INTERVAL_S)
            if fault is not None and CHUNK_OF_STEP.get(fault.step) == sequence:
                async for item in self._apply_fault(request_id, sequence, fault.fault):
                    yield item
                if fault.fault is Fault.SKIP:
                    continue
                if fault.fault is not Fault.DUPLICATE:
                    return
            self.num_read += 1
            yield Ok(self._chunk(request_id, sequence))
        if fault is not None and fault.step is Step.AFTER_END:
            async for item in self._apply_fault(request_id, NUM_CHUNKS - 1, fault.fault):
                yield item

    async def _apply_fault(self, request_id, sequence, fault):
        if fault is Fault.KILL:
            self.kill()
            self.runs_before_kill = dict(self.runs)
            yield failure(EngineFailureKind.BROKEN)
        elif fault is Fault.STALL:
            await anyio.sleep(FOREVER_S)
        elif fault is Fault.CROSS:
            yield Ok(self._chunk(FOREIGN_ID, sequence))
        elif fault is Fault.DUPLICATE:
            yield Ok(self._chunk(request_id, sequence))
        elif fault is Fault.RESET:
            yield failure(EngineFailureKind.BROKEN)
        # CUT ends the stream without its last chunk. SKIP omits the chunk.

    def _chunk(self, request_id, sequence):
        is_last = sequence == NUM_CHUNKS - 1
        return TokenChunk(
            request_id=request_id,
            sequence=sequence,
            text=answer_piece(sequence) if request_id != FOREIGN_ID else "a stranger's words ",
            num_tokens=1,
            finish_reason="stop" if is_last else None,
            num_prompt_tokens=10 if is_last else 0,
            num_cached_tokens=4 if is_last else 0,
        )
