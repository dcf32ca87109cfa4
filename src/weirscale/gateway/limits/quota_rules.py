"""The arithmetic of tenants' quotas: request costs, fill rates of buckets, and tolerances.

Amounts are in the unit of the quota: tokens or requests. The deployment's rule: in any window, all
nodes together may spend at most (rate x window + burst) x (1 + overage) + tolerance.
"""

from weirscale.gateway.model.configuration import Quota, QuotaUnit
from weirscale.gateway.settings import QuotaPrecision

CONVERGENCE_INTERVALS = 2.5
"""Gossip intervals after which all nodes are taken to have received a node's usage. With fewer,
nodes admit more than the bucket holds before they receive each other's usage. With more, a burst is
refused although there is room. In one simulated run of 79 nodes at 7.5 times the usual load,
2.0 gave a worst window of 0.94 of the rule; with 3.3, a tenant with bursty load was refused at 0.87
of its room."""

MIN_CONVERGENCE_S = 0.25
"""Lower bound in seconds of the convergence time, however short the gossip interval."""

PARTITION_SLACK_FACTOR = 2.5
"""Multiple of a node's equal part of the tolerated amount that a node without contact to the other
nodes may spend beyond its share of the bucket. Requests cannot be divided, so that share alone
would be too small for a single request. The tolerance covers this while at most 1 / 2.5 of the
nodes are alone at once. In simulations with 60 % of the nodes alone, the worst windows were 0.61 to
0.75 of the rule at 79 nodes, and 0.97 to 1.03 at 8 nodes (`docs/design/0016-quotas.md`)."""

BURST_SLACK_SHARE = 0.6
"""Share of the tolerance available to a burst on top of a full window; the rest covers the delay of
gossip. Without this share, a tenant that requests without pause was refused 579 instead of 333
times in one run of a large fleet (`docs/DECISIONS.md`, T1)."""

MIN_RETRY_S = 0.05
"""Minimum seconds after which a refused caller is asked to retry."""


def cost_of(quota: Quota, num_tokens: int | None) -> float:
    """Return what a request costs, in the unit of its tenant's quota."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    return float(quota.unnamed_tokens if num_tokens is None else num_tokens)


def gossip_convergence_s(gossip_interval_s: float) -> float:
    """Return the seconds until all nodes are taken to have received a node's usage."""
    return max(MIN_CONVERGENCE_S, CONVERGENCE_INTERVALS * gossip_interval_s)


def window_allowance(quota: Quota, precision: QuotaPrecision) -> float:
    """Return the amount that a quota allows in one window, without tolerances."""
    return quota.rate_per_s * precision.window_s + quota.burst


def tolerated_excess(quota: Quota, precision: QuotaPrecision) -> float:
    """Return the amount beyond the quota that the rule tolerates in a window."""
    return precision.overage * window_allowance(quota, precision) + precision.tolerance


def fill_per_s(quota: Quota, precision: QuotaPrecision) -> float:
    """Return the amount per second by which the buckets of all nodes together fill.

    The quota allows the rate and one burst in each window, so a tenant that requests without pause
    regains part of the burst in each window. A window that begins with a full bucket may then
    exceed the quota by up to a burst, which is limited to what the tolerance covers.
    """
    regained_burst = min(quota.burst, BURST_SLACK_SHARE * tolerated_excess(quota, precision))
    return quota.rate_per_s + regained_burst / precision.window_s


def partition_slack(quota: Quota, precision: QuotaPrecision, num_nodes: int, share: float) -> float:
    """Return the amount that a node may spend beyond its share of the bucket.

    Args:
        quota: The tenant's quota.
        precision: How exactly quotas must hold.
        num_nodes: Number of nodes that may spend.
        share: Share of those nodes that this node is in contact with, itself included.
    """
    equal_part = tolerated_excess(quota, precision) / max(1, num_nodes)
    return (1.0 - share) * PARTITION_SLACK_FACTOR * equal_part
