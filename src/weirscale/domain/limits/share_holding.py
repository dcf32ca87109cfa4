"""A node's holding of one tenant's limits: tokens and leased slots from the zone's home."""

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.limits.allowance import PROMPT_BURST_S, TenantAllowance
from weirscale.domain.limits.share_pool import NODE_LEASE_S
from weirscale.messages.limits import TenantDemand, TenantGrant

MIN_RATE_PER_S = 1e-3
"""Minimum rate used in an estimate of a wait; avoids a division by zero."""
PREFETCH_S = 2.0
"""Tokens are fetched ahead for this many seconds of recent arrivals, so that few requests wait."""
MIN_DEMAND_INTERVAL_S = 0.05
"""Minimum time between demands for waiting requests; above a round trip within a zone."""
MAX_DEMAND_INTERVAL_S = 0.8
"""Maximum time between demands, reached by doubling while the home has nothing to grant."""
ARRIVAL_SMOOTHING = 0.3
"""Weight of the newest sample in the arrival rate and in the mean prompt size."""


class ShareHolding(TenantAllowance):
    """An allowance fed by grants.

    Args:
        tenant: The tenant as configured.
        digest: 32-bit digest of its name.
        now_s: Time of creation.
    """

    def __init__(self, tenant: Tenant, digest: int, now_s: float) -> None:
        self.tenant = tenant
        self.digest = digest
        self.num_running = 0
        self._standing_requests = 0
        self._standing_slots = 0
        self._num_requests = 0
        self._num_prompt_tokens = 0
        self._num_old_requests = 0
        self._num_old_prompt_tokens = 0
        self._slots = 0
        self._slots_until_s = now_s
        self._expected_per_s = tenant.requests_per_s or 0.0
        self._num_arrived = 0
        self._arrivals_per_s = 0.0
        self._prompt_tokens_per_request = 0.0
        self._measured_at_s = now_s
        self._next_demand_at_s = now_s
        self._demand_interval_s = MIN_DEMAND_INTERVAL_S

    def set_standing(self, num_requests: int, num_slots: int) -> None:
        """Set what this node owns without a grant: requests on credit, and slots."""
        self._standing_requests = num_requests
        self._standing_slots = num_slots

    def leased_slots(self, now_s: float) -> int:
        """Return the number of slots leased from the home."""
        return self._slots if now_s < self._slots_until_s else 0

    def slots(self, now_s: float) -> int:
        """Return the number of slots that may be used now."""
        return self._standing_slots + self.leased_slots(now_s)

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Return whether the node holds enough of every limit."""
        tenant = self.tenant
        if tenant.max_concurrent_requests is not None and self.num_running >= self.slots(now_s):
            return False
        if tenant.requests_per_s is not None and self._num_requests + self._standing_requests < 1:
            return False
        return tenant.prompt_tokens_per_s is None or self._num_prompt_tokens >= num_prompt_tokens

    def start(self, num_prompt_tokens: int, now_s: float) -> None:
        """Use a slot and tokens."""
        self.num_running += 1
        if self.tenant.requests_per_s is not None:
            self._num_requests -= 1
            self._num_old_requests = max(0, self._num_old_requests - 1)
        if self.tenant.prompt_tokens_per_s is not None:
            self._num_prompt_tokens -= num_prompt_tokens
            remaining = self._num_old_prompt_tokens - num_prompt_tokens
            self._num_old_prompt_tokens = max(0, remaining)

    def finish(self) -> None:
        """Free the slot."""
        self.num_running -= 1

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Return the seconds until the expected rates admit `num_ahead` requests and the prompt."""
        tenant = self.tenant
        request_wait_s = prompt_wait_s = 0.0
        if tenant.requests_per_s is not None:
            shortfall = num_ahead - 1 - self._num_requests
            request_wait_s = shortfall / max(MIN_RATE_PER_S, self._expected_per_s)
        if tenant.prompt_tokens_per_s is not None:
            shortfall = num_prompt_tokens - self._num_prompt_tokens - self._burst_prompt_tokens()
            prompt_wait_s = shortfall / max(MIN_RATE_PER_S, tenant.prompt_tokens_per_s)
        return max(0.0, request_wait_s, prompt_wait_s)

    def _burst_prompt_tokens(self) -> int:
        return int((self.tenant.prompt_tokens_per_s or 0.0) * PROMPT_BURST_S)

    def num_slots(self, now_s: float) -> int | None:
        """Return the number of slots that this node may use now; None for no limit."""
        return None if self.tenant.max_concurrent_requests is None else self.slots(now_s)

    def record_arrival(self, num_prompt_tokens: int) -> None:
        """Record that a request of the tenant arrived."""
        self._num_arrived += 1
        change = num_prompt_tokens - self._prompt_tokens_per_request
        self._prompt_tokens_per_request += ARRIVAL_SMOOTHING * change

    def measure(self, has_waiting: bool, now_s: float) -> None:
        """Update the arrival rate and drop unused tokens; call it once an interval.

        Tokens that were held at the last call and are still unused expire. So everything that a
        node can start at once was granted within two intervals. Prompt tokens are kept while a
        request waits, because a long prompt collects them over several intervals.
        """
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s <= 0.0:
            return
        self._num_requests -= self._num_old_requests
        if not has_waiting:
            self._num_prompt_tokens -= self._num_old_prompt_tokens
        self._num_old_requests = max(0, self._num_requests)
        self._num_old_prompt_tokens = self._num_prompt_tokens
        rate_per_s = self._num_arrived / max(elapsed_s, PREFETCH_S)
        self._arrivals_per_s += ARRIVAL_SMOOTHING * (rate_per_s - self._arrivals_per_s)
        self._num_arrived = 0
        self._measured_at_s = now_s

    def is_demand_due(self, now_s: float) -> bool:
        """Return whether to send another demand for waiting requests, and schedule the next one.

        The interval doubles with each call; a grant resets it.
        """
        if now_s < self._next_demand_at_s:
            return False
        self._next_demand_at_s = now_s + self._demand_interval_s
        self._demand_interval_s = min(MAX_DEMAND_INTERVAL_S, 2 * self._demand_interval_s)
        return True

    def demand(
        self, num_waiting: int, num_waiting_prompt_tokens: int, now_s: float
    ) -> TenantDemand | None:
        """Return the demand to send to the home; None when nothing is held, used or wanted."""
        tenant = self.tenant
        num_ahead = int(self._arrivals_per_s * PREFETCH_S)
        requests = tokens = held = wanted = 0
        if tenant.requests_per_s is not None:
            requests = max(0, num_waiting + num_ahead - self._num_requests)
        if tenant.prompt_tokens_per_s is not None:
            ahead_tokens = int(num_ahead * self._prompt_tokens_per_request)
            tokens = max(0, num_waiting_prompt_tokens + ahead_tokens - self._num_prompt_tokens)
        if tenant.max_concurrent_requests is not None:
            leased_running = max(0, self.num_running - self._standing_slots)
            held = max(self.leased_slots(now_s), leased_running)
            all_wanted = self.num_running + num_waiting + min(1, num_ahead)
            wanted = max(0, all_wanted - self._standing_slots)
        if not (requests or tokens or held or wanted):
            return None
        return TenantDemand(self.digest, requests, tokens, held, wanted)

    def add_grant(self, granted: TenantGrant, sent_at_s: float) -> None:
        """Add what the home granted in answer to the latest demand, sent at `sent_at_s`."""
        if granted.num_requests or granted.num_prompt_tokens or granted.slots > self._slots:
            self._demand_interval_s = MIN_DEMAND_INTERVAL_S
            self._next_demand_at_s = sent_at_s + MIN_DEMAND_INTERVAL_S
        self._num_requests += granted.num_requests
        self._num_prompt_tokens += granted.num_prompt_tokens
        self._slots = granted.slots
        self._slots_until_s = sent_at_s + NODE_LEASE_S
        self._expected_per_s = granted.requests_per_s
