"""Tenants' demand and spending, at this node and at the other nodes.

Nodes exchange rates over a short span instead of counts. A later message replaces an earlier one,
so lost or duplicate messages, a new group head or a restart cause no lasting error. Usage from
other nodes is stored by source, as loads are: a node of this node's group, or the sum of another
group.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S

NUM_PRIORITIES = 3
"""Number of distinguished route priorities; any beyond count as the last. Messages carry one demand
rate per priority for each tenant."""

SPENT_SPAN_S = 0.6
"""Seconds over which the spending rate is averaged: two messages in a large fleet. A longer span
makes the rate staler; with a shorter one, a lost message more often means that spending is never
reported. The schedules in `docs/design/0016-quotas.md` hold with this value."""

ASKED_SPAN_S = 1.5
"""Seconds over which demand rates are averaged. They only divide what is left among the
priorities."""

AskedRates = tuple[float, float, float]
"""Demand per second, by priority; `NUM_PRIORITIES` values."""


class TenantUsage(msgspec.Struct, frozen=True):
    """Rates of one tenant, in the unit of its quota.

    Attributes:
        spent_per_s: Cost of requests sent to back ends, less those proved not to have run.
        asked_per_s: Cost of all requests, whether refused or not, by priority.
    """

    spent_per_s: float = 0.0
    asked_per_s: AskedRates = (0.0, 0.0, 0.0)

    def plus(self, other: "TenantUsage") -> "TenantUsage":
        """Return the sum of two usages."""
        first, second, third = self.asked_per_s
        a, b, c = other.asked_per_s
        return TenantUsage(self.spent_per_s + other.spent_per_s, (first + a, second + b, third + c))

    def minus(self, other: "TenantUsage") -> "TenantUsage":
        """Return the difference of two usages."""
        first, second, third = self.asked_per_s
        a, b, c = other.asked_per_s
        return TenantUsage(self.spent_per_s - other.spent_per_s, (first - a, second - b, third - c))


NO_USAGE = TenantUsage()


class RateMeter:
    """Measures a rate over the most recent seconds.

    Args:
        span_s: Seconds over which the rate is averaged.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._amounts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount; a negative one undoes an earlier one."""
        self._amounts.append((now_s, amount))
        self._sum += amount

    def per_s(self, now_s: float) -> float:
        """Return the rate per second."""
        while self._amounts and self._amounts[0][0] <= now_s - self._span_s:
            self._sum -= self._amounts.popleft()[1]
        if not self._amounts:
            self._sum = 0.0
        return self._sum / self._span_s


class OwnUsage:
    """One tenant's demand and spending at this node."""

    def __init__(self) -> None:
        self._spent = RateMeter(SPENT_SPAN_S)
        self._asked = tuple(RateMeter(ASKED_SPAN_S) for _ in range(NUM_PRIORITIES))

    def record_request(self, amount: float, priority: int, now_s: float) -> None:
        """Record the cost of a request that arrived, whether it is admitted or not."""
        self._asked[min(priority, NUM_PRIORITIES - 1)].add(amount, now_s)

    def spend(self, amount: float, now_s: float) -> None:
        """Record the cost of a request sent to a back end; a negative cost is a refund."""
        self._spent.add(amount, now_s)

    def rates(self, now_s: float) -> TenantUsage:
        """Return the current rates."""
        first, second, third = self._asked
        asked = (first.per_s(now_s), second.per_s(now_s), third.per_s(now_s))
        return TenantUsage(self._spent.per_s(now_s), asked)


class _ReceivedUsage(msgspec.Struct, frozen=True):
    usage: TenantUsage
    received_at_s: float


class _Source(msgspec.Struct):
    """The latest usage from one source.

    Attributes:
        num_nodes: Number of nodes whose usage the source reports.
        received_at_s: When its last message was received.
        tenants: Reported usage, by tenant.
    """

    num_nodes: int
    received_at_s: float
    tenants: dict[TenantName, _ReceivedUsage]


