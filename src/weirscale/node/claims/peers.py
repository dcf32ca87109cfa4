"""Calls to claim holders, on other nodes or on this node."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
from result import Err

from weirscale.domain.claims.model import Holder
from weirscale.domain.claims.planning import LiveNode
from weirscale.node.interfaces import MembershipView, PeerState
from weirscale.node.peers.link import PeerLink

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class ClaimPeers:
    """Typed calls over the peer link.

    Args:
        link: Carries the calls to other nodes.
        membership: The live nodes.
        answer_here: Answers a call to this node itself, without the link.
    """

    def __init__(
        self,
        link: PeerLink,
        membership: MembershipView,
        answer_here: Callable[[msgspec.Struct], Awaitable[msgspec.Struct]],
    ) -> None:
        self._link = link
        self._membership = membership
        self._answer_here = answer_here

    async def ask(
        self,
        holder: Holder,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout_s: float,
    ) -> ReplyT | None:
        """Call a node and return its reply; None on failure, timeout or a reply of another type."""
        if holder.node == self._membership.self_id:
            reply = await self._answer_here(message)
            return reply if isinstance(reply, reply_type) else None
        answer = await self._link.call(holder.address, message, timeout_s)
        if isinstance(answer, Err) or not isinstance(answer.ok_value, reply_type):
            return None
        return answer.ok_value

    async def send_cast(self, holder: Holder, message: msgspec.Struct) -> None:
        """Send a message that is not answered and may be lost."""
        await self._link.cast(holder.address, message)

    def nodes(self) -> tuple[LiveNode, ...]:
        """Return all live nodes, this one included; leaving nodes may not become holders."""
        return tuple(
            LiveNode(
                Holder(peer.node, peer.address, peer.zone),
                may_hold=peer.state is not PeerState.LEAVING,
            )
            for peer in self._membership.peers()
        )

    def others(self) -> tuple[Holder, ...]:
        """Return all live nodes except this one."""
        own = self._membership.self_id
        return tuple(
            Holder(peer.node, peer.address, peer.zone)
            for peer in self._membership.peers()
            if peer.node != own
        )
