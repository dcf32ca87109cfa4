"""Tenants' quotas over all nodes, decided without asking anybody while a request waits.

**What is shared.** All nodes together may spend a tenant's rate and burst. Each node keeps a bucket
for each tenant with a quota. It fills as `quota_rules` computes, up to the burst. What this node
spends is taken out at once, what the others spend as gossip reports it (`usage`). Gossip is some
tenths of a second old, so a bucket may fall below zero; that debt is paid back before more is
admitted, so the quota holds in the long run whatever the delay, and the deployment's tolerance
covers the moment.

**The rule.** Near the limit all nodes would see room for the same request and all admit one. So a
request is admitted with a probability: what the bucket holds, over what all nodes are asked for
while gossip travels. What more urgent requests of the tenant need is taken off first.

**Alone or cut off.** A node without contact to some of the others keeps to its share: its bucket
fills at the rate times the share of the nodes that it receives from, itself included, and holds as
much of the burst. However the fleet falls apart, the shares of the parts never add up to more than
one. A node that starts, or that was paused, begins with an empty bucket: what was spent before, by
whichever process, was at most the burst and the rate until then.
"""

from collections.abc import Callable, Iterator
from random import Random

import msgspec

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.limits.quota_rules import (
    MIN_RETRY_S,
    cost_of,
    fill_per_s,
    in_window,
    partition_slack,
    settle_s,
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
"""Seconds for which a node whose registration has ended still counts as one that may spend. It has
not reached the store for some six seconds by then, so it has no proof of its configuration either,
and refuses requests with keys unless another node gives it one. With 8 s the others kept to smaller
shares for 14 s after a cut, though nodes that are cut off refuse keys from 4.6 s on. Other figures
were not measured."""

CONTACT_S = 0.8
"""Seconds for which a node that was received from counts as in contact: nodes send each 0.25 s at
least, so two messages may be lost. Not measured against other figures; the schedules of quotas hold
with it (`docs/design/0016-quotas.md`)."""

LEAST_DIVISOR = 1e-9
"""Keeps the probability finite for a request that costs nothing."""


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is admitted, and what decided it.

    Attributes:
        is_admitted: Whether it is.
        cost: What it costs, in the unit of the quota.
        level: What the bucket held, in the unit of the quota.
        share: Share of the nodes that this one has contact to, itself included.
        age_s: Seconds since the source that has been silent longest was received from.
        retry_after_s: Seconds until it would be admitted if nobody else spent; None if never.
    """

    is_admitted: bool
    cost: float = 0.0
    level: float = 0.0
    share: float = 1.0
    age_s: float = 0.0
    retry_after_s: float | None = None


ADMITTED = QuotaDecision(True)
"""Where there is no quota."""


class _Bucket(msgspec.Struct):
    """What is left of one tenant's quota, as this node sees it.

    Attributes:
        level: Tokens or requests; below 0 in debt.
        at_s: Time up to which it has been worked out.
    """

    level: float
    at_s: float


class QuotaLedger:
    """Owns the buckets of a node.

    Args:
        precision: How exactly the deployment wants quotas kept.
        num_nodes: Returns how many nodes may spend, this one included.
        gossip_interval_s: Returns the time between a node's messages.
        random: Decides near the limit.
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
        self._awake_at_s = clock()
        self._swept_at_s = float("-inf")
        self._share = 1.0
        self._own: dict[TenantName, OwnUsage] = {}
        """Of tenants with recent requests at this node."""
        self.fleet_usage = FleetUsage(self._bring_up_to)

    def set_precision(self, precision: QuotaPrecision) -> None:
        """Change how exactly quotas are to be kept."""
        self._precision = precision

    def set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Put the quotas of a configuration in force; what was spent stays spent."""
        now_s = self._clock()
        for name in self._buckets:
            self._bring_up_to(name, now_s)
        self._quotas = {one.name: one.quota for one in tenants if one.quota is not None}
        self._buckets = {
            name: self._buckets[name] for name in self._buckets if name in self._quotas
        }
        for name in self._quotas:
            self._buckets.setdefault(name, _Bucket(0.0, now_s))
        self._own = {name: own for name, own in self._own.items() if name in self._quotas}
        self.fleet_usage.keep(self._quotas)

    def tick(self) -> None:
        """Bring the share of the nodes up to date; to be called as often as gossip is sent."""
        now_s = self._clock()
        if now_s - self._awake_at_s > PEER_TIMEOUT_S:
            self._forget_other_nodes(now_s)
        self._awake_at_s = now_s
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        self.fleet_usage.sweep(now_s)
        share = self.contact_share(self.contact_cutoff_s())
        if share != self._share:
            for name in self._buckets:
                self._bring_up_to(name, now_s)
            self._share = share

    def contact_share(self, since_s: float) -> float:
        """Return the share of the nodes that were received from since a time, this one included."""
        received = self.fleet_usage.num_nodes_since(since_s)
        return min(1.0, (1 + received) / max(1, self._num_nodes()))

    def has_quotas(self) -> bool:
        """Whether any tenant has a quota."""
        return bool(self._quotas)

    def contact_cutoff_s(self) -> float:
        """Return since when a node must have been received from to be in contact."""
        return self._clock() - CONTACT_S

    def _forget_other_nodes(self, now_s: float) -> None:
        """This node was paused: it does not know what the others spent meanwhile."""
        self._swept_at_s = float("-inf")
        for source in self.fleet_usage.sources():
            self.fleet_usage.forget_source(source, now_s)
        for bucket in self._buckets.values():
            bucket.level = min(bucket.level, 0.0)
            bucket.at_s = now_s

    def admit(self, tenant: Tenant, num_tokens: int | None, priority: int) -> QuotaDecision:
        """Decide on a request that arrived; `spend` follows once it is sent.

        Args:
            tenant: Who asks.
            num_tokens: Tokens that the request names, in and out; None if it names none.
            priority: Of its route, 0 first.
        """
        quota, bucket = self._quotas.get(tenant.name), self._buckets.get(tenant.name)
        if quota is None or bucket is None:
            return ADMITTED
        self.tick()
        now_s = self._clock()
        cost = cost_of(quota, num_tokens)
        self._own_of(tenant.name).ask(cost, priority, now_s)
        self._bring_up_to(tenant.name, now_s)
        chance = self._admission_probability(
            quota, bucket, tenant.name, cost, min(priority, NUM_PRIORITIES - 1)
        )
        is_possible = cost <= in_window(quota, self._precision)
        is_admitted = is_possible and (chance >= 1.0 or self._random.random() < chance)
        retry_s = None
        if is_possible and not is_admitted:
            retry_s = self._retry_after_s(quota, bucket, tenant.name, cost)
        age_s = self.fleet_usage.age_s(now_s)
        return QuotaDecision(is_admitted, cost, bucket.level, self._share, age_s, retry_s)

    def _admission_probability(
        self, quota: Quota, bucket: _Bucket, name: TenantName, cost: float, priority: int
    ) -> float:
        """Return the probability with which a request is admitted; 1 and more means always."""
        shared_out_s = settle_s(self._gossip_interval_s())
        asked = self._asked(name)
        slack = partition_slack(quota, self._precision, self._num_nodes(), self._share)
        room = max(0.0, bucket.level + slack) - shared_out_s * sum(asked[:priority])
        return room / max(cost, shared_out_s * asked[priority], LEAST_DIVISOR)

    def _own_of(self, name: TenantName) -> OwnUsage:
        own = self._own.get(name)
        if own is None:
            own = self._own[name] = OwnUsage()
        return own

    def _asked(self, name: TenantName) -> tuple[float, ...]:
        """Return what callers ask a second of the nodes in contact, by priority."""
        own = self._own_of(name).now(self._clock())
        return own.plus(self.fleet_usage.sum(name)).asked_per_s

    def _retry_after_s(self, quota: Quota, bucket: _Bucket, name: TenantName, cost: float) -> float:
        needed = max(cost, settle_s(self._gossip_interval_s()) * sum(self._asked(name)))
        missing = needed - bucket.level
        return max(MIN_RETRY_S, missing / fill_per_s(quota, self._precision))

    def spend(self, tenant: Tenant, cost: float) -> None:
        """A request is sent to a back end; a negative cost was proved unrun."""
        bucket = self._buckets.get(tenant.name)
        if bucket is not None and cost:
            now_s = self._clock()
            self._bring_up_to(tenant.name, now_s)
            bucket.level -= cost
            self._own_of(tenant.name).spend(cost, now_s)

    def _bring_up_to(self, name: TenantName, now_s: float) -> None:
        """Bring a bucket up to a time, by the rates that held until then."""
        quota, bucket = self._quotas.get(name), self._buckets.get(name)
        if quota is None or bucket is None:
            return
        spent_per_s = self.fleet_usage.sum(name).spent_per_s
        gained_per_s = self._share * fill_per_s(quota, self._precision) - spent_per_s
        level = bucket.level + gained_per_s * max(0.0, now_s - bucket.at_s)
        bucket.level = min(self._share * quota.burst, level)
        bucket.at_s = max(now_s, bucket.at_s)

    def own_usage(self) -> Iterator[tuple[TenantName, TenantUsage]]:
        """Return what this node spends and is asked for, of tenants with recent requests."""
        now_s = self._clock()
        for name, own in tuple(self._own.items()):
            usage = own.now(now_s)
            if usage == NO_USAGE:
                del self._own[name]
            else:
                yield name, usage

    def levels(self) -> dict[TenantName, float]:
        """Return what each bucket holds now."""
        now_s = self._clock()
        for name in self._buckets:
            self._bring_up_to(name, now_s)
        return {name: bucket.level for name, bucket in self._buckets.items()}
