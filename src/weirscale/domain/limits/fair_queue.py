"""Weighted fair queue with priorities and ageing."""

from collections import deque
from collections.abc import Callable, Iterator

import msgspec

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import TenantName

AGEING_S_PER_LEVEL = 4.0
"""Waiting time that raises a request by one priority level, so that no level starves another.

It is long compared to the waits on a healthy node, where the tenants' weights decide among requests
of equal priority."""


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that waits for a permit.

    Attributes:
        ticket: Unique number on this node.
        tenant: The request's tenant, as configured at its arrival.
        num_prompt_tokens: Estimated prompt tokens.
        priority: Lower is served first.
        deadline_s: Monotonic time at which the caller gives up.
        queued_at_s: Monotonic time of arrival.
    """

    ticket: int
    tenant: Tenant
    num_prompt_tokens: int
    priority: int
    deadline_s: float
    queued_at_s: float


class WaitingTotals(msgspec.Struct, frozen=True):
    """Totals of a tenant's waiting requests."""

    num_requests: int
    num_prompt_tokens: int


NO_WAITING = WaitingTotals(0, 0)


class _Flow:
    """Waiting requests of one tenant and priority, with its virtual finish time."""

    def __init__(self) -> None:
        self.requests: deque[WaitingRequest] = deque()
        self.finish_time = 0.0


class FairQueue:
    """Orders requests by aged priority, then by virtual finish time (start-time fair queueing)."""

    def __init__(self) -> None:
        self._flows: dict[tuple[TenantName, int], _Flow] = {}
        self._virtual_time = 0.0
        self._num_waiting = 0
        self._waiting: dict[TenantName, WaitingTotals] = {}

    def __len__(self) -> int:
        return self._num_waiting

    def __iter__(self) -> Iterator[WaitingRequest]:
        for flow in self._flows.values():
            yield from flow.requests

    def num_waiting_of(self, tenant: TenantName) -> int:
        """Return the number of the tenant's waiting requests."""
        return self._waiting.get(tenant, NO_WAITING).num_requests

    def waiting(self) -> dict[TenantName, WaitingTotals]:
        """Return the totals of waiting requests by tenant, for tenants that have any."""
        return dict(self._waiting)

    def push(self, request: WaitingRequest) -> None:
        """Add a request."""
        flow = self._flows.setdefault((request.tenant.name, request.priority), _Flow())
        if not flow.requests:
            flow.finish_time = (
                max(flow.finish_time, self._virtual_time) + 1.0 / request.tenant.weight
            )
        flow.requests.append(request)
        self._adjust_totals(request, 1)

    def pop(
        self, now_s: float, is_eligible: Callable[[WaitingRequest], bool]
    ) -> WaitingRequest | None:
        """Remove and return the first eligible request, None without any.

        Only the head of each flow is considered.
        """
        ordered = sorted(
            self._flows.items(), key=lambda item: self._rank(item[1], item[0][1], now_s)
        )
        for key, flow in ordered:
            if is_eligible(flow.requests[0]):
                return self._take_head(key, flow)
        return None

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return False if it is not queued."""
        key = (request.tenant.name, request.priority)
        flow = self._flows.get(key)
        if flow is None or request not in flow.requests:
            return False
        flow.requests.remove(request)
        self._adjust_totals(request, -1)
        if not flow.requests:
            del self._flows[key]
        return True

    def num_ahead_of(self, request: WaitingRequest, now_s: float) -> int:
        """Return the number of waiting requests with the same or a better aged priority."""
        return sum(
            len(flow.requests)
            for (_, priority), flow in self._flows.items()
            if self._aged_priority(flow, priority, now_s) <= request.priority
        )

    def _rank(self, flow: _Flow, priority: int, now_s: float) -> tuple[int, float]:
        return self._aged_priority(flow, priority, now_s), flow.finish_time

    @staticmethod
    def _aged_priority(flow: _Flow, priority: int, now_s: float) -> int:
        waited_s = now_s - flow.requests[0].queued_at_s
        return priority - int(waited_s / AGEING_S_PER_LEVEL)

    def _take_head(self, key: tuple[TenantName, int], flow: _Flow) -> WaitingRequest:
        request = flow.requests.popleft()
        self._virtual_time = max(self._virtual_time, flow.finish_time)
        flow.finish_time += 1.0 / request.tenant.weight
        if not flow.requests:
            del self._flows[key]
        self._adjust_totals(request, -1)
        return request

    def _adjust_totals(self, request: WaitingRequest, change: int) -> None:
        self._num_waiting += change
        name = request.tenant.name
        totals = self._waiting.get(name, NO_WAITING)
        num_tokens = totals.num_prompt_tokens + change * request.num_prompt_tokens
        self._waiting[name] = WaitingTotals(totals.num_requests + change, num_tokens)
        if self._waiting[name].num_requests == 0:
            del self._waiting[name]
