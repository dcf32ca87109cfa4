"""Selects the nodes that read the store for all nodes; every node makes the same choice."""

from collections.abc import Collection

from weirscale.domain.identifiers import RegionName
from weirscale.gateway.model.topology import ONE_REGION, Topology
from weirscale.gateway.peers.groups import Member, head_rank

MIN_READERS = 2
"""Readers of a fleet in one region, since one reader may have failed or be partitioned."""

NODES_PER_READER = 48
"""Nodes per reader. Their 120 queries a second take about 0.01 of a core. Each reader calls the
store for each change and also 2.5 times a second. With 24 nodes per reader, these calls were most
of all calls of a fleet of 195 nodes (docs/CAPACITY.md)."""


def choose_readers(members: Collection[Member], topology: Topology = ONE_REGION) -> list[str]:
    """Return the names of the nodes that read the store; the same members give the same result.

    Each region has a reader of its own, so that a change crosses the link between two regions only
    once and not for each node.
    """
    regions: dict[RegionName, list[Member]] = {}
    for member in sorted(members, key=head_rank):
        regions.setdefault(topology.region_of(member.zone), []).append(member)
    min_readers = MIN_READERS if len(regions) < MIN_READERS else 1
    readers: list[str] = []
    for region_members in regions.values():
        num_readers = max(min_readers, -(-len(region_members) // NODES_PER_READER))
        readers += [member.name for member in region_members[:num_readers]]
    return readers
