"""Assign each engine a home node by rendezvous hashing, preferring nodes of its zone."""

from collections.abc import Sequence

from weirscale.domain.configuration.model import Deployment, Engine
from weirscale.domain.identifiers import NodeAddress, ZoneName
from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight
from weirscale.node.interfaces import ConfigurationView, MembershipView, Peer, PeerState

MAX_SCOPE_NODES = 32
"""In a region with more nodes, digests are sent only to the engine's zone, because the bytes sent
grow with the number of receivers."""


def home_of(engine: Engine, peers: Sequence[Peer]) -> Peer | None:
    """Return the node that is the home of an engine, or None without any staying node.

    Suspect nodes remain homes until they are declared dead, so that a short suspicion moves no
    engine. Leaving nodes hand over at once. If the engine's zone has no node, nodes of all zones
    are considered.
    """
    staying = [peer for peer in peers if peer.state is not PeerState.LEAVING]
    local = [peer for peer in staying if peer.zone == engine.zone]
    key = rendezvous_key(engine.name)
    return max(
        local or staying,
        key=lambda peer: rendezvous_weight(peer.node.name, key),
        default=None,
    )


def receivers_in_scope(
    zone: ZoneName, membership: MembershipView, configuration: ConfigurationView
) -> list[NodeAddress]:
    """Return the addresses of the other nodes that choose among a zone's engines.

    These are the nodes of the zone's region, or only those of the zone if the region has more than
    `MAX_SCOPE_NODES` nodes.
    """
    in_force = configuration.current()
    if in_force is None:
        return []
    zones = _region_zones(zone, in_force.deployment)
    region = [peer for peer in membership.peers() if peer.zone in zones]
    if len(region) > MAX_SCOPE_NODES:
        region = [peer for peer in region if peer.zone == zone]
    return [peer.address for peer in region if peer.node != membership.self_id]


def _region_zones(zone: ZoneName, deployment: Deployment) -> frozenset[ZoneName]:
    for region in deployment.regions:
        if zone in region.zones:
            return frozenset(region.zones)
    return frozenset((zone,))
