"""Which node is home of which engine: rendezvous hashing over live nodes, engine's zone first."""

from collections.abc import Sequence

from weirscale.domain.configuration.model import Deployment, Engine
from weirscale.domain.identifiers import NodeAddress, ZoneName
from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight
from weirscale.node.interfaces import ConfigurationView, MembershipView, Peer, PeerState

MAX_SCOPE_NODES = 32
"""With more nodes in a region, digests go to the engine's zone only: their bytes grow with the
receivers."""


def home_of(engine: Engine, peers: Sequence[Peer]) -> Peer | None:
    """Return the node that is home of an engine.

    Suspect nodes stay homes until they are declared dead, so that a short suspicion moves nothing;
    leaving ones hand over at once. Without a node in the engine's zone all zones take part.
    """
    staying = [peer for peer in peers if peer.state is not PeerState.LEAVING]
    near = [peer for peer in staying if peer.zone == engine.zone]
    key = rendezvous_key(engine.name)
    return max(
        near or staying,
        key=lambda peer: rendezvous_weight(peer.node.name, key),
        default=None,
    )


def receivers_in_scope(
    zone: ZoneName, membership: MembershipView, configuration: ConfigurationView
) -> list[NodeAddress]:
    """Return the other nodes that choose among a zone's engines.

    They are the nodes of the zone's region, or of the zone alone in a large region.
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
