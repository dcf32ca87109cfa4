"""Allowances for a process that stands alone: each tenant's whole limit."""

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import TenantName
from weirscale.domain.limits.allowance import LocalAllowance, TenantAllowance


class LocalAllowances:
    """Keeps one allowance for each tenant, made anew when the tenant's limits change."""

    def __init__(self) -> None:
        self._allowances: dict[TenantName, tuple[Tenant, LocalAllowance]] = {}

    def __call__(self, tenant: Tenant, now_s: float) -> TenantAllowance:
        """Return the tenant's allowance."""
        kept = self._allowances.get(tenant.name)
        if kept is not None and (kept[0] is tenant or kept[0] == tenant):
            return kept[1]
        allowance = LocalAllowance(tenant, now_s)
        self._allowances[tenant.name] = (tenant, allowance)
        return allowance
