"""Duties as they follow from a node's current membership."""

from weirscale.domain.duties.assignment import (
    Duty,
    DutyCandidate,
    engine_home,
    holders,
)
from weirscale.domain.identifiers import EngineName, NodeId, ZoneName
from weirscale.node.interfaces import MembershipView, PeerState


class DutyView:
    """Answers who holds a duty; candidates are worked out once for each membership version."""

    def __init__(self, membership: MembershipView) -> None:
        self._membership = membership
        self._version = -1
        self._candidates: tuple[DutyCandidate, ...] = ()

    def candidates(self) -> tuple[DutyCandidate, ...]:
        """Return all live nodes."""
        version = self._membership.version()
        if version != self._version:
            self._candidates = tuple(
                DutyCandidate(peer.node, peer.zone, peer.state is PeerState.LEAVING)
                for peer in self._membership.peers()
            )
            self._version = version
        return self._candidates

    def engine_home(self, engine: EngineName, zone: ZoneName) -> NodeId | None:
        """Return the home node of an engine."""
        return engine_home(engine, zone, self.candidates())

    def is_own(self, duty: Duty, count: int, zone: ZoneName | None = None) -> bool:
        """Whether this node is among the best for a duty."""
        return self._membership.self_id in holders(duty, self.candidates(), count, zone)
