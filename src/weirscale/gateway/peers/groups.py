"""Divides the nodes into small groups, so that what a node receives does not grow with the fleet.

Within a group every node sends every other its gossip. One node of each group, its head, sends
the sum to the heads of the other groups, and to its own group the sum of theirs
(`gossip.group_relay`). All nodes work out the same division from the same registrations. A fleet
that fits into one group is one group.
"""

from collections.abc import Collection, Mapping

import msgspec
import xxhash

from weirscale.domain.identifiers import ZoneName

MOST_MEMBERS = 12
"""More nodes than this are divided: by zone first, since bytes between zones are dear, then by
hash. A node receives from this many others, some three times a second from each; measured in
docs/design/0014-size.md."""

HASH_BITS = 64
"""Bits of `name_hash`."""


class Member(msgspec.Struct, frozen=True):
    """A registered node.

    Attributes:
        name: Its name.
        zone: Its zone.
        capacity: How much it can do for others, in hundredths of an ordinary machine.
    """

    name: str
    zone: ZoneName
    capacity: int = 0


class Division(msgspec.Struct, frozen=True):
    """All groups of a fleet.

    Attributes:
        groups: Each group's members by the group's name, who should be head first.
        group_of: The group's name by a member's name.
    """

    groups: Mapping[str, tuple[Member, ...]]
    group_of: Mapping[str, str]

    def group_members(self, name: str) -> tuple[Member, ...]:
        """Return a node's group, itself included; empty for an unknown node."""
        group = self.group_of.get(name)
        return () if group is None else self.groups[group]


def divide(members: Collection[Member]) -> Division:
    """Return the division of these nodes."""
    groups: dict[str, list[Member]] = {}
    for member in members:
        groups.setdefault("", []).append(member)
    if len(members) > MOST_MEMBERS:
        groups = _divide_by_zone(members)
    ranked = {name: tuple(sorted(group, key=head_rank)) for name, group in groups.items()}
    group_of = {one.name: name for name, group in ranked.items() for one in group}
    return Division(ranked, group_of)


def _divide_by_zone(members: Collection[Member]) -> dict[str, list[Member]]:
    zones: dict[ZoneName, list[Member]] = {}
    for member in members:
        zones.setdefault(member.zone, []).append(member)
    groups: dict[str, list[Member]] = {}
    for zone, inhabitants in zones.items():
        num_bits = 0
        while len(inhabitants) > MOST_MEMBERS << num_bits:
            num_bits += 1
        for member in inhabitants:
            share = name_hash(member.name) >> (HASH_BITS - num_bits)
            groups.setdefault(f"{zone}/{num_bits}/{share}", []).append(member)
    return groups


def head_rank(member: Member) -> tuple[int, int, str]:
    """Return a sort key: the greatest capacity first, then by hash, so that duties spread."""
    return -member.capacity, name_hash(member.name), member.name


def name_hash(name: str) -> int:
    """Return the hash that orders nodes; the same on all nodes."""
    return xxhash.xxh64_intdigest(name.encode())
