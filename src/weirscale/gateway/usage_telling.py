"""Which tenants' usage goes into a message: what has changed, and all of it now and then."""

from collections.abc import Mapping

from weirscale.domain.identifiers import TenantName
from weirscale.gateway.news_outbox import NewsOutbox
from weirscale.gateway.peer_messages import UsageNews
from weirscale.gateway.usage import NO_USAGE, TenantUsage


class UsageTelling:
    """Remembers what was told last."""

    def __init__(self) -> None:
        self._told: dict[TenantName, UsageNews] = {}

    def add_to(
        self, outbox: NewsOutbox, usage: Mapping[TenantName, TenantUsage], must_refresh: bool
    ) -> None:
        """Put into an outbox what is to be told.

        Args:
            outbox: Where it goes.
            usage: What each tenant spends and asks for now.
            must_refresh: Whether to tell also what was told before and has not changed.
        """
        for tenant in self._told.keys() | usage.keys():
            news = _news(tenant, usage.get(tenant, NO_USAGE))
            told = self._told.get(tenant, _news(tenant, NO_USAGE))
            is_known = news == _news(tenant, NO_USAGE)
            if news != told or (must_refresh and not is_known):
                outbox.add_usage(news)
            self._told[tenant] = news
        self._told = {name: self._told[name] for name in usage}


def _news(tenant: TenantName, usage: TenantUsage) -> UsageNews:
    first, second, third = usage.asked_per_s
    asked = (round(first), round(second), round(third))
    return UsageNews(tenant, round(usage.spent_per_s), asked)


def read_usage(news: UsageNews) -> tuple[TenantName, TenantUsage]:
    """Read what another node told."""
    return TenantName(news.tenant), TenantUsage(news.spent_per_s, news.asked_per_s)
