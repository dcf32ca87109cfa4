"""The arithmetic of tenants' quotas: what a request costs, how buckets fill, what the rule
tolerates.

Amounts are in the unit of the quota: tokens or requests. The rule, from the deployment: in any
window at most (rate x window + burst) x (1 + overage) + tolerance may be spent at all nodes
together.
"""

from weirscale.gateway.model.configuration import Quota, QuotaUnit
from weirscale.gateway.settings import QuotaPrecision

SETTLE_INTERVALS = 2.5
"""Gossip intervals over which a bucket is shared out among the nodes. With fewer, nodes admit more
than there is before they learn of each other; with more, a burst is refused though there is room.
Measured by simulation of 79 nodes at 7.5 times the usual load, one seed: 2.0 gave a worst window of
0.94 of the rule; with 3.3 a tenant whose load comes in bursts was refused at 0.87 of its room."""

MIN_SETTLE_S = 0.25
"""Seconds over which a bucket is shared out at least, however short the interval. Not measured."""

PARTITION_SLACK_FACTOR = 2.5
"""Multiple, without unit, of its part of what the rule tolerates that a node without contact to the
others may spend beyond its own part: requests cannot be divided, so that part alone would be too
small for one. The tolerance bears it while at most 1 / 2.5 of the nodes are alone at once. Measured
by simulation with 60 % of the nodes alone: worst windows of 0.61 to 0.75 of the rule at 79 nodes,
of 0.97 to 1.03 at 8 (`docs/design/0016-quotas.md`)."""

BURST_SLACK_SHARE = 0.6
"""Share of the tolerance that a burst may use that comes on top of a full window; the rest is for
the delay of gossip. Without any of it a tenant that asks without end was refused 579 instead of 333
times on one run of a large fleet (`docs/DECISIONS.md`, T1). Other shares were not tried."""

MIN_RETRY_S = 0.05
"""Seconds after which a refused caller is asked back at the earliest. Not measured."""


def cost_of(quota: Quota, num_tokens: int | None) -> float:
    """Return what a request costs, in the unit of its tenant's quota."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    return float(quota.unnamed_tokens if num_tokens is None else num_tokens)


def settle_s(gossip_interval_s: float) -> float:
    """Return the seconds over which a bucket is shared out among the nodes."""
    return max(MIN_SETTLE_S, SETTLE_INTERVALS * gossip_interval_s)


def in_window(quota: Quota, precision: QuotaPrecision) -> float:
    """Return the amount that a quota allows in one window."""
    return quota.rate_per_s * precision.window_s + quota.burst


def tolerated(quota: Quota, precision: QuotaPrecision) -> float:
    """Return the amount that the rule tolerates in a window beyond the quota."""
    return precision.overage * in_window(quota, precision) + precision.tolerance


def fill_per_s(quota: Quota, precision: QuotaPrecision) -> float:
    """Return the amount a second by which all nodes' buckets together fill.

    The quota allows the rate and one burst in each window, so who asks without end may have a
    part of the burst in each. A window that begins with a full bucket then holds up to a burst
    more than the quota: no more than the tolerance bears.
    """
    regained = min(quota.burst, BURST_SLACK_SHARE * tolerated(quota, precision))
    return quota.rate_per_s + regained / precision.window_s


def partition_slack(quota: Quota, precision: QuotaPrecision, num_nodes: int, share: float) -> float:
    """Return the amount that a node may spend beyond its part of the bucket.

    Args:
        quota: The tenant's quota.
        precision: How exactly quotas are to be kept.
        num_nodes: Nodes that may spend.
        share: Share of them that this node has contact to, itself included.
    """
    part = tolerated(quota, precision) / max(1, num_nodes)
    return (1.0 - share) * PARTITION_SLACK_FACTOR * part
