"""Health of a pool of interchangeable back ends.

Circuits may hold out only a share of a pool. When more circuits are open, a fault of the network
(or of this node) is likelier than that many faulty back ends, and an empty pool could serve no
request. So the back ends that are nearest to their next trial are readmitted at the minimum weight.
Quarantined back ends are readmitted last, leaving ones never.
"""

from collections.abc import Sequence
from typing import Protocol

from weirscale.domain.health.circuit import HEALTHY, Circuit, admission_weight
from weirscale.domain.health.leaving import Leaving
from weirscale.domain.health.rules import HealthRules


class PoolMember(Protocol):
    """A back end with its health state."""

    @property
    def circuit(self) -> Circuit:
        """The back end's circuit."""
        ...

    @property
    def leaving(self) -> Leaving:
        """The announcements that the back end is leaving."""
        ...


def admission_weights(
    members: Sequence[PoolMember], rules: HealthRules, now_s: float
) -> list[float]:
    """Return each member's share of work in the order of `members`; 0 means no work."""
    weights: list[float] = []
    held_out: list[int] = []
    num_staying = 0
    for index, member in enumerate(members):
        if member.leaving.is_leaving_at(now_s):
            weights.append(0.0)
            continue
        num_staying += 1
        circuit = member.circuit
        weight = 1.0 if circuit is HEALTHY else admission_weight(circuit, rules, now_s)
        weights.append(weight)
        if weight == 0.0:
            held_out.append(index)
    max_held_out = int(rules.max_ejected_share * num_staying)
    if len(held_out) > max_held_out:
        held_out.sort(key=lambda index: _readmission_order(members[index].circuit))
        for index in held_out[: len(held_out) - max_held_out]:
            weights[index] = rules.min_weight
    return weights


def _readmission_order(circuit: Circuit) -> tuple[bool, float]:
    return circuit.is_quarantined, circuit.open_until_s
