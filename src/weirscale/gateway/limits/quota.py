"""Tenants' quotas over all nodes, enforced without a remote call while a request waits.

**Shared state.** All nodes together may spend a tenant's rate and burst. Each node keeps a token
bucket for each tenant with a quota. The bucket fills as `quota_rules` computes, up to the burst.
What this node spends is deducted at once, what the other nodes spend as gossip reports it
(`usage`). Gossip is some tenths of a second old, so a bucket's level may become negative. That debt
is repaid before more requests are admitted, so the quota holds in the long run at any delay. The
deployment's tolerance covers short-term excess.

**Rule.** Near the limit, all nodes would see room for the same request and each would admit one. So
a request is admitted with a probability: the level of the bucket, divided by the demand at all
nodes while gossip travels. The demand of the tenant's more urgent requests is deducted first.

**Partitions.** A node without contact to some of the other nodes limits itself to its share. Its
bucket fills at the rate times the share of the nodes that it receives messages from, itself
included, and holds at most the same share of the burst. However the fleet is partitioned, the
shares of the parts never add up to more than one. A node that starts, or resumes after a
suspension, begins with an empty bucket: what all processes spent before was at most the burst plus
the rate until then.
"""

from collections.abc import Callable, Iterator
from random import Random

import msgspec

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.limits.quota_rules import (
    MIN_RETRY_S,
    cost_of,
    fill_per_s,
    gossip_convergence_s,
    partition_slack,
    window_allowance,
)
from weirscale.gateway.limits.usage import (
    NO_USAGE,
    NUM_PRIORITIES,
    FleetUsage,
    OwnUsage,
    TenantUsage,
)
from weirscale.gateway.model.configuration import Quota, Tenant
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S, SWEEP_INTERVAL_S
from weirscale.gateway.settings import QuotaPrecision

ENDED_NODE_GRACE_S = 1.0
"""Seconds for which a node whose registration has ended still counts as one that may spend. By then
it has not reached the store for some 6 s, so it has no proof of its configuration either, and
refuses requests with keys unless another node sends it a proof. With 8 s, the other nodes limited
themselves to smaller shares for 14 s after a partition, although nodes that are cut off refuse keys
from 4.6 s on."""

CONTACT_TIMEOUT_S = 0.8
"""Seconds without a message after which a node no longer counts as in contact. Nodes send at least
every 0.25 s, so two messages in a row may be lost. The schedules in `docs/design/0016-quotas.md`
hold with this value."""

