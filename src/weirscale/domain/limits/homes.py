"""Which node of a zone is home to which tenants' limits."""

import msgspec
import xxhash

from weirscale.domain.identifiers import NodeAddress, TenantName, ZoneName
from weirscale.domain.rendezvous import rendezvous_weight

NUM_SHARDS = 8
"""Homes of a zone: spreads the work, while a node's demands still fit a few datagrams."""


class Member(msgspec.Struct, frozen=True):
    """A live node."""

    address: NodeAddress
    zone: ZoneName


def tenant_digest(name: TenantName) -> int:
    """32-bit digest of a tenant's name."""
    return xxhash.xxh32_intdigest(name.encode())


def choose_homes(addresses: list[NodeAddress]) -> list[NodeAddress]:
    """The home of each shard: the highest score among nodes that have the fewest shards yet."""
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
