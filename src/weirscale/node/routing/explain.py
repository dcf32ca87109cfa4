"""Answer `explain` on any node with the decision record that some node has of a request."""

import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.messages.explain import DecisionRecord, ExplainReply, ExplainRequest
from weirscale.node.interfaces import MembershipView, Peer
from weirscale.node.peers.first_answer import first_answer
from weirscale.node.peers.link import PeerLink
from weirscale.node.routing.decisions import DecisionLog

EXPLAIN_TIMEOUT_S = 2.0
"""Longest wait for the answer of one peer."""


class Explainer:
    """Finds the record of a request on this node or on the one that served it.

    Args:
        decisions: This node's decision log.
        link: Calls other nodes and answers their requests.
        membership: The live nodes.
    """

    def __init__(self, decisions: DecisionLog, link: PeerLink, membership: MembershipView) -> None:
        self._decisions = decisions
        self._link = link
        self._membership = membership
        link.on_call(ExplainRequest, self._answer)

    async def explain(self, request_id: RequestId) -> DecisionRecord | None:
        """Return the record of a request; if this node has none, query every live peer."""
        own = self._decisions.find(request_id)
        if own is not None:
            return own
        own_id = self._membership.self_id
        peers = [peer for peer in self._membership.peers() if peer.node != own_id]
        peers.sort(key=lambda peer: not _may_have_served(peer, request_id))
        request = ExplainRequest(request_id)
        return await first_answer(self._link, peers, request, EXPLAIN_TIMEOUT_S, _extract_record)

    async def _answer(self, message: msgspec.Struct) -> ExplainReply:
        assert isinstance(message, ExplainRequest)
        return ExplainReply(self._decisions.find(message.request_id))


def _may_have_served(peer: Peer, request_id: RequestId) -> bool:
    """Return whether the request id names the peer.

    Ids that a node generates begin with its name, so that node is queried first.
    """
    return request_id.startswith(f"{peer.node.name}-")


def _extract_record(reply: msgspec.Struct) -> DecisionRecord | None:
    return reply.record if isinstance(reply, ExplainReply) else None
