"""The admission task, which owns the node's admission queue and is called through its mailbox."""

import itertools
import math

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import Deployment, Tenant
from weirscale.domain.identifiers import RequestId
from weirscale.domain.limits.admission import (
    MIN_RETRY_AFTER_S,
    AdmissionQueue,
    AllowanceSource,
    overloaded_refusal,
)
from weirscale.domain.limits.fair_queue import WaitingRequest
from weirscale.domain.request.refusal import Refusal
from weirscale.node.interfaces import Permit
from weirscale.node.mailbox import Mailbox, Reply

WAITING_POLL_S = 0.02
"""How often waiting requests are checked for tokens that have become available."""
IDLE_POLL_S = 3600.0
"""Wait without waiting requests: in effect, the task sleeps until a message arrives."""
MIN_RUNNING = 64
"""Minimum number of concurrent permits of a node, however large the fleet."""
IMBALANCE_FACTOR = 2.0
"""Concurrent permits of a node relative to an equal share of the fleet's capacity, since callers do
not spread evenly over nodes."""
REQUESTS_PER_SERVICE_BACKEND = 64
"""Concurrent requests assumed for a service back end, which declares no limit of its own."""


class NodePermit(Permit, frozen=True):
    """A permit with its number, which is unique on this node."""

    ticket: int


Decision = Result[Permit, Refusal]


class _Admit(msgspec.Struct, frozen=True):
    request: WaitingRequest
    request_id: RequestId
    reply: Reply[Decision]


class _Release(msgspec.Struct, frozen=True):
    ticket: int


class _Withdraw(msgspec.Struct, frozen=True):
    ticket: int


def node_capacity(deployment: Deployment, num_nodes: int) -> int:
    """Return how many concurrent permits each of `num_nodes` nodes may grant."""
    num_engine_requests = sum(engine.max_concurrent_requests for engine in deployment.engines)
    num_backends = sum(len(service.backends) for service in deployment.services)
    fleet_capacity = num_engine_requests + num_backends * REQUESTS_PER_SERVICE_BACKEND
    share = math.ceil(IMBALANCE_FACTOR * fleet_capacity / max(1, num_nodes))
    return max(MIN_RUNNING, share)


class AdmissionTask:
    """Admits requests; `run` is the task that owns the queue.

    Args:
        max_running: Maximum number of concurrent permits.
        allowance_of: Returns the node's allowance for a tenant.
    """

    def __init__(self, max_running: int, allowance_of: AllowanceSource) -> None:
        self.mailbox: Mailbox[msgspec.Struct] = Mailbox()
        self.queue = AdmissionQueue(max_running, allowance_of)
        self._pending: dict[int, _Admit] = {}
        self._tickets = itertools.count(1)

    async def admit(
        self,
        tenant: Tenant,
        request_id: RequestId,
        num_prompt_tokens: int,
        priority: int,
        deadline_s: float,
    ) -> Decision:
        """Wait for a permit; refuse at once if the wait would exceed the deadline."""
        ticket = next(self._tickets)
        now_s = anyio.current_time()
        request = WaitingRequest(ticket, tenant, num_prompt_tokens, priority, deadline_s, now_s)
        reply: Reply[Decision] = Reply()
        if not self.mailbox.post(_Admit(request, request_id, reply)):
            return Err(overloaded_refusal(MIN_RETRY_AFTER_S))
        try:
            return await reply.wait()
        except anyio.get_cancelled_exc_class():
            self.mailbox.post(_Withdraw(ticket))
            raise

    def release(self, permit: Permit) -> None:
        """Return the permit to the queue."""
        if isinstance(permit, NodePermit):
            self.mailbox.post(_Release(permit.ticket))

    async def run(self) -> None:
        """Process messages until cancelled."""
        while True:
            message = await self._next_message()
            if message is not None:
                self.handle(message)
            await self.exchange_shares()
            self._answer(anyio.current_time())

    async def exchange_shares(self) -> None:
        """Exchange tenant shares with other nodes; does nothing without a fleet."""

    async def _next_message(self) -> msgspec.Struct | None:
        with anyio.move_on_after(self.poll_s()):
            return await self.mailbox.receive()
        return None

    def poll_s(self) -> float:
        """Return how long to wait for a message before the next check of the queue, in seconds."""
        deadline_s = self.queue.next_deadline_s()
        if deadline_s is None:
            return IDLE_POLL_S
        return max(0.0, min(WAITING_POLL_S, deadline_s - anyio.current_time()))

    def handle(self, message: msgspec.Struct) -> None:
        """Process one message from the mailbox."""
        now_s = anyio.current_time()
        match message:
            case _Admit(request=request):
                self._offer(message, request, now_s)
            case _Release(ticket=ticket):
                self.queue.finish(ticket, now_s)
            case _Withdraw(ticket=ticket):
                self._withdraw(ticket, now_s)

    def record_arrival(self, request: WaitingRequest, now_s: float) -> None:
        """Record the arrival of a request; does nothing without a fleet."""

    def _offer(self, message: _Admit, request: WaitingRequest, now_s: float) -> None:
        self.record_arrival(request, now_s)
        refusal = self.queue.offer(request, now_s)
        if refusal is not None:
            message.reply.set(Err(refusal))
            return
        self._pending[request.ticket] = message

    def _withdraw(self, ticket: int, now_s: float) -> None:
        """Remove the request of a cancelled call, or free the permit granted in the meantime."""
        self._pending.pop(ticket, None)
        if not self.queue.withdraw(ticket):
            self.queue.finish(ticket, now_s)

    def _answer(self, now_s: float) -> None:
        for request, refusal in self.queue.remove_expired(now_s):
            self._pending.pop(request.ticket).reply.set(Err(refusal))
        for request in self.queue.start_ready(now_s):
            admitted = self._pending.pop(request.ticket)
            permit = NodePermit(
                request.tenant.name,
                admitted.request_id,
                request.num_prompt_tokens,
                request.ticket,
            )
            admitted.reply.set(Ok(permit))
