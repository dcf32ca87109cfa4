"""When the holders of a group may be declared lost for good."""

from collections.abc import Sequence

from weirscale.domain.claims.authority import LOST_AFTER_S
from weirscale.domain.claims.model import GroupEpoch, Holder
from weirscale.domain.claims.planning import LiveNode, has_lost_quorum, lost_holders
from weirscale.domain.identifiers import NodeId, ZoneName


class LossDetector:
    """Remembers since when groups have been without a live majority of their holders."""

    def __init__(self) -> None:
        self._lost_since_s: dict[int, tuple[int, float]] = {}

    @property
    def has_lost_groups(self) -> bool:
        """Whether any group seems to have lost its majority."""
        return bool(self._lost_since_s)

    def can_change(
        self,
        record: GroupEpoch | None,
        nodes: Sequence[LiveNode],
        zones: frozenset[ZoneName],
        now_s: float,
    ) -> bool:
        """Whether a majority of the holders lives, or they may be declared lost."""
        if record is None or self.may_follow_loss(record, nodes, zones, now_s):
            return True
        return not has_lost_quorum(record, len(lost_holders(record, nodes)))

    def may_follow_loss(
        self,
        record: GroupEpoch | None,
        nodes: Sequence[LiveNode],
        zones: frozenset[ZoneName],
        now_s: float,
    ) -> bool:
        """Whether the holders may be declared lost: gone long enough, or known to have restarted.

        More than half of the declared zones must be in sight, so that holders on the far side of
        a cut hear fewer than half and stop by themselves.
        """
        if record is None:
            return False
        lost = lost_holders(record, nodes)
        if not has_lost_quorum(record, len(lost)):
            self._lost_since_s.pop(record.group, None)
            return False
        since_s = self._since_s(record, now_s)
        if not _sees_most(zones, nodes):
            return False
        return now_s - since_s >= LOST_AFTER_S or _have_restarted(lost, nodes)

    def _since_s(self, record: GroupEpoch, now_s: float) -> float:
        known = self._lost_since_s.get(record.group)
        if known is None or known[0] != record.epoch:
            known = self._lost_since_s[record.group] = (record.epoch, now_s)
        return known[1]


def restarted_holders(record: GroupEpoch, nodes: Sequence[LiveNode]) -> frozenset[NodeId]:
    """Holders of which a later run of the same node is live, so that the run that held is over."""
    return frozenset(
        holder.node for holder in lost_holders(record, nodes) if _have_restarted([holder], nodes)
    )


def _sees_most(zones: frozenset[ZoneName], nodes: Sequence[LiveNode]) -> bool:
    seen = {node.holder.zone for node in nodes} & zones
    return 2 * len(seen) > len(zones)


def _have_restarted(lost: Sequence[Holder], nodes: Sequence[LiveNode]) -> bool:
    """Whether a later run of every lost node is live, so that the run that held is over."""
    latest = {node.holder.node.name: node.holder.node.incarnation for node in nodes}
    return all(latest.get(holder.node.name, -1) > holder.node.incarnation for holder in lost)
