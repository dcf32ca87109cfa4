"""Callers of a virtual fleet: they send the items of a plan and record what they see."""

from collections.abc import Mapping, Sequence
from urllib.parse import parse_qs, urlsplit

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.configuration.model import Deployment, Tenant
from weirscale.domain.identifiers import NodeName, RequestId, TenantName
from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.domain.request.model import (
    GenerationRequest,
    ServiceRequest,
    ServiceResponse,
    TokenChunk,
)
from weirscale.domain.request.refusal import Refusal
from weirscale.experiments.history.records import (
    CallerLeft,
    ChunkReceived,
    ConnectionBroke,
    GenerationAnswered,
    GenerationSent,
    RefusalReceived,
    ServiceAnswered,
    ServiceSent,
)
from weirscale.experiments.run.fleet import Fleet
from weirscale.experiments.run.links import CALLER_DELAY_S
from weirscale.experiments.run.node_process import Connection, NodeProcess
from weirscale.experiments.run.recorder import Recorder
from weirscale.experiments.workload.items import GenerationItem, PlanItem, ServiceItem
from weirscale.experiments.workload.prompts import request_body

CHAT_PATH = "/v1/chat/completions"
GIVE_UP_GRACE_S = 8.0
"""Callers wait this much longer than their deadline, so that late endings are seen as late."""
SERVICE_DEADLINE_MARGIN_S = 0.0


