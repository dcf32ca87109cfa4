"""Puts tenants' usage into gossip: what has changed, and all of it at each refresh."""

from collections.abc import Mapping

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.limits.usage import NO_USAGE, TenantUsage
from weirscale.gateway.peers.messages import UsageGossip
from weirscale.gateway.peers.outbox import GossipOutbox


class UsageReporter:
    """Remembers what was sent last."""

    def __init__(self) -> None:
        self._sent: dict[TenantName, UsageGossip] = {}

    def add_to(
        self, outbox: GossipOutbox, usage: Mapping[TenantName, TenantUsage], must_refresh: bool
    ) -> None:
        """Put into an outbox what is to be sent.

        Args:
            outbox: Where it goes.
            usage: What each tenant spends and asks for now; who is not in it does neither.
            must_refresh: Whether to send also what has not changed.
        """
        sent: dict[TenantName, UsageGossip] = {}
        for tenant, one in usage.items():
            gossip = _to_gossip(tenant, one)
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
    """Read what another node sent."""
    return TenantName(gossip.tenant), TenantUsage(gossip.spent_per_s, gossip.asked_per_s)
