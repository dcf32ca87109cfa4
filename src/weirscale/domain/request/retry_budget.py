"""Retry budget: limits retries to a share of traffic, to avoid overloading a failing zone."""

from weirscale.domain.configuration.model import RetryRules

MAX_BANKED_S = 10.0
"""Maximum unused allowance, in seconds of `min_retries_per_s`."""

MAX_BANKED_RETRIES = 100.0
"""Maximum retries saved from past traffic, so that a long calm does not allow a retry storm."""


class RetryBudget:
    """A node's bucket of retry tokens.

    Each first attempt adds `budget_ratio` tokens, and time adds `min_retries_per_s`. Each retry or
    hedge takes one token.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._refilled_at_s = now_s
        self._has_started = False

    def record_first_attempt(self, rules: RetryRules) -> None:
        """Add the tokens for the first attempt of a request."""
        self._tokens = min(MAX_BANKED_RETRIES, self._tokens + rules.budget_ratio)

    def try_take(self, rules: RetryRules, now_s: float) -> bool:
        """Take a token for a retry; return False if the budget is exhausted."""
        self._refill(rules, now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, rules: RetryRules, now_s: float) -> None:
        max_banked = rules.min_retries_per_s * MAX_BANKED_S
        if not self._has_started:
            self._has_started = True
            self._tokens += max_banked
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        if self._tokens < max_banked:
            earned = elapsed_s * rules.min_retries_per_s
            self._tokens = min(max_banked, self._tokens + earned)
