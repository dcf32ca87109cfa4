"""Admission of requests on one node: tenant limits, fair queue, deadlines, shedding."""

import heapq
from collections.abc import Callable

import msgspec

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import TenantName
from weirscale.domain.limits.allowance import TenantAllowance
from weirscale.domain.limits.fair_queue import FairQueue, WaitingRequest, WaitingTotals
from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal, RefusalCode

MAX_WAITING = 2048
"""Most requests that wait on a node: bounds memory; beyond it waits exceed any deadline."""
INITIAL_HOLD_S = 0.5
"""Assumed time that a permit is held before any has been given back."""
HOLD_SMOOTHING = 0.05
"""Weight of the newest sample in the mean time that a permit is held."""
MIN_RETRY_AFTER_S = 0.1
"""Least advice to callers: below it they would hammer the node."""
MAX_RETRY_AFTER_S = 30.0
"""Longest advice to callers: estimates further out are worth nothing."""

AllowanceSource = Callable[[Tenant, float], TenantAllowance]


class _Running(msgspec.Struct, frozen=True):
    """A permit that is out."""

    allowance: TenantAllowance
    started_at_s: float


def _refusal(
    code: RefusalCode, http_status: int, message: str, remedy: str, wait_s: float
) -> Refusal:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Refusal(code, http_status, RunStatus.NOT_RUN, message, remedy, retry_after_s)


def tenant_limit_refusal(tenant: TenantName, wait_s: float) -> Refusal:
    """The tenant's own limit would hold the request past its deadline."""
    return _refusal(
        RefusalCode.TENANT_LIMIT,
        429,
        f"Tenant {tenant} is at its limit; the estimated wait is {wait_s:.1f} s.",
        "Send again after Retry-After, send less at once, or have the tenant's limit raised.",
        wait_s,
    )


def overloaded_refusal(wait_s: float) -> Refusal:
    """The node's queue would hold the request past its deadline."""
    return _refusal(
        RefusalCode.OVERLOADED,
        503,
        f"The node is overloaded; the estimated wait is {wait_s:.1f} s.",
        "Send again after Retry-After, to another node if there is one, or allow a later deadline.",
        wait_s,
    )


def deadline_refusal(wait_s: float) -> Refusal:
    """The deadline passed while the request waited."""
    return _refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        504,
        "The deadline passed before the request could start.",
        "Send again after Retry-After, or allow a later deadline.",
        wait_s,
    )


class AdmissionQueue:
    """The requests that wait and run on one node.

    Args:
        max_running: Permits out at once.
        allowance_of: Gives the node's allowance for a tenant; called for each request, so it
            must answer the same object as long as the tenant's limits stay.
    """

    def __init__(self, max_running: int, allowance_of: AllowanceSource) -> None:
        self.max_running = max_running
        self._allowance_of = allowance_of
        self._queue = FairQueue()
        self._waiting: dict[int, WaitingRequest] = {}
        self._running: dict[int, _Running] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._mean_hold_s = INITIAL_HOLD_S

    @property
    def num_running(self) -> int:
        """Permits that are out."""
        return len(self._running)

    @property
    def num_waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def waiting(self) -> dict[TenantName, WaitingTotals]:
        """What waits, by tenant."""
        return self._queue.waiting()

    def offer(self, request: WaitingRequest, now_s: float) -> Refusal | None:
        """Queue a request, or refuse it at once when its wait would miss the deadline."""
        if now_s >= request.deadline_s:
            return deadline_refusal(MIN_RETRY_AFTER_S)
        time_left_s = request.deadline_s - now_s
        node_wait_s = self.estimated_wait_s(request, now_s)
        if node_wait_s > time_left_s or len(self._queue) >= MAX_WAITING:
            return overloaded_refusal(node_wait_s)
        tenant_wait_s = self._tenant_wait_s(request, now_s)
        if tenant_wait_s > time_left_s:
            return tenant_limit_refusal(request.tenant.name, tenant_wait_s)
        self._queue.push(request)
        self._waiting[request.ticket] = request
        heapq.heappush(self._deadlines, (request.deadline_s, request.ticket))
        return None

    def start_ready(self, now_s: float) -> list[WaitingRequest]:
        """Start every request that may start now, in fair order."""
        started = []
        while len(self._running) < self.max_running:
            request = self._queue.pop(now_s, lambda head: self._can_start(head, now_s))
            if request is None:
                break
            allowance = self._allowance_of(request.tenant, now_s)
            allowance.start(request.num_prompt_tokens, now_s)
            del self._waiting[request.ticket]
            self._running[request.ticket] = _Running(allowance, now_s)
            started.append(request)
        return started

    def remove_expired(self, now_s: float) -> list[tuple[WaitingRequest, Refusal]]:
        """Remove every waiting request whose deadline has passed."""
        answers = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, ticket = heapq.heappop(self._deadlines)
            request = self._waiting.get(ticket)
            if request is not None:
                self.withdraw(ticket)
                answers.append((request, deadline_refusal(self._mean_hold_s)))
        return answers

    def withdraw(self, ticket: int) -> bool:
        """Remove a waiting request; False if it does not wait."""
        request = self._waiting.pop(ticket, None)
        return request is not None and self._queue.remove(request)

    def finish(self, ticket: int, now_s: float) -> bool:
        """Take a permit back; False if it is not out, so a second release changes nothing."""
        running = self._running.pop(ticket, None)
        if running is None:
            return False
        running.allowance.finish()
        held_s = now_s - running.started_at_s
        self._mean_hold_s += HOLD_SMOOTHING * (held_s - self._mean_hold_s)
        return True

    def next_deadline_s(self) -> float | None:
        """The earliest deadline among those waiting."""
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def estimated_wait_s(self, request: WaitingRequest, now_s: float) -> float:
        """Wait for a free permit behind those ahead; each permit frees once a mean hold time."""
        if len(self._running) < self.max_running:
            return 0.0  # those that wait now wait for their tenants' limits, not for a permit
        num_ahead = self._queue.num_ahead_of(request, now_s)
        return (num_ahead + 1) * self._mean_hold_s / max(1, self.max_running)

    def _can_start(self, request: WaitingRequest, now_s: float) -> bool:
        return self._allowance_of(request.tenant, now_s).can_start(request.num_prompt_tokens, now_s)

    def _tenant_wait_s(self, request: WaitingRequest, now_s: float) -> float:
        allowance = self._allowance_of(request.tenant, now_s)
        num_ahead = self._queue.num_waiting_of(request.tenant.name)
        if num_ahead == 0 and allowance.can_start(request.num_prompt_tokens, now_s):
            return 0.0
        rate_wait_s = allowance.wait_s(num_ahead + 1, request.num_prompt_tokens)
        num_slots = allowance.num_slots(now_s)
        if num_slots is None:
            return rate_wait_s
        return max(rate_wait_s, num_ahead * self._mean_hold_s / max(1, num_slots))
