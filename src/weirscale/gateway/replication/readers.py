"""Which nodes read the store for all: the same choice on every node."""

from collections.abc import Collection

from weirscale.domain.identifiers import RegionName
from weirscale.gateway.model.topology import ONE_REGION, Topology
from weirscale.gateway.peers.groups import Member, head_rank

MIN_READERS = 2
"""Readers of a fleet in one region: one may be dead or cut off. Not measured."""

NODES_PER_READER = 48
"""Nodes that a reader answers: 120 queries a second, some 0.01 of a core. Each reader calls the
store for each change and 2.5 times a second besides; with 24 nodes for each reader these were most
of the calls of a fleet of 195 nodes (docs/CAPACITY.md)."""


def choose_readers(members: Collection[Member], topology: Topology = ONE_REGION) -> list[str]:
    """Return the nodes that read the store: the same on every node that knows the same members.

    Each region has a reader of its own, so that a change crosses the link between two regions once
    and not for each node.
    """
    regions: dict[RegionName, list[Member]] = {}
    for member in sorted(members, key=head_rank):
        regions.setdefault(topology.region_of(member.zone), []).append(member)
    least = MIN_READERS if len(regions) < MIN_READERS else 1
    readers: list[str] = []
    for inhabitants in regions.values():
        num_readers = max(least, -(-len(inhabitants) // NODES_PER_READER))
        readers += [member.name for member in inhabitants[:num_readers]]
    return readers