class FleetUsage:
    """Sums the usage of the other nodes.

    Args:
        on_change: Called with a tenant and the time before the tenant's sum changes, because
            spending until that time follows from the old sum.
    """

    def __init__(self, on_change: Callable[[TenantName, float], None]) -> None:
        self._on_change = on_change
        self._sources: dict[str, _Source] = {}
        self._sums: dict[TenantName, TenantUsage] = {}

    def receive(
        self,
        source: str,
        num_nodes: int,
        usage: Iterable[tuple[TenantName, TenantUsage]],
        now_s: float,
    ) -> None:
        """Replace a source's usage of the given tenants."""
        stored = self._sources.setdefault(source, _Source(num_nodes, now_s, {}))
        stored.num_nodes = num_nodes
        stored.received_at_s = now_s
        for tenant, reported in usage:
            previous = stored.tenants.pop(tenant, None)
            if previous is not None and previous.usage == reported:
                stored.tenants[tenant] = _ReceivedUsage(reported, now_s)
                continue
            if reported != NO_USAGE:
                stored.tenants[tenant] = _ReceivedUsage(reported, now_s)
            self._apply_change(
                tenant, reported.minus(previous.usage if previous else NO_USAGE), now_s
            )

    def _apply_change(self, tenant: TenantName, change: TenantUsage, now_s: float) -> None:
        self._on_change(tenant, now_s)
        self._sums[tenant] = self._sums.get(tenant, NO_USAGE).plus(change)

    def sum(self, tenant: TenantName) -> TenantUsage:
        """Return the usage that the other nodes have reported."""
        return self._sums.get(tenant, NO_USAGE)

    def num_nodes_since(self, since_s: float) -> int:
        """Return how many other nodes are covered by messages received since a time."""
        return sum(
            source.num_nodes for source in self._sources.values() if source.received_at_s >= since_s
        )

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the last message of the source that has been silent longest."""
        return max((now_s - source.received_at_s for source in self._sources.values()), default=0.0)

    def sum_of(
        self, is_wanted: Callable[[str], bool], since_s: float
    ) -> tuple[int, dict[TenantName, TenantUsage]]:
        """Return how many nodes the selected sources cover, and the sum of their usage.

        Args:
            is_wanted: Returns whether to include a source.
            since_s: Sources without a message since this time add nothing to the number of nodes.
        """
        num_nodes = 0
        sums: dict[TenantName, TenantUsage] = {}
        for name, source in self._sources.items():
            if is_wanted(name):
                num_nodes += source.num_nodes if source.received_at_s >= since_s else 0
                for tenant, received in source.tenants.items():
                    subtotal = sums.get(tenant)
                    sums[tenant] = (
                        received.usage if subtotal is None else subtotal.plus(received.usage)
                    )
        return num_nodes, sums

    def sources(self) -> tuple[str, ...]:
        """Return the names of the sources that are part of the sums."""
        return tuple(self._sources)

    def forget_source(self, source: str, now_s: float) -> None:
        """Remove a source and its usage."""
        stored = self._sources.pop(source, None)
        if stored is not None:
            for tenant, received in stored.tenants.items():
                self._apply_change(tenant, NO_USAGE.minus(received.usage), now_s)

    def sweep(self, now_s: float) -> None:
        """Remove sources, and usage of single tenants, that were not refreshed in time."""
        for name, source in list(self._sources.items()):
            if now_s - source.received_at_s > PEER_TIMEOUT_S:
                self.forget_source(name, now_s)
                continue
            for tenant, received in list(source.tenants.items()):
                if now_s - received.received_at_s > PEER_TIMEOUT_S:
                    del source.tenants[tenant]
                    self._apply_change(tenant, NO_USAGE.minus(received.usage), now_s)

    def retain_tenants(self, tenants: Iterable[TenantName]) -> None:
        """Remove the usage of all other tenants."""
        retained = set(tenants)
        self._sums = {name: usage for name, usage in self._sums.items() if name in retained}
        for source in self._sources.values():
            source.tenants = {
                name: received for name, received in source.tenants.items() if name in retained
            }
