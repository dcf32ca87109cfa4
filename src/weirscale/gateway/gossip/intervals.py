"""Intervals at which nodes send gossip, by the size of the fleet."""

from weirscale.gateway.peers.registrations import PeerDirectory

REFRESH_INTERVAL_S = 1.0
"""Seconds after which all values are sent again, changed or not. This makes up for lost datagrams,
and a refresh also serves as a heartbeat."""

INTERVAL_S_PER_GROUP = 0.03
MIN_INTERVAL_S = 0.05
MAX_INTERVAL_S = 0.3
"""Seconds between two messages of a node: 30 ms per group, within these bounds.

With many groups, most values at a node are some tenths of a second old, since they pass through two
heads. Fresher values from its own group alone gain little, so fewer, larger messages suffice. With
20 ms per group, a node in a fleet of 30 would receive 167 messages a second, where 115 are allowed
(docs/DECISIONS.md, N3)."""


def gossip_interval_s(num_groups: int) -> float:
    """Return the seconds between a node's messages to its group, and a head's to other groups."""
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, INTERVAL_S_PER_GROUP * num_groups))


class GossipPace:
    """Current interval of this node's gossip.

    Args:
        peers: The registered nodes and their division into groups.
    """

    def __init__(self, peers: PeerDirectory) -> None:
        self._peers = peers

    def interval_s(self) -> float:
        """Return the seconds between messages in a fleet of this size."""
        return gossip_interval_s(len(self._peers.division().groups))

    def delay_s(self) -> float:
        """Return by how many seconds loads arrive later than in a fleet of one group."""
        return self.interval_s() - MIN_INTERVAL_S


class RefreshTimer:
    """Determines when all values are to be sent, not only those that have changed.

    Args:
        interval_s: Seconds between two refreshes.
    """

    def __init__(self, interval_s: float = REFRESH_INTERVAL_S) -> None:
        self._interval_s = interval_s
        self._refreshed_at_s = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether the interval has passed; if so, start the next one."""
        if now_s - self._refreshed_at_s < self._interval_s:
            return False
        self._refreshed_at_s = now_s
        return True
