"""Ports of a virtual node that apply the state of its process and the links of its zone.

A call waits while the process is paused, raises once it is killed, and fails or waits while a
link that it needs is cut.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager
from typing import TypeVar

import anyio
from result import Err, Ok, Result

from weirscale.domain.identifiers import Incarnation, RequestId
from weirscale.domain.request.model import ServiceRequest, ServiceResponse
from weirscale.experiments.history.records import OrderTaken
from weirscale.experiments.run.life import ProcessLife
from weirscale.experiments.run.links import ZonePath
from weirscale.experiments.run.recorder import Recorder
from weirscale.messages.cache import CacheDump, CacheEventBatch, LoadReport
from weirscale.ports.engine import (
    ChunkOrFailure,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    EnginePort,
    GenerateCall,
)
from weirscale.ports.machines import Machine, MachineListFailure, MachineListPort
from weirscale.ports.service import ServiceFailure, ServiceFailureKind, ServicePort

ItemT = TypeVar("ItemT")
AnswerT = TypeVar("AnswerT")

CONTROL_TIMEOUT_S = 2.0
"""Timeout of calls other than generation while the link is cut."""
UNREACHABLE_ENGINE = EngineFailure(EngineFailureKind.UNREACHABLE, "the link is cut")
TIMED_OUT_ENGINE = EngineFailure(EngineFailureKind.TIMED_OUT, "the link was cut")


class GatedEngine:
    """The `EnginePort` through which a virtual node reaches an engine.

    Args:
        engine: The engine's own port.
        life: The node's process.
        path: The path from the node's zone to the engine's.
        recorder: Receives the orders that the engine accepts.
    """

    def __init__(
        self, engine: EnginePort, life: ProcessLife, path: ZonePath, recorder: Recorder
    ) -> None:
        self._engine = engine
        self._life = life
        self._path = path
        self._recorder = recorder

    def generate(
        self, call: GenerateCall
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Start an attempt and stream its chunks."""
        return self._stream(lambda: self._engine.generate(call))

    def resume(
        self, request_id: RequestId, attempt: int, from_sequence: int
    ) -> AbstractAsyncContextManager[AsyncIterator[ChunkOrFailure]]:
        """Stream the chunks of an attempt again from a sequence number."""
        return self._stream(lambda: self._engine.resume(request_id, attempt, from_sequence))

    def cache_events(
        self, incarnation: Incarnation | None, after_sequence: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[CacheEventBatch, EngineFailure]]]:
        """Stream cache events."""
        return self._stream(lambda: self._engine.cache_events(incarnation, after_sequence))

    async def cancel(self, request_id: RequestId, attempt: int) -> Result[None, EngineFailure]:
        """Cancel an attempt."""
        return await self._control(lambda: self._engine.cancel(request_id, attempt))

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Read the latest load report."""
        return await self._control(self._engine.load)

    async def cache_dump(self) -> Result[CacheDump, EngineFailure]:
        """Read all blocks that are currently cached."""
        return await self._control(self._engine.cache_dump)

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Send a fenced order; record it at the moment when the engine accepts it."""
        return await self._control(lambda: self._send_and_record_order(order))

    async def _send_and_record_order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        answer = await self._engine.order(order)
        report = await self._engine.load()
        if isinstance(answer, Ok) and isinstance(report, Ok):
            self._recorder.add(
                OrderTaken(
                    at_s=self._recorder.now(),
                    engine=report.ok_value.engine,
                    incarnation=report.ok_value.incarnation,
                    order_token=order.token,
                )
            )
        return answer

    @asynccontextmanager
    async def _stream(
        self,
        open_stream: Callable[
            [], AbstractAsyncContextManager[AsyncIterator[Result[ItemT, EngineFailure]]]
        ],
    ) -> AsyncIterator[AsyncIterator[Result[ItemT, EngineFailure]]]:
        if not await self._life.guard(self._path.connect):
            async with aclosing(_yield_failure(UNREACHABLE_ENGINE)) as failure:
                yield failure
            return
        async with (
            open_stream() as items,
            aclosing(self._delayed_items(items)) as delayed_items,
            aclosing(self._life.guard_each(delayed_items)) as guarded_items,
        ):
            yield guarded_items

    async def _delayed_items(
        self, items: AsyncIterator[Result[ItemT, EngineFailure]]
    ) -> AsyncGenerator[Result[ItemT, EngineFailure], None]:
        """Delay the first item by the return delay, and each item until the path is connected."""
        is_first = True
        async for item in items:
            if is_first:
                await anyio.sleep(self._path.delay_s)
                is_first = False
            await self._path.wait_until_connected()
            yield item

    async def _control(
        self, call: Callable[[], Awaitable[Result[AnswerT, EngineFailure]]]
    ) -> Result[AnswerT, EngineFailure]:
        if not await self._life.guard(self._path.connect):
            return Err(UNREACHABLE_ENGINE)
        return await self._life.guard(lambda: self._answer_over_link(call))

    async def _answer_over_link(
        self, call: Callable[[], Awaitable[Result[AnswerT, EngineFailure]]]
    ) -> Result[AnswerT, EngineFailure]:
        answer = await call()
        with anyio.move_on_after(CONTROL_TIMEOUT_S):
            await self._path.wait_until_connected()
            await anyio.sleep(self._path.delay_s)
            return answer
        return Err(TIMED_OUT_ENGINE)


async def _yield_failure(failure: EngineFailure) -> AsyncGenerator[Err[EngineFailure], None]:
    yield Err(failure)


class GatedService:
    """The `ServicePort` through which a virtual node reaches a service back end."""

    def __init__(self, service: ServicePort, life: ProcessLife, path: ZonePath) -> None:
        self._service = service
        self._life = life
        self._path = path

    async def call(
        self, request: ServiceRequest, time_left_s: float
    ) -> Result[ServiceResponse, ServiceFailure]:
        """Send the request, without a retry."""
        if not await self._life.guard(self._path.connect):
            return Err(ServiceFailure(ServiceFailureKind.UNREACHABLE, "the link is cut"))
        return await self._life.guard(lambda: self._answer_over_link(request, time_left_s))

    async def _answer_over_link(
        self, request: ServiceRequest, time_left_s: float
    ) -> Result[ServiceResponse, ServiceFailure]:
        with anyio.move_on_after(time_left_s):
            answer = await self._service.call(request, time_left_s)
            await self._path.wait_until_connected()
            await anyio.sleep(self._path.delay_s)
            return answer
        return Err(ServiceFailure(ServiceFailureKind.TIMED_OUT, "no answer in time"))


class GatedMachines:
    """The `MachineListPort` through which a virtual node reads the machine list."""

    def __init__(self, machines: MachineListPort, life: ProcessLife, path: ZonePath) -> None:
        self._machines = machines
        self._life = life
        self._path = path

    async def machines(self) -> Result[tuple[Machine, ...], MachineListFailure]:
        """Read the machine list."""
        if not self._path.links.reaches_platform(self._path.source):
            await self._life.guard(lambda: anyio.sleep(CONTROL_TIMEOUT_S))
            return Err(MachineListFailure("the platform cannot be reached; keep the last list"))
        return await self._life.guard(self._machines.machines)
