"""Tenants' quotas over all nodes, without asking anybody while a request waits.

Each node keeps a bucket for each tenant with a quota: it fills at the tenant's rate and by the
burst once a window, up to the burst; what this node spends is taken out at once, and what the
others spend as they tell it (`usage`). The news is some tenths of a second old, so the bucket may
fall below nothing; that debt is paid back before more is let in, so the quota holds in the long run
whatever the delay, and the deployment's tolerance bears the moment.

Near the limit nodes would all see room for one more request and all let it in. So a request is let
in with a probability: what the bucket holds over what all nodes are asked for while news travels.
The more urgent of a tenant's requests go first.

A node that does not hear some of the others keeps to its share: its bucket fills at the rate times
the share of the nodes that it hears, itself included, and holds as much of the burst. However the
fleet falls apart, the shares of the parts never add up to more than one. A node that starts, or
that stood still, begins with an empty bucket: what was spent before, by whichever process, was at
most the burst and the rate until then.
"""

from collections.abc import Callable, Iterator
from random import Random

import msgspec

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.limits.usage import (
    NO_USAGE,
    NUM_PRIORITIES,
    FleetUsage,
    OwnUsage,
    TenantUsage,
)
from weirscale.gateway.model.configuration import Quota, QuotaUnit, Tenant
from weirscale.gateway.peers.heartbeat import PEER_SILENCE_S, SWEEP_INTERVAL_S
from weirscale.gateway.settings import QuotaPrecision

SETTLE_INTERVALS = 2.5
"""The bucket is shared out over this many times the interval of news: shorter, and nodes let in
more than there is before they hear of each other; longer, and a burst waits for nothing."""

LEAST_SETTLE_S = 0.25

BLIND_SLACK_FACTOR = 2.5
"""A node that does not hear the others spends at most this multiple of its part of what the rule
tolerates beyond the quota: requests cannot be divided, so its share alone would be too small for
one. The tolerance bears it while at most two fifths of the nodes are blind at once."""

GONE_MEMORY_S = 1.0
"""How long a node that left the registrations still counts as one that may spend. It left them
because it has not reached the store for some six seconds, so it has no proof of its configuration
either, and refuses whoever needs a key unless it hears somebody who has."""

BURST_SLACK_SHARE = 0.6
"""Share of the tolerance that may be used by a burst that comes on top of a full window; the rest
is for the delay of news."""

LEAST_RETRY_S = 0.05


HEARD_S = 0.8
"""How long a node that was heard counts as heard: two of its messages may be lost."""


class QuotaDecision(msgspec.Struct, frozen=True):
    """Whether a request is let in, and what decided it.

    Attributes:
        is_admitted: Whether it is.
        cost: What it costs, in the unit of the quota.
        level: What the bucket held.
        share: Share of the nodes that this one hears, itself included.
        age_s: Age of the oldest news that counts.
        retry_after_s: When it would be let in if nobody else spent; None if never.
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
        at_s: Until when it has been reckoned.
    """

    level: float
    at_s: float


