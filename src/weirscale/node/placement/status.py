"""Answer requests of other nodes for the progress of rollouts."""

import msgspec

from weirscale.messages.placement import PlacementStatusReply, PlacementStatusRequest
from weirscale.node.interfaces import MembershipView
from weirscale.node.peers.first_answer import first_answer
from weirscale.node.peers.link import PeerLink
from weirscale.node.placement.task import PlacementTask

STATUS_TIMEOUT_S = 2.0


class PlacementStatus:
    """Serves `PlacementStatusRequest` on this node."""

    def __init__(self, task: PlacementTask, link: PeerLink, membership: MembershipView) -> None:
        self._task = task
        self._link = link
        self._membership = membership
        link.on_call(PlacementStatusRequest, self._answer)

    def current(self) -> PlacementStatusReply:
        """Return the status known to this node."""
        return PlacementStatusReply(
            self._membership.self_id.name, self._task.is_planner(), self._task.progress()
        )

    async def of_planner(self) -> PlacementStatusReply | None:
        """Return the planner's status; None if no live node reports being the planner."""
        own = self.current()
        if own.is_planner:
            return own
        own_id = self._membership.self_id
        peers = [peer for peer in self._membership.peers() if peer.node != own_id]
        request = PlacementStatusRequest()
        return await first_answer(self._link, peers, request, STATUS_TIMEOUT_S, _planner_reply)

    async def _answer(self, message: msgspec.Struct) -> PlacementStatusReply:
        return self.current()


def _planner_reply(reply: msgspec.Struct) -> PlacementStatusReply | None:
    return reply if isinstance(reply, PlacementStatusReply) and reply.is_planner else None
