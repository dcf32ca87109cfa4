"""Which tenants' usage goes into a message: what has changed, and all of it now and then."""

from collections.abc import Mapping

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.limits.usage import NO_USAGE, TenantUsage
from weirscale.gateway.peers.messages import UsageGossip
from weirscale.gateway.peers.outbox import GossipOutbox


class UsageReporter:
    """Remembers what was told last."""

    def __init__(self) -> None:
        self._told: dict[TenantName, UsageGossip] = {}

    def add_to(
        self, outbox: GossipOutbox, usage: Mapping[TenantName, TenantUsage], must_refresh: bool
    ) -> None:
        """Put into an outbox what is to be told.

        Args:
            outbox: Where it goes.
            usage: What each tenant spends and asks for now; who is not in it does neither.
            must_refresh: Whether to tell also what was told before and has not changed.
        """
        told: dict[TenantName, UsageGossip] = {}
        for tenant, one in usage.items():
            gossip = _news(tenant, one)
            told[tenant] = gossip
            if must_refresh or gossip != self._told.get(tenant):
                outbox.add_usage(gossip)
        for tenant in self._told.keys() - told.keys():
            outbox.add_usage(_news(tenant, NO_USAGE))
        self._told = told


def _news(tenant: TenantName, usage: TenantUsage) -> UsageGossip:
    first, second, third = usage.asked_per_s
    asked = (round(first), round(second), round(third))
    return UsageGossip(tenant, round(usage.spent_per_s), asked)


def read_usage(gossip: UsageGossip) -> tuple[TenantName, TenantUsage]:
    """Read what another node told."""
    return TenantName(gossip.tenant), TenantUsage(gossip.spent_per_s, gossip.asked_per_s)
