"""How often nodes send gossip, by the size of the fleet."""

from weirscale.gateway.peers.registrations import PeerDirectory

REFRESH_INTERVAL_S = 1.0
"""Seconds after which all values are sent again, changed or not: a lost datagram is made good by
then, and a refresh is a heartbeat as well. Not measured."""

INTERVAL_S_PER_GROUP = 0.03
MIN_INTERVAL_S = 0.05
MAX_INTERVAL_S = 0.3
"""Seconds between two messages of a node: 30 ms for each group, within these bounds.

With many groups most of what a node knows is some tenths of a second old from its way over two
heads, and fresher values of its own group alone gain little: fewer, larger messages do. With 20 ms
for each group a node of 30 would receive 167 messages a second, where 115 are allowed
(docs/DECISIONS.md, N3). The bounds were not measured by themselves."""


def gossip_interval_s(num_groups: int) -> float:
    """Return the time between a node's messages to its group, and between a head's to others."""
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, INTERVAL_S_PER_GROUP * num_groups))


class GossipPace:
    """How often this node sends gossip now.

    Args:
        peers: The registered nodes and their division into groups.
    """

    def __init__(self, peers: PeerDirectory) -> None:
        self._peers = peers

    def interval_s(self) -> float:
        """Return the time between messages in a fleet of this size."""
        return gossip_interval_s(len(self._peers.division().groups))

    def delay_s(self) -> float:
        """Return how much later other nodes' loads arrive than in a fleet of one group."""
        return self.interval_s() - MIN_INTERVAL_S


class RefreshTimer:
    """Tells when everything is to be sent again, not only what has changed.

    Args:
        interval_s: Time between two refreshes.
    """

    def __init__(self, interval_s: float = REFRESH_INTERVAL_S) -> None:
        self._interval_s = interval_s
        self._refreshed_at_s = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether the interval has passed; if so, the next one begins."""
        if now_s - self._refreshed_at_s < self._interval_s:
            return False
        self._refreshed_at_s = now_s
        return True