MIN_DIVISOR = 1e-9
"""Keeps the probability finite for a request that costs nothing."""


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is admitted, and the values that decided it.

    Attributes:
        is_admitted: Whether the request is admitted.
        cost: Cost of the request, in the unit of the quota.
        level: Level of the bucket, in the unit of the quota.
        share: Share of the nodes that this node is in contact with, itself included.
        age_s: Seconds since the last message of the source that has been silent longest.
        retry_after_s: Seconds until the request would be admitted if no other request spent
            anything; None if it is admitted, or will never be.
    """

    is_admitted: bool
    cost: float = 0.0
    level: float = 0.0
    share: float = 1.0
    age_s: float = 0.0
    retry_after_s: float | None = None


ADMITTED = QuotaDecision(True)
"""Decision for tenants without a quota."""


class _Bucket(msgspec.Struct):
    """This node's view of what is left of one tenant's quota.

    Attributes:
        level: Tokens or requests; below 0 in debt.
        updated_at_s: Time for which `level` was computed.
    """

    level: float
    updated_at_s: float


class QuotaLedger:
    """Owns the buckets of a node and decides which requests are admitted.

    Args:
        precision: How exactly quotas must hold in this deployment.
        num_nodes: Returns the number of nodes that may spend, this one included.
        gossip_interval_s: Returns the seconds between two gossip messages of a node.
        random: Draws whether a request is admitted near the limit.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        precision: QuotaPrecision,
        num_nodes: Callable[[], int],
        gossip_interval_s: Callable[[], float],
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._precision = precision
        self._num_nodes = num_nodes
        self._gossip_interval_s = gossip_interval_s
        self._random = random
        self._clock = clock
        self._quotas: dict[TenantName, Quota] = {}
        self._buckets: dict[TenantName, _Bucket] = {}
        self._ticked_at_s = clock()
        self._swept_at_s = float("-inf")
        self._share = 1.0
        self._own_usage: dict[TenantName, OwnUsage] = {}
        """Usage at this node, of tenants with recent requests."""
        self.fleet_usage = FleetUsage(self._advance)

    def set_precision(self, precision: QuotaPrecision) -> None:
        """Change how exactly quotas must hold."""
        self._precision = precision

    def set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Apply the quotas of a configuration; recorded spending is kept."""
        now_s = self._clock()
        for name in self._buckets:
            self._advance(name, now_s)
        self._quotas = {tenant.name: tenant.quota for tenant in tenants if tenant.quota is not None}
        self._buckets = {
            name: self._buckets[name] for name in self._buckets if name in self._quotas
        }
        for name in self._quotas:
            self._buckets.setdefault(name, _Bucket(0.0, now_s))
        self._own_usage = {
            name: own for name, own in self._own_usage.items() if name in self._quotas
        }
        self.fleet_usage.retain_tenants(self._quotas)

    def tick(self) -> None:
        """Update the share of the nodes in contact; call this whenever gossip is sent."""
        now_s = self._clock()
        if now_s - self._ticked_at_s > PEER_TIMEOUT_S:
            self._forget_other_nodes(now_s)
        self._ticked_at_s = now_s
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        self.fleet_usage.sweep(now_s)
        share = self.contact_share(self.contact_cutoff_s())
        if share != self._share:
            for name in self._buckets:
                self._advance(name, now_s)
            self._share = share

    def contact_share(self, since_s: float) -> float:
        """Return the share of the nodes that sent a message since a time, this one included."""
        received = self.fleet_usage.num_nodes_since(since_s)
        return min(1.0, (1 + received) / max(1, self._num_nodes()))

    def has_quotas(self) -> bool:
        """Return whether any tenant has a quota."""
        return bool(self._quotas)

    def contact_cutoff_s(self) -> float:
        """Return the time since which a node must have sent a message to count as in contact."""
        return self._clock() - CONTACT_TIMEOUT_S

    def _forget_other_nodes(self, now_s: float) -> None:
        """Discard other nodes' usage and all credit: this node was suspended and missed gossip."""
        self._swept_at_s = float("-inf")
        for source in self.fleet_usage.sources():
            self.fleet_usage.forget_source(source, now_s)
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.updated_at_s = now_s

    def admit(self, tenant: Tenant, num_tokens: int | None, priority: int) -> QuotaDecision:
        """Decide whether a request is admitted; call `spend` once it is sent.

        Args:
            tenant: The tenant.
            num_tokens: Input and output tokens that the request names; None if it names none.
            priority: Priority of its route; 0 is the most urgent.
        """
        quota, bucket = self._quotas.get(tenant.name), self._buckets.get(tenant.name)
        if quota is None or bucket is None:
            return ADMITTED
        self.tick()
        now_s = self._clock()
        cost = cost_of(quota, num_tokens)
        self._own_usage_of(tenant.name).record_request(cost, priority, now_s)
        self._advance(tenant.name, now_s)
        probability = self._admission_probability(
            quota, bucket, tenant.name, cost, min(priority, NUM_PRIORITIES - 1)
        )
        is_possible = cost <= window_allowance(quota, self._precision)
        is_admitted = is_possible and (probability >= 1.0 or self._random.random() < probability)
        retry_s = None
        if is_possible and not is_admitted:
            retry_s = self._retry_after_s(quota, bucket, tenant.name, cost)
        age_s = self.fleet_usage.age_s(now_s)
        return QuotaDecision(is_admitted, cost, bucket.level, self._share, age_s, retry_s)

    def _admission_probability(
        self, quota: Quota, bucket: _Bucket, name: TenantName, cost: float, priority: int
    ) -> float:
        """Return the probability of admission; 1 or more means always."""
        convergence_s = gossip_convergence_s(self._gossip_interval_s())
        demand_per_s = self._demand_per_s(name)
        slack = partition_slack(quota, self._precision, self._num_nodes(), self._share)
        room = max(0.0, bucket.level + slack) - convergence_s * sum(demand_per_s[:priority])
        return room / max(cost, convergence_s * demand_per_s[priority], MIN_DIVISOR)

    def _own_usage_of(self, name: TenantName) -> OwnUsage:
        own = self._own_usage.get(name)
        if own is None:
            own = self._own_usage[name] = OwnUsage()
        return own

    def _demand_per_s(self, name: TenantName) -> tuple[float, ...]:
        """Return callers' demand per second at the nodes in contact, by priority."""
        own = self._own_usage_of(name).rates(self._clock())
        return own.plus(self.fleet_usage.sum(name)).asked_per_s

    def _retry_after_s(self, quota: Quota, bucket: _Bucket, name: TenantName, cost: float) -> float:
        needed = max(
            cost, gossip_convergence_s(self._gossip_interval_s()) * sum(self._demand_per_s(name))
        )
        missing = needed - bucket.level
        return max(MIN_RETRY_S, missing / fill_per_s(quota, self._precision))

    def spend(self, tenant: Tenant, cost: float) -> None:
        """Record the cost of a request sent to a back end.

        A negative cost refunds a request that a back end proved not to have run.
        """
        bucket = self._buckets.get(tenant.name)
        if bucket is not None and cost:
            now_s = self._clock()
            self._advance(tenant.name, now_s)
            bucket.level -= cost
            self._own_usage_of(tenant.name).spend(cost, now_s)

    def _advance(self, name: TenantName, now_s: float) -> None:
        """Compute a bucket's level at a time from the rates that applied until then."""
        quota, bucket = self._quotas.get(name), self._buckets.get(name)
        if quota is None or bucket is None:
            return
        spent_per_s = self.fleet_usage.sum(name).spent_per_s
        gained_per_s = self._share * fill_per_s(quota, self._precision) - spent_per_s
        level = bucket.level + gained_per_s * max(0.0, now_s - bucket.updated_at_s)
        bucket.level = min(self._share * quota.burst, level)
        bucket.updated_at_s = max(now_s, bucket.updated_at_s)

    def own_usage(self) -> Iterator[tuple[TenantName, TenantUsage]]:
        """Yield spending and demand at this node, for tenants with recent requests."""
        now_s = self._clock()
        for name, own in tuple(self._own_usage.items()):
            usage = own.rates(now_s)
            if usage == NO_USAGE:
                del self._own_usage[name]
            else:
                yield name, usage

    def levels(self) -> dict[TenantName, float]:
        """Return the current level of each bucket."""
        now_s = self._clock()
        for name in self._buckets:
            self._advance(name, now_s)
        return {name: bucket.level for name, bucket in self._buckets.items()}
