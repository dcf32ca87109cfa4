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
"""Maximum number of waiting requests on a node. Bounds memory; with more requests, waits would
exceed any deadline."""
INITIAL_HOLD_S = 0.5
"""Assumed mean time that a permit is held, until the first permit is released."""
HOLD_SMOOTHING = 0.05
"""Weight of the newest sample in the mean time that a permit is held."""
MIN_RETRY_AFTER_S = 0.1
"""Minimum of Retry-After: with less, callers would overload the node with retries."""
MAX_RETRY_AFTER_S = 30.0
"""Maximum of Retry-After: estimates of longer waits are unreliable."""

AllowanceSource = Callable[[Tenant, float], TenantAllowance]


class _RunningRequest(msgspec.Struct, frozen=True):
    """A started request, which holds a permit."""

    allowance: TenantAllowance
    started_at_s: float


def _refusal(
    code: RefusalCode, http_status: int, message: str, remedy: str, wait_s: float
) -> Refusal:
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Refusal(code, http_status, RunStatus.NOT_RUN, message, remedy, retry_after_s)


def tenant_limit_refusal(tenant: TenantName, wait_s: float) -> Refusal:
    """Return the refusal of a request that its tenant's limit would delay past the deadline."""
    return _refusal(
        RefusalCode.TENANT_LIMIT,
        429,
        f"Tenant {tenant} is at its limit; the estimated wait is {wait_s:.1f} s.",
        "Send again after Retry-After, send less at once, or have the tenant's limit raised.",
        wait_s,
    )


def overloaded_refusal(wait_s: float) -> Refusal:
    """Return the refusal of a request that the node's queue would delay past the deadline."""
    return _refusal(
        RefusalCode.OVERLOADED,
        503,
        f"The node is overloaded; the estimated wait is {wait_s:.1f} s.",
        "Send again after Retry-After, to another node if there is one, or allow a later deadline.",
        wait_s,
    )


def deadline_refusal(wait_s: float) -> Refusal:
    """Return the refusal of a request whose deadline passed while it waited."""
    return _refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        504,
        "The deadline passed before the request could start.",
        "Send again after Retry-After, or allow a later deadline.",
        wait_s,
    )


class AdmissionQueue:
    """The waiting and running requests of one node.

    Args:
        max_running: Maximum number of requests that run at once; each holds a permit.
        allowance_of: Returns the node's allowance for a tenant. It is called several times for each
            request, so it must return the same object as long as the tenant's limits do not change.
    """

    def __init__(self, max_running: int, allowance_of: AllowanceSource) -> None:
        self.max_running = max_running
        self._allowance_of = allowance_of
        self._queue = FairQueue()
        self._waiting: dict[int, WaitingRequest] = {}
        self._running: dict[int, _RunningRequest] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._mean_hold_s = INITIAL_HOLD_S

    @property
    def num_running(self) -> int:
        """Number of running requests, which is the number of permits held."""
        return len(self._running)

    @property
    def num_waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def waiting(self) -> dict[TenantName, WaitingTotals]:
        """Return the totals of waiting requests by tenant."""
        return self._queue.waiting()

    def offer(self, request: WaitingRequest, now_s: float) -> Refusal | None:
        """Queue a request; return a refusal instead if its wait would exceed its deadline."""
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
        """Start and return every request that may start now, in fair order."""
        started = []
        while len(self._running) < self.max_running:
            request = self._queue.pop(now_s, lambda head: self._is_allowed(head, now_s))
            if request is None:
                break
            allowance = self._allowance_of(request.tenant, now_s)
            allowance.start(request.num_prompt_tokens, now_s)
            del self._waiting[request.ticket]
            self._running[request.ticket] = _RunningRequest(allowance, now_s)
            started.append(request)
        return started

    def remove_expired(self, now_s: float) -> list[tuple[WaitingRequest, Refusal]]:
        """Remove and return every waiting request whose deadline has passed, with its refusal."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, ticket = heapq.heappop(self._deadlines)
            request = self._waiting.get(ticket)
            if request is not None:
                self.withdraw(ticket)
                expired.append((request, deadline_refusal(self._mean_hold_s)))
        return expired

    def withdraw(self, ticket: int) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        request = self._waiting.pop(ticket, None)
        return request is not None and self._queue.remove(request)

    def finish(self, ticket: int, now_s: float) -> bool:
        """Release the permit of a request; return False if it holds none (a second release)."""
        running = self._running.pop(ticket, None)
        if running is None:
            return False
        running.allowance.finish()
        held_s = now_s - running.started_at_s
        self._mean_hold_s += HOLD_SMOOTHING * (held_s - self._mean_hold_s)
        return True

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline of the waiting requests, None without any."""
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def estimated_wait_s(self, request: WaitingRequest, now_s: float) -> float:
        """Return the estimated wait for a permit behind the requests ahead.

        Each permit is expected to be released once per mean hold time.
        """
        if len(self._running) < self.max_running:
            return 0.0  # requests waiting now wait for their tenants' limits, not for a permit
        num_ahead = self._queue.num_ahead_of(request, now_s)
        return (num_ahead + 1) * self._mean_hold_s / max(1, self.max_running)

    def _is_allowed(self, request: WaitingRequest, now_s: float) -> bool:
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
