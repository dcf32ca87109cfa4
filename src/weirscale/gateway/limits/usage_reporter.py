"""Adds tenants' usage to gossip: changes at once, and everything at each refresh."""

from collections.abc import Mapping

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.limits.usage import NO_USAGE, TenantUsage
from weirscale.gateway.peers.gossip_entries import UsageGossip
from weirscale.gateway.peers.outbox import GossipOutbox


class UsageReporter:
    """Reports usage that differs from what it reported last."""

    def __init__(self) -> None:
        self._sent: dict[TenantName, UsageGossip] = {}

    def add_to(
        self, outbox: GossipOutbox, usage: Mapping[TenantName, TenantUsage], must_refresh: bool
    ) -> None:
        """Add changed usage to an outbox, or all usage if a refresh is due.

        Args:
            outbox: Collects the next message.
            usage: Current usage by tenant; a missing tenant has none.
            must_refresh: Whether to add unchanged usage as well.
        """
        sent: dict[TenantName, UsageGossip] = {}
        for tenant, tenant_usage in usage.items():
            gossip = _to_gossip(tenant, tenant_usage)
            sent[tenant] = gossip
            if must_refresh or gossip != self._sent.get(tenant):
                outbox.add_usage(gossip)
        for tenant in self._sent.keys() - sent.keys():
            outbox.add_usage(_to_gossip(tenant, NO_USAGE))
        self._sent = sent


def _to_gossip(tenant: TenantName, usage: TenantUsage) -> UsageGossip:
    first, second, third = usage.asked_per_s
    asked = (round(first), round(second), round(third))
    return UsageGossip(tenant, round(usage.spent_per_s), asked)


def read_usage(gossip: UsageGossip) -> tuple[TenantName, TenantUsage]:
    """Return the tenant and usage in another node's gossip."""
    return TenantName(gossip.tenant), TenantUsage(gossip.spent_per_s, gossip.asked_per_s)
