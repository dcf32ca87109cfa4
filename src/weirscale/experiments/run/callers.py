"""Simulated callers of a fleet, which send the requests of a plan and record the answers."""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import aclosing

import anyio
from anyio.abc import TaskGroup

from weirscale.domain.identifiers import NodeName, RequestId, ZoneName
from weirscale.experiments.history.history import Ending
from weirscale.experiments.history.records import (
    CallerLeft,
    ChunkReceived,
    ConnectionBroke,
    GenerationAnswered,
    RefusalReceived,
    Sent,
    ServiceAnswered,
)
from weirscale.experiments.run.answers import (
    Received,
    ReceivedBody,
    ReceivedEnd,
    ReceivedRefusal,
    ReceivedText,
    read_answer,
)
from weirscale.experiments.run.exchange import CallerExchange, Connect, HttpRequest
from weirscale.experiments.run.links import CALLER_DELAY_S
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.run.requests import (
    generation_request,
    generation_sent,
    service_request,
    service_sent,
)
from weirscale.experiments.workload.items import CallerBehaviour, GenerationItem, PlanItem
from weirscale.experiments.workload.prompts import request_body
from weirscale.standins.engine.answer import CHARACTERS_PER_TOKEN

FindNode = Callable[[ZoneName, int], tuple[NodeName, Connect]]
"""Chooses the node for a caller, by the caller's zone and an index among the zone's nodes."""
GIVE_UP_GRACE_S = 8.0
"""Callers wait this long past the deadline, so that late answers are recorded as late."""
STAYING_CALLER = CallerBehaviour()


class Callers:
    """Sends the requests of a plan open-loop: no request waits for the answer to another.

    Attributes:
        num_ended: Requests that have ended, for the progress display.
    """

    def __init__(self, find_node: FindNode, recorder: Recorder) -> None:
        """Create the callers.

        Args:
            find_node: Chooses the node that a caller connects to.
            recorder: Receives the records of sent requests and received answers.
        """
        self._find_node = find_node
        self._recorder = recorder
        self.num_ended = 0

    async def send_all(self, plan: Sequence[PlanItem]) -> None:
        """Send each item at its offset from now, and return when all requests have ended."""
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for item in plan:
                await anyio.sleep_until(start_s + item.send_at_s)
                self._send(tasks, item, start_s)

    def _send(self, tasks: TaskGroup, item: PlanItem, start_s: float) -> None:
        node, connect = self._find_node(item.zone, item.node_index)
        now_s = self._recorder.now()
        if isinstance(item, GenerationItem):
            body = request_body(item)
            sent: Sent = generation_sent(item, body, node, start_s, now_s)
            request = generation_request(item, body)
            behaviour = item.behaviour
        else:
            sent = service_sent(item, node, start_s, now_s)
            request = service_request(item)
            behaviour = STAYING_CALLER
        self._recorder.add(sent)
        tasks.start_soon(self._exchange, sent, request, connect, behaviour)

    async def _exchange(
        self,
        sent: Sent,
        request: HttpRequest,
        connect: Connect,
        behaviour: CallerBehaviour,
    ) -> None:
        await anyio.sleep(CALLER_DELAY_S)
        exchange = connect(request)
        if exchange is None:
            self._record_ending(self._connection_broke(sent.request_id, was_connected=False))
            return
        until_s = sent.deadline_at_s + GIVE_UP_GRACE_S
        if behaviour.leaves_after_s is not None:
            until_s = anyio.current_time() + behaviour.leaves_after_s
        with anyio.CancelScope(deadline=until_s) as scope:
            async with aclosing(read_answer(exchange)) as answer:
                await self._read(sent.request_id, exchange, answer, behaviour.read_delay_s)
        await exchange.disconnect()
        if scope.cancelled_caught and behaviour.leaves_after_s is not None:
            self._record_ending(CallerLeft(at_s=self._now(), request_id=sent.request_id))

    async def _read(
        self,
        request_id: RequestId,
        exchange: CallerExchange,
        answer: AsyncIterator[Received],
        read_delay_s: float,
    ) -> None:
        num_chunks = 0
        async for received in answer:
            if not isinstance(received, ReceivedText):
                self._record_ending(
                    self._ending_record(request_id, received, exchange.was_connected)
                )
                return
            chunk = ChunkReceived(
                at_s=self._now(),
                request_id=request_id,
                chunk_request_id=RequestId(received.answer_id),
                sequence=num_chunks,
                text=received.text,
                num_tokens=len(received.text) // CHARACTERS_PER_TOKEN,
            )
            self._recorder.add(chunk)
            num_chunks += 1
            await anyio.sleep(read_delay_s)

    def _ending_record(
        self, request_id: RequestId, received: Received, was_connected: bool
    ) -> Ending:
        at_s = self._now()
        match received:
            case ReceivedEnd():
                return GenerationAnswered(
                    at_s=at_s,
                    request_id=request_id,
                    finish_reason=received.finish_reason,
                    num_prompt_tokens=received.num_prompt_tokens,
                    num_cached_tokens=received.num_cached_tokens,
                )
            case ReceivedRefusal():
                return RefusalReceived(
                    at_s=at_s,
                    request_id=request_id,
                    code=received.code,
                    run_status=received.run_status,
                )
            case ReceivedBody():
                return ServiceAnswered(
                    at_s=at_s, request_id=request_id, status=received.status, body=received.body
                )
            case _:
                return self._connection_broke(request_id, was_connected)

    def _connection_broke(self, request_id: RequestId, was_connected: bool) -> ConnectionBroke:
        return ConnectionBroke(at_s=self._now(), request_id=request_id, was_connected=was_connected)

    def _record_ending(self, ending: Ending) -> None:
        self.num_ended += 1
        self._recorder.add(ending)

    def _now(self) -> float:
        """Return the time at which a message that the node sends now reaches the caller."""
        return self._recorder.now() + CALLER_DELAY_S
