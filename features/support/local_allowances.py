"""Allowances for a process without peers: each tenant's whole limit."""

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import TenantName
from weirscale.domain.limits.allowance import PROMPT_BURST_S, TenantAllowance
from weirscale.domain.limits.token_bucket import TokenBucket


class LocalAllowance(TenantAllowance):
    """A tenant's whole limit on one node, for a process without peers."""

    def __init__(self, tenant: Tenant, now_s: float) -> None:
        self._num_running = 0
        self._max_running = tenant.max_concurrent_requests
        self._requests: TokenBucket | None = None
        self._prompt_tokens: TokenBucket | None = None
        if tenant.requests_per_s is not None:
            depth = float(max(1, tenant.burst_requests))
            self._requests = TokenBucket(tenant.requests_per_s, depth, now_s)
        if tenant.prompt_tokens_per_s is not None:
            rate_per_s = tenant.prompt_tokens_per_s
            self._prompt_tokens = TokenBucket(rate_per_s, rate_per_s * PROMPT_BURST_S, now_s)

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Return whether every limit has room; a prompt larger than the bucket needs it full."""
        if self._max_running is not None and self._num_running >= self._max_running:
            return False
        if self._requests is not None and self._requests.available(now_s) < 1.0:
            return False
        bucket = self._prompt_tokens
        return bucket is None or bucket.available(now_s) >= min(num_prompt_tokens, bucket.depth)

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Consume from every limit."""
        self._num_running += 1
        if self._requests is not None:
            self._requests.take(1.0, now_s)
        if self._prompt_tokens is not None:
            self._prompt_tokens.take(min(num_prompt_tokens, self._prompt_tokens.depth), now_s)

    def finish(self) -> None:
        """Give the concurrency slot back."""
        self._num_running -= 1

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Return the seconds until the request rate admits the requests ahead."""
        if self._requests is None:
            return 0.0
        return num_ahead / max(self._requests.rate_per_s, 1e-9)

    def num_slots(self, now_s: float) -> int | None:
        """Return the tenant's concurrency limit."""
        return self._max_running


class LocalAllowances:
    """Keeps one allowance per tenant, replaced when the tenant's limits change."""

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
