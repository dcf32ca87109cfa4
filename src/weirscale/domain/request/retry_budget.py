"""Retry budget: retries are a share of live traffic, so that a failing zone is not buried."""

from weirscale.domain.configuration.model import RetryRules

MAX_BANKED_S = 10.0
"""Unused allowance is kept for as long as this many seconds of `min_retries_per_s`."""

MAX_BANKED_RETRIES = 100.0
"""Most retries that past traffic can pay for, so that a long calm does not allow a storm."""


class RetryBudget:
    """A bucket of retry tokens of one node.

    First attempts pay `budget_ratio` tokens in, time pays `min_retries_per_s`, each retry (or
    hedge) takes one out.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._refilled_at_s = now_s
        self._has_started = False

    def record_first_attempt(self, rules: RetryRules) -> None:
        """Pay in for a request's first attempt."""
        self._tokens = min(MAX_BANKED_RETRIES, self._tokens + rules.budget_ratio)

    def try_take(self, rules: RetryRules, now_s: float) -> bool:
        """Take one retry; False if the budget is spent."""
        self._refill(rules, now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, rules: RetryRules, now_s: float) -> None:
        floor_cap = rules.min_retries_per_s * MAX_BANKED_S
        if not self._has_started:
            self._has_started = True
            self._tokens += floor_cap
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        if self._tokens < floor_cap:
            earned = elapsed_s * rules.min_retries_per_s
            self._tokens = min(floor_cap, self._tokens + earned)
