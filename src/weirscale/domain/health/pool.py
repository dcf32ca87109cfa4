"""Health of a pool: back ends that can stand in for one another.

Circuits may hold out only a share of a pool. When more are open, the network (or this node) is
likelier bad than so many back ends, and an empty pool would serve nobody: those nearest to their
next trial are let in again at the smallest weight. Quarantined ones come last, leaving ones never.
"""

from collections.abc import Sequence
from typing import Protocol

from weirscale.domain.health.circuit import HEALTHY, Circuit, admission_weight
from weirscale.domain.health.leaving import Leaving
from weirscale.domain.health.rules import HealthRules


class PoolMember(Protocol):
    """A back end with its health."""

    @property
    def circuit(self) -> Circuit:
        """Its circuit."""
        ...

    @property
    def leaving(self) -> Leaving:
        """Whether it leaves."""
        ...


def admission_weights(
    members: Sequence[PoolMember], rules: HealthRules, now_s: float
) -> list[float]:
    """Return the share of work for each member, 0 for none, in the members' order."""
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
    num_most = int(rules.max_ejected_share * num_staying)
    if len(held_out) > num_most:
        held_out.sort(key=lambda index: _readmission_order(members[index].circuit))
        for index in held_out[: len(held_out) - num_most]:
            weights[index] = rules.min_weight
    return weights


def _readmission_order(circuit: Circuit) -> tuple[bool, float]:
    return circuit.is_quarantined, circuit.open_until_s
