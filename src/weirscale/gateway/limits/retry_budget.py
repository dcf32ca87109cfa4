"""The retry budget shared by all nodes without any communication between them.

**Shared limit.** In any window, all nodes together may retry, for each service, a share of its
requests plus a fixed extra. The deployment sets both. **Rule.** Each node spends the share of its
own requests and its equal part of the extra. So the sum holds whatever the other nodes do, and a
node that is cut off continues as before. A restarted node has no record of what its previous
process spent, so it does not use the extra for one window.
"""

from collections import deque

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.settings import RetryBudgetRules


class _EventWindow:
    """Times of recent events; `count` drops those before its window."""

    def __init__(self) -> None:
        self._times_s: deque[float] = deque()

    def add(self, now_s: float) -> None:
        self._times_s.append(now_s)

    def count(self, since_s: float) -> int:
        while self._times_s and self._times_s[0] < since_s:
            self._times_s.popleft()
        return len(self._times_s)


class SharedRetryBudget:
    """Limits the retries of one node.

    Args:
        rules: The budget of all nodes together.
        started_at_s: Start of this process, in monotonic seconds.
        skips_first_window: Whether to use none of the extra for one window, because a previous
            process of this node may have spent it.
    """

    def __init__(
        self, rules: RetryBudgetRules, started_at_s: float, skips_first_window: bool
    ) -> None:
        self._rules = rules
        self._extra_from_s = started_at_s + (rules.window_s if skips_first_window else 0.0)
        self._requests: dict[ServiceName, _EventWindow] = {}
        self._retries: dict[ServiceName, _EventWindow] = {}

    def set_rules(self, rules: RetryBudgetRules) -> None:
        """Replace the rules."""
        self._rules = rules

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """Record the first attempt of a caller's request."""
        self._requests.setdefault(service, _EventWindow()).add(now_s)

    def try_take(self, service: ServiceName, num_nodes: int, now_s: float) -> bool:
        """Spend one retry; return False if the budget does not allow it.

        Args:
            service: Service that receives the retry.
            num_nodes: Number of nodes that share the extra: all that may be running.
            now_s: Monotonic seconds.
        """
        if self.remaining(service, num_nodes, now_s) < 1.0:
            return False
        self._retries.setdefault(service, _EventWindow()).add(now_s)
        return True

    def remaining(self, service: ServiceName, num_nodes: int, now_s: float) -> float:
        """Return how many retries are left now; below 0 if the budget was exceeded."""
        since_s = now_s - self._rules.window_s
        requests = self._requests.setdefault(service, _EventWindow()).count(since_s)
        retries = self._retries.setdefault(service, _EventWindow()).count(since_s)
        extra = self._rules.extra / max(1, num_nodes) if now_s >= self._extra_from_s else 0.0
        return self._rules.safety * (self._rules.share * requests + extra) - retries
