"""Reports which nodes have the configuration in force, and which lag and why."""

import anyio
import msgspec
from result import Err

from weirscale.domain.identifiers import ConfigurationRevision, ZoneName
from weirscale.messages.configuration import (
    NO_BASE_REVISION,
    ConfigurationStatusQuery,
    ConfigurationStatusReply,
)
from weirscale.node.configuration.holder import ConfigurationHolder
from weirscale.node.configuration.reader import ConfigurationReader
from weirscale.node.configuration.spread import ConfigurationSpread
from weirscale.node.interfaces import MembershipView, Peer, PeerState
from weirscale.node.peers.link import PeerLink

STATUS_PATH = "/operator/configuration"
"""Path on a node's operator port that returns a `FleetConfigurationStatus` as JSON."""
MAX_CONCURRENT_QUERIES = 32
QUERY_TIMEOUT_S = 2.0


class NodeConfigurationStatus(msgspec.Struct, frozen=True):
    """The configuration status of one node.

    Attributes:
        node: Name of the node.
        zone: Zone of the node.
        revision: Revision in force on the node; None if the node did not answer.
        lag_reason: Why the node lags; empty if it does not.
    """

    node: str
    zone: ZoneName
    revision: ConfigurationRevision | None
    lag_reason: str


class FleetConfigurationStatus(msgspec.Struct, frozen=True):
    """The configuration status of all live nodes, as collected by one node.

    Attributes:
        revision: The highest revision that any node knows of.
        nodes: The status of each node, sorted by name.
        store_problem: Why the collecting node cannot read the store; empty if it can, or does not
            read it.
    """

    revision: ConfigurationRevision
    nodes: tuple[NodeConfigurationStatus, ...]
    store_problem: str

    def lagging(self, revision: ConfigurationRevision) -> tuple[NodeConfigurationStatus, ...]:
        """Return the nodes that have neither the given nor a higher revision in force."""
        return tuple(
            node_status
            for node_status in self.nodes
            if node_status.revision is None or node_status.revision < revision
        )


class ConfigurationStatusTask:
    """Answers status queries of peers, and queries all nodes for an operator."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        spread: ConfigurationSpread,
        reader: ConfigurationReader,
        link: PeerLink,
        membership: MembershipView,
        zone: ZoneName,
    ) -> None:
        self._holder = holder
        self._spread = spread
        self._reader = reader
        self._link = link
        self._membership = membership
        self._zone = zone
        link.on_call(ConfigurationStatusQuery, self._answer)

    async def fleet_status(self) -> FleetConfigurationStatus:
        """Query every node; this takes at most a few query timeouts."""
        replies: dict[Peer, ConfigurationStatusReply | str] = {}
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
        async with anyio.create_task_group() as tasks:
            for peer in self._membership.peers():
                tasks.start_soon(self._query_node, peer, replies, limiter)
        answered = [reply for reply in replies.values() if not isinstance(reply, str)]
        highest = max((reply.highest_known for reply in answered), default=NO_BASE_REVISION)
        nodes = [_node_status(peer, reply, highest) for peer, reply in replies.items()]
        nodes.sort(key=lambda status: status.node)
        return FleetConfigurationStatus(highest, tuple(nodes), self._reader.last_problem)

    async def _query_node(
        self,
        peer: Peer,
        replies: dict[Peer, ConfigurationStatusReply | str],
        limiter: anyio.CapacityLimiter,
    ) -> None:
        query = ConfigurationStatusQuery()
        if peer.node == self._membership.self_id:
            replies[peer] = await self._answer(query)
            return
        async with limiter:
            answer = await self._link.call(peer.address, query, QUERY_TIMEOUT_S)
        if isinstance(answer, Err):
            replies[peer] = answer.err_value.detail
        elif isinstance(answer.ok_value, ConfigurationStatusReply):
            replies[peer] = answer.ok_value
        else:
            replies[peer] = "replied with an unexpected message: run one version on all nodes"

    async def _answer(self, _query: msgspec.Struct) -> ConfigurationStatusReply:
        return ConfigurationStatusReply(
            node=self._membership.self_id,
            zone=self._zone,
            revision=self._holder.revision,
            highest_known=self._holder.highest_known,
            is_reader=self._reader.is_reader,
            last_problem=self._spread.last_problem or self._reader.last_problem,
        )


def _node_status(
    peer: Peer, reply: ConfigurationStatusReply | str, highest: ConfigurationRevision
) -> NodeConfigurationStatus:
    name, zone = peer.node.name, peer.zone
    if isinstance(reply, str):
        state = f"{peer.state.value}, " if peer.state is not PeerState.ALIVE else ""
        return NodeConfigurationStatus(name, zone, None, f"{state}no answer: {reply}")
    if reply.revision >= highest:
        return NodeConfigurationStatus(name, zone, reply.revision, "")
    if reply.highest_known < highest:
        reason = f"does not know of revision {highest}"
    else:
        reason = f"knows of revision {highest} but has not fetched it"
    if reply.last_problem:
        reason += f" ({reply.last_problem})"
    return NodeConfigurationStatus(name, zone, reply.revision, reason)
