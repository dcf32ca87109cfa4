"""Answers other nodes' questions about the progress of rollouts."""

import msgspec

from weirscale.domain.identifiers import NodeName
from weirscale.messages.placement import PlacementStatusReply, PlacementStatusRequest
from weirscale.node.interfaces import PeerLink
from weirscale.node.placement.task import PlacementTask


class PlacementStatus:
    """Serves `PlacementStatusRequest` on this node."""

    def __init__(self, node: NodeName, task: PlacementTask, link: PeerLink) -> None:
        self._node = node
        self._task = task
        link.on_call(PlacementStatusRequest, self._answer)

    def current(self) -> PlacementStatusReply:
        """Return what this node knows."""
        return PlacementStatusReply(self._node, self._task.is_planner(), self._task.progress())

    async def _answer(self, message: msgspec.Struct) -> PlacementStatusReply:
        return self.current()
