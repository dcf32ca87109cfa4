"""Keeps one node from taking all of a scarce tenant's tokens because it asks more often."""

from weirscale.domain.identifiers import NodeAddress

LACKING_S = 1.0
"""How long a node that went short counts as waiting; above its longest demand interval."""
SLACK = 2
"""Tokens by which a node may be ahead of the one that has had least."""
NO_BOUND = 2**31
"""While no other node goes short."""


class NodeFairness:
    """Counts what nodes were given while several went short."""

    def __init__(self) -> None:
        self._given: dict[NodeAddress, int] = {}
        self._lacking_since_s: dict[NodeAddress, float] = {}

    def most_for(self, source: NodeAddress, now_s: float) -> int:
        """Most tokens that a node may get now."""
        self._drop_satisfied(now_s)
        others = [self._given[other] for other in self._lacking_since_s if other != source]
        if not others:
            return NO_BOUND
        least = min(others)
        return max(0, least + SLACK - self._given.get(source, least))

    def note(self, source: NodeAddress, num_given: int, is_short: bool, now_s: float) -> None:
        """A node was given tokens, all that it wanted or fewer."""
        start = min(self._given.values(), default=0)
        self._given[source] = self._given.get(source, start) + num_given
        if is_short:
            self._lacking_since_s[source] = now_s
        else:
            self._lacking_since_s.pop(source, None)

    def _drop_satisfied(self, now_s: float) -> None:
        for source, at_s in list(self._lacking_since_s.items()):
            if now_s - at_s > LACKING_S:
                del self._lacking_since_s[source]
        if not self._lacking_since_s:
            self._given.clear()
