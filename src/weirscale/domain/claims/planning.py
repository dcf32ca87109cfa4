"""Choice of the nodes that hold a group's claims, and of the time to change them."""

from collections.abc import Sequence

import msgspec

from weirscale.domain.claims.model import GroupEpoch, Holder
from weirscale.domain.identifiers import NodeId, ZoneName
from weirscale.domain.rendezvous import rendezvous_weight


class LiveNode(msgspec.Struct, frozen=True):
    """A live member of the fleet.

    Attributes:
        holder: The node's run, address and zone.
        may_hold: Whether the node may hold claims; False while it leaves the fleet.
    """

    holder: Holder
    may_hold: bool


def rank(group: int, node: NodeId) -> int:
    """Return the rendezvous weight of a node for a group; the highest weight ranks first."""
    return rendezvous_weight(node.name, group + 1)


def planner_of(group: int, nodes: Sequence[LiveNode]) -> NodeId | None:
    """Return the node that is responsible for changes of the group's holders."""
    candidates = [node.holder.node for node in nodes if node.may_hold]
    return max(candidates, key=lambda node: (rank(group, node), node), default=None)


def choose_holders(
    group: int, record: GroupEpoch | None, nodes: Sequence[LiveNode], num_holders: int
) -> tuple[Holder, ...]:
    """Choose holders in as many zones as possible; among equals, prefer current holders."""
    current = {holder.node for holder in record.holders} if record is not None else set()
    eligible = [node.holder for node in nodes if node.may_hold]
    eligible.sort(
        key=lambda holder: (holder.node in current, rank(group, holder.node)), reverse=True
    )
    chosen: list[Holder] = []
    num_in_zone: dict[ZoneName, int] = {}
    while eligible and len(chosen) < num_holders:
        best = min(eligible, key=lambda holder: num_in_zone.get(holder.zone, 0))
        eligible.remove(best)
        chosen.append(best)
        num_in_zone[best.zone] = num_in_zone.get(best.zone, 0) + 1
    return tuple(sorted(chosen, key=lambda holder: holder.node))


def needs_change(
    group: int, record: GroupEpoch | None, nodes: Sequence[LiveNode], num_holders: int
) -> bool:
    """Return whether the group's holders differ from those that it should have."""
    holders = choose_holders(group, record, nodes, num_holders)
    if not holders or record is None:
        return bool(holders)
    return {holder.node for holder in holders} != {holder.node for holder in record.holders}


def lost_holders(record: GroupEpoch, nodes: Sequence[LiveNode]) -> tuple[Holder, ...]:
    """Return the holders of the record whose run is no longer a live member."""
    live = {node.holder.node for node in nodes}
    return tuple(holder for holder in record.holders if holder.node not in live)


def has_lost_quorum(record: GroupEpoch, num_lost: int) -> bool:
    """Return whether too few holders remain to form a quorum."""
    return len(record.holders) - num_lost < record.quorum
