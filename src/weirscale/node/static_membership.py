"""A fixed list of nodes, for deployments that are wired by hand."""

from weirscale.domain.identifiers import NodeId
from weirscale.node.interfaces import Peer


class StaticMembership:
    """Implements `MembershipView` without failure detection.

    Args:
        self_id: This node.
        peers: All nodes, this one included.
    """

    def __init__(self, self_id: NodeId, peers: tuple[Peer, ...]) -> None:
        self._self_id = self_id
        self._peers = tuple(sorted(peers, key=lambda peer: peer.node))

    @property
    def self_id(self) -> NodeId:
        """This node's own identity."""
        return self._self_id

    def peers(self) -> tuple[Peer, ...]:
        """All nodes, sorted by id."""
        return self._peers

    def version(self) -> int:
        """Never changes."""
        return 0
