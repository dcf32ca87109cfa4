"""Duties as they follow from this node's current view of membership."""

from weirscale.domain.duties.assignment import (
    Duty,
    DutyCandidate,
    engine_home,
    holders,
)
from weirscale.domain.identifiers import EngineName, NodeId, ZoneName
from weirscale.node.interfaces import MembershipView, PeerState


class DutyView:
    """Determines the holders of duties; caches the candidates for each membership version."""

    def __init__(self, membership: MembershipView) -> None:
        self._membership = membership
        self._version = -1
        self._candidates: tuple[DutyCandidate, ...] = ()

    def candidates(self) -> tuple[DutyCandidate, ...]:
        """Return all live nodes as candidates."""
        version = self._membership.version()
        if version != self._version:
            self._candidates = tuple(
                DutyCandidate(peer.node, peer.zone, peer.state is PeerState.LEAVING)
                for peer in self._membership.peers()
            )
            self._version = version
        return self._candidates

    def engine_home(self, engine: EngineName, zone: ZoneName) -> NodeId | None:
        """Return the home node of an engine, or None if there is none."""
        return engine_home(engine, zone, self.candidates())

    def is_own(self, duty: Duty, count: int, zone: ZoneName | None = None) -> bool:
        """Return whether this node is among the `count` highest ranked candidates for a duty.

        Args:
            duty: The duty.
            count: Number of nodes that hold the duty.
            zone: Only candidates of this zone, or None for all.
        """
        return self._membership.self_id in holders(duty, self.candidates(), count, zone)
