"""Divides nodes into small groups, so that a node's inbound traffic does not grow with the fleet.

Within a group, every node sends its gossip to every other node. One node of each group, the head,
sends the sum of its group to the heads of the other groups, and the sum of the other groups to its
own group (`gossip.group_relay`). All nodes compute the same division from the same registrations. A
fleet that fits into one group forms a single group.
"""

from collections.abc import Collection, Mapping

import msgspec
import xxhash

from weirscale.domain.identifiers import ZoneName

MAX_GROUP_MEMBERS = 12
"""Maximum number of nodes in a group. Larger fleets are divided by zone first, because traffic
between zones is expensive, then by hash. A node receives messages from this many others, about
three times a second from each (docs/design/0014-size.md)."""

HASH_BITS = 64
"""Bits of `name_hash`."""


class Member(msgspec.Struct, frozen=True):
    """A registered node.

    Attributes:
        name: Its name.
        zone: Its zone.
        capacity: Capacity for work done on behalf of other nodes, in hundredths of an ordinary
            machine.
    """

    name: str
    zone: ZoneName
    capacity: int = 0


class Division(msgspec.Struct, frozen=True):
    """All groups of a fleet.

    Attributes:
        groups: Members of each group by the group's name, in order of preference as its head.
        group_of: Name of the group by a member's name.
    """

    groups: Mapping[str, tuple[Member, ...]]
    group_of: Mapping[str, str]

    def group_members(self, name: str) -> tuple[Member, ...]:
        """Return the members of a node's group, including the node; empty for an unknown node."""
        group = self.group_of.get(name)
        return () if group is None else self.groups[group]


def divide(members: Collection[Member]) -> Division:
    """Divide nodes into groups."""
    groups: dict[str, list[Member]] = {}
    for member in members:
        groups.setdefault("", []).append(member)
    if len(members) > MAX_GROUP_MEMBERS:
        groups = _divide_by_zone(members)
    ranked = {name: tuple(sorted(group, key=head_rank)) for name, group in groups.items()}
    group_of = {member.name: name for name, group in ranked.items() for member in group}
    return Division(ranked, group_of)


def _divide_by_zone(members: Collection[Member]) -> dict[str, list[Member]]:
    zones: dict[ZoneName, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    groups: dict[str, list[Member]] = {}
    for zone, zone_members in zones.items():
        num_bits = 0
        while len(zone_members) > MAX_GROUP_MEMBERS << num_bits:
            num_bits += 1
        for member in zone_members:
            hash_prefix = name_hash(member.name) >> (HASH_BITS - num_bits)
            groups.setdefault(f"{zone}/{num_bits}/{hash_prefix}", []).append(member)
    return groups


def head_rank(member: Member) -> tuple[int, int, str]:
    """Return a sort key: highest capacity first, then by hash, which spreads the head's work."""
    return -member.capacity, name_hash(member.name), member.name


def name_hash(name: str) -> int:
    """Return the hash by which nodes are ordered; it is the same on all nodes."""
    return xxhash.xxh64_intdigest(name.encode())
