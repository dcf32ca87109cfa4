"""Answers `explain`: what any node remembers of a request, asked of any node."""

import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.messages.explain import DecisionRecord, ExplainReply, ExplainRequest
from weirscale.node.interfaces import MembershipView, Peer
from weirscale.node.peers.first_answer import first_answer
from weirscale.node.peers.link import PeerLink
from weirscale.node.routing.decisions import DecisionLog

EXPLAIN_TIMEOUT_S = 2.0
"""Longest wait for one peer."""


class Explainer:
    """Finds the record of a request on this node or on the one that served it.

    Args:
        decisions: What this node remembers.
        link: Calls to other nodes.
        membership: The other nodes.
    """

    def __init__(self, decisions: DecisionLog, link: PeerLink, membership: MembershipView) -> None:
        self._decisions = decisions
        self._link = link
        self._membership = membership
        link.on_call(ExplainRequest, self._answer)

    async def explain(self, request_id: RequestId) -> DecisionRecord | None:
        """Return the record, asking every live peer if this node has none."""
        own = self._decisions.find(request_id)
        if own is not None:
            return own
        own_id = self._membership.self_id
        peers = [peer for peer in self._membership.peers() if peer.node != own_id]
        peers.sort(key=lambda peer: not _may_have_made(peer, request_id))
        request = ExplainRequest(request_id)
        return await first_answer(self._link, peers, request, EXPLAIN_TIMEOUT_S, _record_in)

    async def _answer(self, message: msgspec.Struct) -> ExplainReply:
        assert isinstance(message, ExplainRequest)
        return ExplainReply(self._decisions.find(message.request_id))


def _may_have_made(peer: Peer, request_id: RequestId) -> bool:
    """Whether the id names the peer, as ids do that a node has made; such a peer is asked first."""
    return request_id.startswith(f"{peer.node.name}-")


def _record_in(reply: msgspec.Struct) -> DecisionRecord | None:
    return reply.record if isinstance(reply, ExplainReply) else None