class QuotaLedger:
    """Owns the buckets of a node.

    Args:
        bounds: The deployment's bounds on quotas.
        num_nodes: Returns how many nodes may spend, this one included.
        news_interval_s: Returns the time between a node's messages.
        random: Decides near the limit.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        bounds: QuotaPrecision,
        num_nodes: Callable[[], int],
        news_interval_s: Callable[[], float],
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._bounds = bounds
        self._num_nodes = num_nodes
        self._news_interval_s = news_interval_s
        self._random = random
        self._clock = clock
        self._quotas: dict[TenantName, Quota] = {}
        self._buckets: dict[TenantName, _Bucket] = {}
        self._awake_at_s = clock()
        self._swept_at_s = float("-inf")
        self._share = 1.0
        self._own: dict[TenantName, OwnUsage] = {}
        """Of tenants with requests at this node of late."""
        self.fleet = FleetUsage(self._reckon)

    def set_bounds(self, bounds: QuotaPrecision) -> None:
        """Change the bounds."""
        self._bounds = bounds

    def set_tenants(self, tenants: tuple[Tenant, ...]) -> None:
        """Put the quotas of a configuration in force; what was spent stays spent."""
        now_s = self._clock()
        for name in self._buckets:
            self._reckon(name, now_s)
        self._quotas = {one.name: one.quota for one in tenants if one.quota is not None}
        self._buckets = {
            name: self._buckets[name] for name in self._buckets if name in self._quotas
        }
        for name in self._quotas:
            self._buckets.setdefault(name, _Bucket(0.0, now_s))
        self._own = {name: own for name, own in self._own.items() if name in self._quotas}
        self.fleet.keep(self._quotas)

    def tick(self) -> None:
        """Take note that this node runs; to be called as often as news is told."""
        now_s = self._clock()
        if now_s - self._awake_at_s > PEER_SILENCE_S:
            self._forget_the_past(now_s)
        self._awake_at_s = now_s
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        self.fleet.sweep(now_s)
        share = self.received_share(self.heard_since_s())
        if share != self._share:
            for name in self._buckets:
                self._reckon(name, now_s)
            self._share = share

    def received_share(self, since_s: float) -> float:
        """Return the share of the nodes that were heard since a time, this one included."""
        received = self.fleet.num_heard(since_s)
        return min(1.0, (1 + received) / max(1, self._num_nodes()))

    def has_quotas(self) -> bool:
        """Whether any tenant has a quota."""
        return bool(self._quotas)

    def heard_since_s(self) -> float:
        """Return since when a node must have been heard to count for others."""
        return self._clock() - HEARD_S

    def _forget_the_past(self, now_s: float) -> None:
        """This node stood still: it does not know what the others spent meanwhile."""
        self._swept_at_s = float("-inf")
        for source in self.fleet.sources():
            self.fleet.forget_source(source, now_s)
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
        self._reckon(tenant.name, now_s)
        chance = self._chance(quota, bucket, tenant.name, cost, min(priority, NUM_PRIORITIES - 1))
        is_possible = cost <= quota.rate_per_s * self._bounds.window_s + quota.burst
        is_admitted = is_possible and (chance >= 1.0 or self._random.random() < chance)
        retry_s = None
        if is_possible and not is_admitted:
            retry_s = self._retry_after_s(quota, bucket, tenant.name, cost)
        age_s = self.fleet.age_s(now_s)
        return QuotaDecision(is_admitted, cost, bucket.level, self._share, age_s, retry_s)

    def _chance(
        self, quota: Quota, bucket: _Bucket, name: TenantName, cost: float, priority: int
    ) -> float:
        """Return the probability with which a request is let in."""
        settle_s = self._settle_s()
        asked = self._asked(name)
        room = max(0.0, bucket.level + self._blind_slack(quota)) - settle_s * sum(asked[:priority])
        return room / max(cost, settle_s * asked[priority], 1e-9)

    def _own_of(self, name: TenantName) -> OwnUsage:
        own = self._own.get(name)
        if own is None:
            own = self._own[name] = OwnUsage()
        return own

    def _asked(self, name: TenantName) -> tuple[float, ...]:
        """Return what callers ask for a second at the nodes that this one hears, by priority."""
        own = self._own_of(name).now(self._clock())
        return own.plus(self.fleet.sum(name)).asked_per_s

    def _settle_s(self) -> float:
        return max(LEAST_SETTLE_S, SETTLE_INTERVALS * self._news_interval_s())

    def _slack(self, quota: Quota) -> float:
        """Return what the rule tolerates in a window beyond the quota."""
        usual = quota.rate_per_s * self._bounds.window_s + quota.burst
        return self._bounds.overage * usual + self._bounds.tolerance

    def _fill_per_s(self, quota: Quota) -> float:
        """Return the rate at which all nodes' buckets together fill.

        The quota allows the rate and one burst in each window, so who asks without end may have a
        part of the burst in each. A window that begins with a full bucket then holds up to a burst
        more than the quota: no more than the tolerance bears.
        """
        regained = min(quota.burst, BURST_SLACK_SHARE * self._slack(quota))
        return quota.rate_per_s + regained / self._bounds.window_s

    def _blind_slack(self, quota: Quota) -> float:
        """Return what a node that hears only a share of the others may spend beyond its own."""
        part = self._slack(quota) / max(1, self._num_nodes())
        return (1.0 - self._share) * BLIND_SLACK_FACTOR * part

    def _retry_after_s(self, quota: Quota, bucket: _Bucket, name: TenantName, cost: float) -> float:
        needed = max(cost, self._settle_s() * sum(self._asked(name)))
        return max(LEAST_RETRY_S, (needed - bucket.level) / self._fill_per_s(quota))

    def spend(self, tenant: Tenant, cost: float) -> None:
        """A request is sent to a back end; a negative cost was proved unrun."""
        bucket = self._buckets.get(tenant.name)
        if bucket is not None and cost:
            now_s = self._clock()
            self._reckon(tenant.name, now_s)
            bucket.level -= cost
            self._own_of(tenant.name).spend(cost, now_s)

    def _reckon(self, name: TenantName, now_s: float) -> None:
        """Bring a bucket up to a time, by the rates that held until then."""
        quota, bucket = self._quotas.get(name), self._buckets.get(name)
        if quota is None or bucket is None:
            return
        gained_per_s = self._share * self._fill_per_s(quota) - self.fleet.sum(name).spent_per_s
        level = bucket.level + gained_per_s * max(0.0, now_s - bucket.at_s)
        bucket.level = min(self._share * quota.burst, level)
        bucket.at_s = max(now_s, bucket.at_s)

    def own_usage(self) -> Iterator[tuple[TenantName, TenantUsage]]:
        """Return what this node spends and is asked for, of tenants with requests of late."""
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
            self._reckon(name, now_s)
        return {name: bucket.level for name, bucket in self._buckets.items()}


def cost_of(quota: Quota, num_tokens: int | None) -> float:
    """Return what a request costs, in the unit of its tenant's quota."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    return float(quota.unnamed_tokens if num_tokens is None else num_tokens)