class Callers:
    """Sends a plan, open-loop: no send waits for an answer to another.

    Args:
        fleet: The nodes to send through.
        deployment: Its tenants' priorities go along.
        recorder: Takes what callers see.
    """

    def __init__(self, fleet: Fleet, deployment: Deployment, recorder: Recorder) -> None:
        self._fleet = fleet
        self._recorder = recorder
        self._tenants: Mapping[TenantName, Tenant] = {
            tenant.name: tenant for tenant in deployment.tenants
        }
        self.num_ended = 0

    async def send_all(self, plan: Sequence[PlanItem]) -> None:
        """Send every item at its time, from now on, and return when all have ended."""
        started_at_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for item in plan:
                await anyio.sleep_until(started_at_s + item.send_at_s)
                self._start(tasks, item, started_at_s)

    def _start(self, tasks: TaskGroup, item: PlanItem, started_at_s: float) -> None:
        if isinstance(item, GenerationItem):
            tasks.start_soon(self._send_generation, item, started_at_s)
        else:
            tasks.start_soon(self._send_service, item, started_at_s)

    async def _send_generation(self, item: GenerationItem, started_at_s: float) -> None:
        body = request_body(item)
        prompt = prompt_bytes(body)
        assert prompt is not None
        deadline_at_s = started_at_s + item.send_at_s + item.deadline_s
        found = self._fleet.reachable(item.zone, item.node_index)
        self._recorder.add(
            GenerationSent(
                at_s=self._recorder.now(),
                request_id=item.request_id,
                intended_at_s=started_at_s + item.send_at_s,
                tenant=item.tenant,
                model=item.model,
                adapter=None,
                node=found[0] if found else NodeName(""),
                prompt=prompt,
                max_tokens=item.max_tokens,
                deadline_at_s=deadline_at_s,
            )
        )
        request = GenerationRequest(
            request_id=item.request_id,
            tenant=item.tenant,
            model=item.model,
            adapter=None,
            prompt=prompt,
            body=body,
            path=CHAT_PATH,
            max_tokens=item.max_tokens,
            priority=self._tenants[item.tenant].priority,
            deadline_s=deadline_at_s,
            repeatable=True,
            idempotency_key=None,
            streamed=True,
        )
        await anyio.sleep(CALLER_DELAY_S)
        connection = found[1].generate(request) if found else None
        await self._receive_all(item, connection, deadline_at_s)

    async def _receive_all(
        self, item: GenerationItem, connection: Connection | None, deadline_at_s: float
    ) -> None:
        if connection is None:
            self._end(
                ConnectionBroke(at_s=self._now(), request_id=item.request_id, was_connected=False)
            )
            return
        leaves_after_s = item.behaviour.leaves_after_s
        give_up_at_s = deadline_at_s + GIVE_UP_GRACE_S
        until_s = give_up_at_s if leaves_after_s is None else anyio.current_time() + leaves_after_s
        with anyio.CancelScope(deadline=until_s) as scope:
            await self._receive_stream(item, connection)
        connection.close()
        if scope.cancelled_caught and leaves_after_s is not None:
            self._end(CallerLeft(at_s=self._now(), request_id=item.request_id))

    async def _receive_stream(self, item: GenerationItem, connection: Connection) -> None:
        request_id = item.request_id
        while True:
            answer = await connection.receive()
            at_s = self._now()
            if isinstance(answer, TokenChunk):
                self._recorder.add(
                    ChunkReceived(
                        at_s=at_s,
                        request_id=request_id,
                        chunk_request_id=answer.request_id,
                        sequence=answer.sequence,
                        text=answer.text,
                        num_tokens=answer.num_tokens,
                    )
                )
                if answer.finish_reason is not None:
                    self._end(
                        GenerationAnswered(
                            at_s=at_s,
                            request_id=request_id,
                            finish_reason=answer.finish_reason,
                            num_prompt_tokens=answer.num_prompt_tokens,
                            num_cached_tokens=answer.num_cached_tokens,
                        )
                    )
                    return
                await anyio.sleep(item.behaviour.read_delay_s)
                continue
            self._end_otherwise(request_id, answer, at_s)
            return

    async def _send_service(self, item: ServiceItem, started_at_s: float) -> None:
        deadline_at_s = started_at_s + item.send_at_s + item.deadline_s
        found = self._fleet.reachable(item.zone, item.node_index)
        self._recorder.add(
            ServiceSent(
                at_s=self._recorder.now(),
                request_id=item.request_id,
                intended_at_s=started_at_s + item.send_at_s,
                tenant=item.tenant,
                service=item.service,
                node=found[0] if found else NodeName(""),
                marker=marker_of(item),
                repeatable=item.repeatable,
                idempotency_key=item.idempotency_key,
                deadline_at_s=deadline_at_s,
            )
        )
        await anyio.sleep(CALLER_DELAY_S)
        request = service_request(item, self._tenants[item.tenant].priority, deadline_at_s)
        connection = _call_service(found[1] if found else None, request)
        if connection is None:
            self._end(
                ConnectionBroke(at_s=self._now(), request_id=item.request_id, was_connected=False)
            )
            return
        with anyio.CancelScope(deadline=deadline_at_s + GIVE_UP_GRACE_S):
            answer = await connection.receive()
            self._end_otherwise(item.request_id, answer, self._now())
        connection.close()

    def _end_otherwise(
        self,
        request_id: RequestId,
        answer: Refusal | ServiceResponse | TokenChunk | None,
        at_s: float,
    ) -> None:
        """Record the ending that is not the last chunk of a stream."""
        if isinstance(answer, Refusal):
            self._end(
                RefusalReceived(
                    at_s=at_s,
                    request_id=request_id,
                    code=answer.code,
                    run_status=answer.run_status,
                )
            )
        elif isinstance(answer, ServiceResponse):
            self._end(
                ServiceAnswered(
                    at_s=at_s, request_id=request_id, status=answer.status, body=answer.body
                )
            )
        else:
            self._end(ConnectionBroke(at_s=at_s, request_id=request_id, was_connected=True))

    def _end(
        self,
        record: CallerLeft
        | ConnectionBroke
        | GenerationAnswered
        | RefusalReceived
        | ServiceAnswered,
    ) -> None:
        self.num_ended += 1
        self._recorder.add(record)

    def _now(self) -> float:
        return self._recorder.now() + CALLER_DELAY_S


def _call_service(process: NodeProcess | None, request: ServiceRequest) -> Connection | None:
    return process.call_service(request) if process is not None else None


def service_request(item: ServiceItem, priority: int, deadline_at_s: float) -> ServiceRequest:
    """Return the request that a caller of an item sends."""
    headers = {"content-type": "application/json"}
    return ServiceRequest(
        request_id=item.request_id,
        tenant=item.tenant,
        service=item.service,
        method=item.method,
        path=item.path,
        headers=headers,
        body=item.body,
        deadline_s=deadline_at_s,
        repeatable=item.repeatable,
        idempotency_key=item.idempotency_key,
        priority=priority,
    )


class _Marked(msgspec.Struct):
    """The part of a change's body that tells answers apart."""

    marker: str


def marker_of(item: ServiceItem) -> str:
    """Return the text that the answer to an item must contain."""
    if item.body:
        return msgspec.json.decode(item.body, type=_Marked).marker
    return parse_qs(urlsplit(item.path).query)["marker"][0]
