"""The retry budget that all nodes share without talking to each other.

**What is shared.** In any window all nodes together may retry, for each service, a share of its
requests plus a fixed extra; the figures are the deployment's. **The rule.** Each node spends the
share of its own requests and its equal part of the extra, so the sum holds whatever the others do,
and a node that is cut off goes on as before. A node that starts cannot know what its last run
spent, so it does not use the extra for one window.
"""

from collections import deque

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.settings import RetryBudgetRules


class _Window:
    """Times of the last events within a span."""

    def __init__(self) -> None:
        self._times_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times_s.append(now_s)

    def count(self, since_s: float) -> int:
        while self._times_s and self._times_s[0] < since_s:
            self._times_s.popleft()
        return len(self._times_s)


class SharedRetryBudget:
    """What one node may spend on retries.

    Args:
        rules: The fleet's budget.
        started_at_s: Start of this run, in monotonic seconds.
        skips_first_window: Whether an earlier run may have spent from the same window.
    """

    def __init__(
        self, rules: RetryBudgetRules, started_at_s: float, skips_first_window: bool
    ) -> None:
        self._rules = rules
        self._extra_from_s = started_at_s + (rules.window_s if skips_first_window else 0.0)
        self._requests: dict[ServiceName, _Window] = {}
        self._retries: dict[ServiceName, _Window] = {}

    def set_rules(self, rules: RetryBudgetRules) -> None:
        """Take over changed rules."""
        self._rules = rules

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """A caller's request was sent on for the first time."""
        self._requests.setdefault(service, _Window()).add(now_s)

    def try_take(self, service: ServiceName, num_nodes: int, now_s: float) -> bool:
        """Spend one retry; False if the budget does not allow it.

        Args:
            service: Service that gets the retry.
            num_nodes: Nodes that share the extra, all that may run.
            now_s: Monotonic seconds.
        """
        if self.remaining(service, num_nodes, now_s) < 1.0:
            return False
        self._retries.setdefault(service, _Window()).add(now_s)
        return True

    def remaining(self, service: ServiceName, num_nodes: int, now_s: float) -> float:
        """Return how many retries may be spent now; below 0 if more were spent."""
        since_s = now_s - self._rules.window_s
        requests = self._requests.setdefault(service, _Window()).count(since_s)
        retries = self._retries.setdefault(service, _Window()).count(since_s)
        extra = self._rules.extra / max(1, num_nodes) if now_s >= self._extra_from_s else 0.0
        return self._rules.safety * (self._rules.share * requests + extra) - retries
