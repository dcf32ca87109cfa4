"""What a node holds of one tenant's limits: tokens and leased slots from the zone's home."""

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.limits.allowance import PROMPT_BURST_S, TenantAllowance
from weirscale.domain.limits.share_pool import NODE_LEASE_S
from weirscale.messages.limits import TenantDemand, TenantGrant

MIN_RATE_PER_S = 1e-3
"""Least rate used in an estimate of a wait."""
PREFETCH_S = 2.0
"""Tokens are fetched ahead for this much of the recent arrivals, so that few requests wait."""
MIN_ASK_WAIT_S = 0.05
"""Least time between demands for a waiting request; above a round trip within a zone."""
MAX_ASK_WAIT_S = 0.8
"""While the home has nothing to give, the time between demands grows up to this."""
ARRIVAL_SMOOTHING = 0.3
"""Weight of the newest interval in the arrival rate."""


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
        self._ask_at_s = now_s
        self._ask_wait_s = MIN_ASK_WAIT_S

    def set_standing(self, num_requests: int, num_slots: int) -> None:
        """Set what this node owns without asking: requests on credit, and slots."""
        self._standing_requests = num_requests
        self._standing_slots = num_slots

    def leased_slots(self, now_s: float) -> int:
        """Slots leased from the home."""
        return self._slots if now_s < self._slots_until_s else 0

    def slots(self, now_s: float) -> int:
        """Slots that may be used now."""
        return self._standing_slots + self.leased_slots(now_s)

    def can_start(self, num_prompt_tokens: int, now_s: float) -> bool:
        """Whether the node holds enough of every limit."""
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
            left = self._num_old_prompt_tokens - num_prompt_tokens
            self._num_old_prompt_tokens = max(0, left)

    def finish(self) -> None:
        """Free the slot."""
        self.num_running -= 1

    def wait_s(self, num_ahead: int, num_prompt_tokens: int) -> float:
        """Time for the expected rates to admit those ahead and this one's prompt."""
        tenant = self.tenant
        request_wait_s = prompt_wait_s = 0.0
        if tenant.requests_per_s is not None:
            lacking = num_ahead - 1 - self._num_requests
            request_wait_s = lacking / max(MIN_RATE_PER_S, self._expected_per_s)
        if tenant.prompt_tokens_per_s is not None:
            lacking = num_prompt_tokens - self._num_prompt_tokens - self._burst_prompt_tokens()
            prompt_wait_s = lacking / max(MIN_RATE_PER_S, tenant.prompt_tokens_per_s)
        return max(0.0, request_wait_s, prompt_wait_s)

    def _burst_prompt_tokens(self) -> int:
        return int((self.tenant.prompt_tokens_per_s or 0.0) * PROMPT_BURST_S)

    def num_slots(self, now_s: float) -> int | None:
        """Slots that this node may use now."""
        return None if self.tenant.max_concurrent_requests is None else self.slots(now_s)

    def record_arrival(self, num_prompt_tokens: int) -> None:
        """A request of the tenant came."""
        self._num_arrived += 1
        change = num_prompt_tokens - self._prompt_tokens_per_request
        self._prompt_tokens_per_request += ARRIVAL_SMOOTHING * change

    def measure(self, has_waiting: bool, now_s: float) -> None:
        """Update the arrival rate and drop unused tokens; once an interval.

        Tokens that were held at the last call and are still unused are void: so what a node can
        start at once came within two intervals. Prompt tokens are kept while a request waits, for
        a long prompt gathers them over several.
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

    def is_ask_due(self, now_s: float) -> bool:
        """Whether to ask again for waiting requests; each time in vain doubles the wait."""
        if now_s < self._ask_at_s:
            return False
        self._ask_at_s = now_s + self._ask_wait_s
        self._ask_wait_s = min(MAX_ASK_WAIT_S, 2 * self._ask_wait_s)
        return True

    def demand(
        self, num_waiting: int, num_waiting_prompt_tokens: int, now_s: float
    ) -> TenantDemand | None:
        """What to ask the home for; None when nothing is held, used or wanted."""
        tenant = self.tenant
        ahead = int(self._arrivals_per_s * PREFETCH_S)
        requests = tokens = held = wanted = 0
        if tenant.requests_per_s is not None:
            requests = max(0, num_waiting + ahead - self._num_requests)
        if tenant.prompt_tokens_per_s is not None:
            ahead_tokens = int(ahead * self._prompt_tokens_per_request)
            tokens = max(0, num_waiting_prompt_tokens + ahead_tokens - self._num_prompt_tokens)
        if tenant.max_concurrent_requests is not None:
            leased_running = max(0, self.num_running - self._standing_slots)
            held = max(self.leased_slots(now_s), leased_running)
            all_wanted = self.num_running + num_waiting + min(1, ahead)
            wanted = max(0, all_wanted - self._standing_slots)
        if not (requests or tokens or held or wanted):
            return None
        return TenantDemand(self.digest, requests, tokens, held, wanted)

    def take(self, granted: TenantGrant, asked_at_s: float) -> None:
        """Add what the home gave in answer to the latest demand, sent at `asked_at_s`."""
        if granted.num_requests or granted.num_prompt_tokens or granted.slots > self._slots:
            self._ask_wait_s = MIN_ASK_WAIT_S
            self._ask_at_s = asked_at_s + MIN_ASK_WAIT_S
        self._num_requests += granted.num_requests
        self._num_prompt_tokens += granted.num_prompt_tokens
        self._slots = granted.slots
        self._slots_until_s = asked_at_s + NODE_LEASE_S
        self._expected_per_s = granted.requests_per_s
