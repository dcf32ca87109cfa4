"""What tenants ask for and spend, at this node and at the others.

Nodes exchange rates over a short span, not counts: a later message replaces an earlier one, so
loss, duplicates, a new head of a group or a restart leave no lasting error. What others send is
kept by its source, as loads are: a node of this node's group, or the sum of another group.
"""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S

NUM_PRIORITIES = 3
"""Priorities of routes that are told apart; all beyond count as the last. Messages carry as many
rates for each tenant."""

SPENT_SPAN_S = 0.6
"""Seconds over which the rate of what was spent is taken: two messages in a large fleet. A longer
span makes the rate older, a shorter one is missed more often when a message is lost. Not measured
against other figures; the schedules of quotas hold with it (`docs/design/0016-quotas.md`)."""

ASKED_SPAN_S = 1.5
"""Seconds over which the rate of what was asked for is taken; it only divides what is left among
the priorities. Not measured."""


AskedRates = tuple[float, float, float]
"""What is asked for a second, by priority; as many as `NUM_PRIORITIES`."""


class TenantUsage(msgspec.Struct, frozen=True):
    """Rates of one tenant, in the unit of its quota.

    Attributes:
        spent_per_s: What was sent to back ends and not proved unrun.
        asked_per_s: What callers asked for, refused or not, by priority.
    """

    spent_per_s: float = 0.0
    asked_per_s: AskedRates = (0.0, 0.0, 0.0)

    def plus(self, other: "TenantUsage") -> "TenantUsage":
        """Return the sum."""
        first, second, third = self.asked_per_s
        a, b, c = other.asked_per_s
        return TenantUsage(self.spent_per_s + other.spent_per_s, (first + a, second + b, third + c))

    def minus(self, other: "TenantUsage") -> "TenantUsage":
        """Return the difference."""
        first, second, third = self.asked_per_s
        a, b, c = other.asked_per_s
        return TenantUsage(self.spent_per_s - other.spent_per_s, (first - a, second - b, third - c))


NO_USAGE = TenantUsage()


class RateMeter:
    """A rate over the last seconds.

    Args:
        span_s: How many seconds.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._amounts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount; a negative one takes an earlier one back."""
        self._amounts.append((now_s, amount))
        self._sum += amount

    def per_s(self, now_s: float) -> float:
        """Return the rate."""
        while self._amounts and self._amounts[0][0] <= now_s - self._span_s:
            self._sum -= self._amounts.popleft()[1]
        if not self._amounts:
            self._sum = 0.0
        return self._sum / self._span_s


class OwnUsage:
    """One tenant's requests at this node."""

    def __init__(self) -> None:
        self._spent = RateMeter(SPENT_SPAN_S)
        self._asked = tuple(RateMeter(ASKED_SPAN_S) for _ in range(NUM_PRIORITIES))

    def ask(self, amount: float, priority: int, now_s: float) -> None:
        """A caller asks for an amount."""
        self._asked[min(priority, NUM_PRIORITIES - 1)].add(amount, now_s)

    def spend(self, amount: float, now_s: float) -> None:
        """An amount is sent to a back end; a negative one was proved unrun."""
        self._spent.add(amount, now_s)

    def now(self, now_s: float) -> TenantUsage:
        """Return the rates."""
        first, second, third = self._asked
        asked = (first.per_s(now_s), second.per_s(now_s), third.per_s(now_s))
        return TenantUsage(self._spent.per_s(now_s), asked)


class _ReceivedUsage(msgspec.Struct, frozen=True):
    usage: TenantUsage
    received_at_s: float


class _Source(msgspec.Struct):
    """What a source last sent.

    Attributes:
        num_nodes: Nodes whose usage is in it.
        received_at_s: When it was last received from.
        tenants: Usage that it sent, by tenant.
    """

    num_nodes: int
    received_at_s: float
    tenants: dict[TenantName, _ReceivedUsage]


class FleetUsage:
    """Sums what the other nodes spend.

    Args:
        on_change: Called with a tenant and the time before the tenant's sum changes: what was spent
            until then follows from the old sum.
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
        """Take over what a source sends, in place of what it sent of these tenants before."""
        known = self._sources.setdefault(source, _Source(num_nodes, now_s, {}))
        known.num_nodes = num_nodes
        known.received_at_s = now_s
        for tenant, sent in usage:
            before = known.tenants.pop(tenant, None)
            if before is not None and before.usage == sent:
                known.tenants[tenant] = _ReceivedUsage(sent, now_s)
                continue
            if sent != NO_USAGE:
                known.tenants[tenant] = _ReceivedUsage(sent, now_s)
            self._change(tenant, sent.minus(before.usage if before else NO_USAGE), now_s)

    def _change(self, tenant: TenantName, change: TenantUsage, now_s: float) -> None:
        self._on_change(tenant, now_s)
        self._sums[tenant] = self._sums.get(tenant, NO_USAGE).plus(change)

    def sum(self, tenant: TenantName) -> TenantUsage:
        """Return what the other nodes spend, as far as it was received."""
        return self._sums.get(tenant, NO_USAGE)

    def num_nodes_since(self, since_s: float) -> int:
        """Return of how many other nodes the usage was received since a time."""
        return sum(one.num_nodes for one in self._sources.values() if one.received_at_s >= since_s)

    def age_s(self, now_s: float) -> float:
        """Return for how long the most silent source that counts has been silent."""
        return max((now_s - one.received_at_s for one in self._sources.values()), default=0.0)

    def sum_of(
        self, is_wanted: Callable[[str], bool], since_s: float
    ) -> tuple[int, dict[TenantName, TenantUsage]]:
        """Return how many nodes some sources stand for since a time, and the sum of their usage."""
        num_nodes = 0
        sums: dict[TenantName, TenantUsage] = {}
        for name, source in self._sources.items():
            if is_wanted(name):
                num_nodes += source.num_nodes if source.received_at_s >= since_s else 0
                for tenant, received in source.tenants.items():
                    known = sums.get(tenant)
                    sums[tenant] = received.usage if known is None else known.plus(received.usage)
        return num_nodes, sums

    def sources(self) -> tuple[str, ...]:
        """Return the sources that count."""
        return tuple(self._sources)

    def forget_source(self, source: str, now_s: float) -> None:
        """Forget what a source sent."""
        known = self._sources.pop(source, None)
        if known is not None:
            for tenant, received in known.tenants.items():
                self._change(tenant, NO_USAGE.minus(received.usage), now_s)

    def sweep(self, now_s: float) -> None:
        """Drop sources, and what they sent of single tenants, once that is too old."""
        for name, source in list(self._sources.items()):
            if now_s - source.received_at_s > PEER_TIMEOUT_S:
                self.forget_source(name, now_s)
                continue
            for tenant, received in list(source.tenants.items()):
                if now_s - received.received_at_s > PEER_TIMEOUT_S:
                    del source.tenants[tenant]
                    self._change(tenant, NO_USAGE.minus(received.usage), now_s)

    def keep(self, tenants: Iterable[TenantName]) -> None:
        """Forget all tenants but these."""
        wanted = set(tenants)
        self._sums = {name: one for name, one in self._sums.items() if name in wanted}
        for source in self._sources.values():
            source.tenants = {name: one for name, one in source.tenants.items() if name in wanted}
