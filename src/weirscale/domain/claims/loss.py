"""Detection of groups whose holders have permanently lost their quorum."""

from collections.abc import Sequence

from weirscale.domain.claims.authority import LOST_AFTER_S
from weirscale.domain.claims.model import GroupEpoch, Holder
from weirscale.domain.claims.planning import LiveNode, has_lost_quorum, lost_holders
from weirscale.domain.identifiers import NodeId, ZoneName


class LossDetector:
    """Records since when groups have had no live majority of their holders."""

    def __init__(self) -> None:
        self._lost_since_s: dict[int, tuple[int, float]] = {}

    @property
    def has_lost_groups(self) -> bool:
        """Whether any group appears to have lost its quorum."""
        return bool(self._lost_since_s)

    def can_change(
        self,
        record: GroupEpoch | None,
        nodes: Sequence[LiveNode],
        zones: frozenset[ZoneName],
        now_s: float,
    ) -> bool:
        """Return whether a majority of the holders is live, or the quorum may be declared lost."""
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
        """Return whether the quorum may be declared lost.

        The missing holders must have been gone for LOST_AFTER_S, or their nodes must have
        restarted. In addition, this node must have live nodes in more than half of the declared
        zones. Then holders on the other side of a partition reach fewer than half of the zones and
        stop voting.
        """
        if record is None:
            return False
        lost = lost_holders(record, nodes)
        if not has_lost_quorum(record, len(lost)):
            self._lost_since_s.pop(record.group, None)
            return False
        since_s = self._since_s(record, now_s)
        if not _reaches_most_zones(zones, nodes):
            return False
        return now_s - since_s >= LOST_AFTER_S or _have_restarted(lost, nodes)

    def _since_s(self, record: GroupEpoch, now_s: float) -> float:
        epoch_and_time = self._lost_since_s.get(record.group)
        if epoch_and_time is None or epoch_and_time[0] != record.epoch:
            epoch_and_time = self._lost_since_s[record.group] = (record.epoch, now_s)
        return epoch_and_time[1]


def restarted_holders(record: GroupEpoch, nodes: Sequence[LiveNode]) -> frozenset[NodeId]:
    """Return the holders whose run has ended, because a later run of the same node is live."""
    return frozenset(
        holder.node for holder in lost_holders(record, nodes) if _have_restarted([holder], nodes)
    )


def _reaches_most_zones(zones: frozenset[ZoneName], nodes: Sequence[LiveNode]) -> bool:
    reached = {node.holder.zone for node in nodes} & zones
    return 2 * len(reached) > len(zones)


def _have_restarted(lost: Sequence[Holder], nodes: Sequence[LiveNode]) -> bool:
    """Return whether a later run of every lost node is live, so that the lost runs have ended."""
    incarnations = {node.holder.node.name: node.holder.node.incarnation for node in nodes}
    return all(incarnations.get(holder.node.name, -1) > holder.node.incarnation for holder in lost)
