"""Which nodes hold a duty: rendezvous hashing over live nodes, agreed without messages.

Nodes with the same view give the same answer; while views differ, two nodes may both believe that
they hold a duty. Where that would do harm, the duty is fenced by a lease as well.
"""

import enum
from collections.abc import Iterable

import msgspec

from weirscale.domain.identifiers import EngineName, NodeId, ZoneName
from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight


class DutyKind(enum.Enum):
    """Kinds of work that few nodes do for all; the value seeds the hash, so never reuse one."""

    ENGINE_HOME = "engine_home"
    """Follows an engine's cache events and load, for the nodes of its zone."""
    PLACEMENT_PLANNER = "placement_planner"
    """Gives orders to engines; fenced by a lease."""


class Duty(msgspec.Struct, frozen=True):
    """One duty.

    Attributes:
        kind: What is to be done.
        subject: What it is done for, such as an engine's name; empty where there is one only.
    """

    kind: DutyKind
    subject: str = ""

    @property
    def key(self) -> str:
        """Name of the duty in the key-value service and in logs."""
        return f"{self.kind.value}/{self.subject}" if self.subject else self.kind.value


class DutyCandidate(msgspec.Struct, frozen=True):
    """A live node that may take duties; leaving ones take a duty only if nobody else can."""

    node: NodeId
    zone: ZoneName
    is_leaving: bool = False


def rank_candidates(
    duty: Duty, candidates: Iterable[DutyCandidate], zone: ZoneName | None = None
) -> list[DutyCandidate]:
    """Order candidates by weight for a duty, best first.

    The weight depends on duty and node name alone, so when a node joins or goes only the duties
    that it takes or held move.

    Args:
        duty: The duty.
        candidates: Live nodes.
        zone: Only nodes of this zone, or None for all.
    """
    wanted = [each for each in candidates if zone is None or each.zone == zone]
    key = rendezvous_key(duty.key)
    return sorted(
        wanted,
        key=lambda each: (each.is_leaving, -rendezvous_weight(each.node.name, key), each.node),
    )


def holders(
    duty: Duty, candidates: Iterable[DutyCandidate], count: int, zone: ZoneName | None = None
) -> tuple[NodeId, ...]:
    """Return the `count` best nodes for a duty, best first."""
    return tuple(each.node for each in rank_candidates(duty, candidates, zone)[:count])


def engine_home(
    engine: EngineName, zone: ZoneName, candidates: Iterable[DutyCandidate]
) -> NodeId | None:
    """Return the home node of an engine: of its own zone if any node lives there."""
    duty = Duty(DutyKind.ENGINE_HOME, engine)
    everywhere = tuple(candidates)
    best = holders(duty, everywhere, 1, zone) or holders(duty, everywhere, 1)
    return best[0] if best else None
