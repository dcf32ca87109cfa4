"""Keeps one node from taking all scarce tokens of a tenant by sending demands more often."""

from weirscale.domain.identifiers import NodeAddress

SHORTFALL_TTL_S = 1.0
"""How long a node counts as short after an unmet demand; above its longest demand interval."""
MAX_LEAD = 2
"""Tokens by which a node may be ahead of the other short node that received the least."""
NO_BOUND = 2**31
"""The maximum grant while no other node is short: no bound in practice."""


class NodeFairness:
    """Counts the tokens that nodes received while any of them is short."""

    def __init__(self) -> None:
        self._granted: dict[NodeAddress, int] = {}
        self._short_since_s: dict[NodeAddress, float] = {}

    def max_grant(self, source: NodeAddress, now_s: float) -> int:
        """Return the maximum number of tokens that a node may get now."""
        self._drop_expired(now_s)
        others = [self._granted[other] for other in self._short_since_s if other != source]
        if not others:
            return NO_BOUND
        least = min(others)
        return max(0, least + MAX_LEAD - self._granted.get(source, least))

    def record(self, source: NodeAddress, num_granted: int, is_short: bool, now_s: float) -> None:
        """Record a grant; `is_short` if the node got fewer tokens than it asked for."""
        start = min(self._granted.values(), default=0)
        self._granted[source] = self._granted.get(source, start) + num_granted
        if is_short:
            self._short_since_s[source] = now_s
        else:
            self._short_since_s.pop(source, None)

    def _drop_expired(self, now_s: float) -> None:
        for source, at_s in list(self._short_since_s.items()):
            if now_s - at_s > SHORTFALL_TTL_S:
                del self._short_since_s[source]
        if not self._short_since_s:
            self._granted.clear()
