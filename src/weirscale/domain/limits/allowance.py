"""What one node may start for one tenant now."""

from typing import Protocol

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.limits.token_bucket import TokenBucket

PROMPT_BURST_S = 10.0
"""Depth of the prompt token bucket in seconds of its rate: room for one long draft at once."""


class TenantAllowance(Protocol):
    """The node's allowance for a tenant."""

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Whether a request may start now."""
        ...

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Account for a request that starts; only after `can_start`."""
        ...

    def finish(self) -> None:
        """Account for the end of a request."""
        ...

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Time for the rates to admit this many requests, the asked one included."""
        ...

    def num_slots(self, now_s: float) -> int | None:
        """Requests that may run at once; None for no limit."""
        ...


class UnlimitedAllowance:
    """For tenants without limits."""

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Always."""
        return True

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Nothing to account for."""

    def finish(self) -> None:
        """Nothing to account for."""

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """No wait."""
        return 0.0

    def num_slots(self, now_s: float) -> int | None:
        """No limit."""
        return None


class LocalAllowance:
    """The whole limit on one node, for a process that stands alone."""

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
        """Whether every limit has room; a prompt above the bucket's depth needs it full."""
        if self._max_running is not None and self._num_running >= self._max_running:
            return False
        if self._requests is not None and self._requests.available(now_s) < 1.0:
            return False
        bucket = self._prompt_tokens
        return bucket is None or bucket.available(now_s) >= min(num_prompt_tokens, bucket.depth)

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Take from every limit."""
        self._num_running += 1
        if self._requests is not None:
            self._requests.take(1.0, now_s)
        if self._prompt_tokens is not None:
            self._prompt_tokens.take(min(num_prompt_tokens, self._prompt_tokens.depth), now_s)

    def finish(self) -> None:
        """Give the concurrency slot back."""
        self._num_running -= 1

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Time for the rates to admit those ahead."""
        if self._requests is None:
            return 0.0
        return num_ahead / max(self._requests.rate_per_s, 1e-9)

    def num_slots(self, now_s: float) -> int | None:
        """The tenant's concurrency limit."""
        return self._max_running
