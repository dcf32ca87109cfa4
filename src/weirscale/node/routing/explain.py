"""Answers `explain`: what any node remembers of a request, asked of any node."""

import anyio
import msgspec
from result import Ok

from weirscale.domain.identifiers import NodeAddress, RequestId
from weirscale.messages.explain import DecisionRecord, ExplainReply, ExplainRequest
from weirscale.node.interfaces import MembershipView, Peer, PeerLink
from weirscale.node.routing.decisions import DecisionLog

EXPLAIN_TIMEOUT_S = 2.0
"""Longest wait for one peer."""

MAX_CONCURRENT_CALLS = 16
"""Peers asked at once."""


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
        for start in range(0, len(peers), MAX_CONCURRENT_CALLS):
            found = await self._ask(peers[start : start + MAX_CONCURRENT_CALLS], request_id)
            if found is not None:
                return found
        return None

    async def _ask(self, peers: list[Peer], request_id: RequestId) -> DecisionRecord | None:
        found: list[DecisionRecord] = []

        async def ask_one(address: NodeAddress) -> None:
            request = ExplainRequest(request_id)
            answer = await self._link.call(address, request, EXPLAIN_TIMEOUT_S)
            if not isinstance(answer, Ok) or not isinstance(answer.ok_value, ExplainReply):
                return
            if answer.ok_value.record is not None:
                found.append(answer.ok_value.record)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(ask_one, peer.address)
        return found[0] if found else None

    async def _answer(self, message: msgspec.Struct) -> ExplainReply:
        assert isinstance(message, ExplainRequest)
        return ExplainReply(self._decisions.find(message.request_id))


def _may_have_made(peer: Peer, request_id: RequestId) -> bool:
    """Whether the id names the peer, as ids do that a node has made; such a peer is asked first."""
    return request_id.startswith(f"{peer.node.name}-")
