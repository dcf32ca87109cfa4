"""Assignment of tenants' limits to homes: the nodes of a zone that keep them."""

import msgspec
import xxhash

from weirscale.domain.identifiers import NodeAddress, TenantName, ZoneName
from weirscale.domain.rendezvous import rendezvous_weight

NUM_SHARDS = 8
"""Shards of the tenants, each with a home in every zone.

The shards spread the work, while a node's demands still fit into a few datagrams."""


class Member(msgspec.Struct, frozen=True):
    """A live node."""

    address: NodeAddress
    zone: ZoneName


def tenant_digest(name: TenantName) -> int:
    """Return the 32-bit digest of a tenant's name."""
    return xxhash.xxh32_intdigest(name.encode())


def choose_homes(addresses: list[NodeAddress]) -> list[NodeAddress]:
    """Return the home of each shard.

    It is the node with the highest score among the nodes that have the fewest shards so far.
    """
    num_shards = dict.fromkeys(addresses, 0)
    homes = []
    for shard in range(NUM_SHARDS):
        least = min(num_shards.values())
        free = [address for address in addresses if num_shards[address] == least]
        home = max(free, key=lambda address: _score(address, shard))
        num_shards[home] += 1
        homes.append(home)
    return homes


def _score(address: NodeAddress, shard: int) -> int:
    return rendezvous_weight(f"{address.host}:{address.port}", shard + 1)
