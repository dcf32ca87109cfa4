"""Who should hold the claims of a group, and when its holders must change."""

from collections.abc import Sequence

import msgspec

from weirscale.domain.claims.model import GroupEpoch, Holder
from weirscale.domain.identifiers import NodeId, ZoneName
from weirscale.domain.rendezvous import rendezvous_weight


class LiveNode(msgspec.Struct, frozen=True):
    """A node as membership sees it.

    Attributes:
        holder: Its run, address and zone.
        may_hold: False when it is leaving: it hands its claims on.
    """

    holder: Holder
    may_hold: bool


def rank(group: int, node: NodeId) -> int:
    """Rendezvous score of a node for a group; the highest is first."""
    return rendezvous_weight(node.name, group + 1)


def planner_of(group: int, nodes: Sequence[LiveNode]) -> NodeId | None:
    """The node that changes the group's holders when that is due."""
    candidates = [node.holder.node for node in nodes if node.may_hold]
    return max(candidates, key=lambda node: (rank(group, node), node), default=None)


def choose_holders(
    group: int, record: GroupEpoch | None, nodes: Sequence[LiveNode], num_holders: int
) -> tuple[Holder, ...]:
    """Choose holders in as many zones as there are, keeping present ones where they fit."""
    present = {holder.node for holder in record.holders} if record is not None else set()
    eligible = [node.holder for node in nodes if node.may_hold]
    eligible.sort(key=lambda each: (each.node in present, rank(group, each.node)), reverse=True)
    chosen: list[Holder] = []
    num_in_zone: dict[ZoneName, int] = {}
    while eligible and len(chosen) < num_holders:
        best = min(eligible, key=lambda each: num_in_zone.get(each.zone, 0))
        eligible.remove(best)
        chosen.append(best)
        num_in_zone[best.zone] = num_in_zone.get(best.zone, 0) + 1
    return tuple(sorted(chosen, key=lambda each: each.node))


def needs_change(
    group: int, record: GroupEpoch | None, nodes: Sequence[LiveNode], num_holders: int
) -> bool:
    """Whether the group should have other holders than it has."""
    holders = choose_holders(group, record, nodes, num_holders)
    if not holders or record is None:
        return bool(holders)
    return {holder.node for holder in holders} != {holder.node for holder in record.holders}


def lost_holders(record: GroupEpoch, nodes: Sequence[LiveNode]) -> tuple[Holder, ...]:
    """Holders of the record whose run membership no longer sees."""
    live = {node.holder.node for node in nodes}
    return tuple(holder for holder in record.holders if holder.node not in live)


def has_lost_quorum(record: GroupEpoch, num_lost: int) -> bool:
    """Whether so many holders are gone that a quorum can never be had again."""
    return len(record.holders) - num_lost < record.quorum
