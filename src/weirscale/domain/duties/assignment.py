"""Assignment of duties by rendezvous hashing over live nodes, without messages.

Nodes with the same view of the membership compute the same assignment. While views differ, two
nodes may both act as the holder of a duty. Duties for which that is harmful are also fenced by a
lease.
"""

import enum
from collections.abc import Iterable

import msgspec

from weirscale.domain.identifiers import EngineName, NodeId, ZoneName
from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight


class DutyKind(enum.Enum):
    """Kinds of work that a few nodes do for the fleet.

    The value seeds the hash, so a value must not be reused for another kind.
    """

    ENGINE_HOME = "engine_home"
    """Tracks an engine's cache events and load on behalf of the nodes in the engine's zone."""
    PLACEMENT_PLANNER = "placement_planner"
    """Sends orders to engines; fenced by a lease."""


class Duty(msgspec.Struct, frozen=True):
    """One duty.

    Attributes:
        kind: Kind of work.
        subject: Name of the object of the work, such as an engine; empty if the fleet has only one
            duty of the kind.
    """

    kind: DutyKind
    subject: str = ""

    @property
    def key(self) -> str:
        """Key of the duty in the key-value service and in logs."""
        return f"{self.kind.value}/{self.subject}" if self.subject else self.kind.value


class DutyCandidate(msgspec.Struct, frozen=True):
    """A live node that may hold duties; leaving nodes rank after all others."""

    node: NodeId
    zone: ZoneName
    is_leaving: bool = False


def rank_candidates(
    duty: Duty, candidates: Iterable[DutyCandidate], zone: ZoneName | None = None
) -> list[DutyCandidate]:
    """Return the candidates sorted by weight for a duty, best first.

    The weight depends only on the duty and the node's name. So when a node joins or leaves, only
    the duties that are assigned to it move.

    Args:
        duty: The duty.
        candidates: Live nodes.
        zone: Zone of the nodes to rank, or None for all zones.
    """
    in_zone = [candidate for candidate in candidates if zone is None or candidate.zone == zone]
    key = rendezvous_key(duty.key)
    return sorted(
        in_zone,
        key=lambda candidate: (
            candidate.is_leaving,
            -rendezvous_weight(candidate.node.name, key),
            candidate.node,
        ),
    )


def holders(
    duty: Duty, candidates: Iterable[DutyCandidate], count: int, zone: ZoneName | None = None
) -> tuple[NodeId, ...]:
    """Return the `count` best nodes for a duty, best first."""
    return tuple(candidate.node for candidate in rank_candidates(duty, candidates, zone)[:count])


def engine_home(
    engine: EngineName, zone: ZoneName, candidates: Iterable[DutyCandidate]
) -> NodeId | None:
    """Return the home node of an engine, in the engine's zone if that has a live node."""
    duty = Duty(DutyKind.ENGINE_HOME, engine)
    all_candidates = tuple(candidates)
    best = holders(duty, all_candidates, 1, zone) or holders(duty, all_candidates, 1)
    return best[0] if best else None
