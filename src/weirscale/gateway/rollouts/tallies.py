"""Counts of how requests of a rollout ended, at this node and, by their gossip, at the others.

Counts are absolute, of one run of a process. Receivers keep the greatest of each by its source (a
run of a node of this node's group, or the sum of a group), so a message that is lost, late or
doubled does no harm, and the counts of a node that is gone stay known.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """How some requests ended.

    Attributes:
        num: All of them.
        num_failed: Those without a whole sound answer.
        num_slow: Those answered, but slower than expected by a factor.
    """

    num: int = 0
    num_failed: int = 0
    num_slow: int = 0

    @property
    def num_bad(self) -> int:
        """Failed and slow ones."""
        return self.num_failed + self.num_slow

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum."""
        return Counts(
            self.num + other.num,
            self.num_failed + other.num_failed,
            self.num_slow + other.num_slow,
        )

    def minus(self, other: "Counts") -> "Counts":
        """Return the difference, never below nothing."""
        return Counts(
            max(0, self.num - other.num),
            max(0, self.num_failed - other.num_failed),
            max(0, self.num_slow - other.num_slow),
        )

    def elementwise_max(self, other: "Counts") -> "Counts":
        """Return the greater of each."""
        return Counts(
            max(self.num, other.num),
            max(self.num_failed, other.num_failed),
            max(self.num_slow, other.num_slow),
        )


NO_COUNTS = Counts()


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a target and its predecessors, all routes and engines together."""

    target: Counts = NO_COUNTS
    old: Counts = NO_COUNTS


PREDECESSORS = InstanceId("")
"""Stands for the instance where a tally is of all engines of older versions."""


class TallyKey(msgspec.Struct, frozen=True):
    """What a tally is of.

    Attributes:
        service: The service.
        epoch: The rollout.
        route: Name of the route.
        instance: The target's engine, or `PREDECESSORS`.
    """

    service: ServiceName
    epoch: Epoch
    route: str
    instance: InstanceId


Tallies = dict[TallyKey, Counts]


def add_to(tallies: Tallies, key: TallyKey, counts: Counts) -> None:
    """Add counts to one of several tallies."""
    tallies[key] = tallies.get(key, NO_COUNTS).plus(counts)


class FleetTallies:
    """Sums what all nodes have counted."""

    def __init__(self) -> None:
        self.own: Tallies = {}
        self._received: dict[str, Tallies] = {}
        self.num_changes = 0
        """Rises with each change, for those who read by change."""

    def record(self, key: TallyKey, counts: Counts) -> None:
        """Count requests of this node."""
        add_to(self.own, key, counts)
        self.num_changes += 1

    def receive(self, source: str, counted: Iterable[tuple[TallyKey, Counts]]) -> None:
        """Take over what a source has counted."""
        received = self._received.setdefault(source, {})
        for key, counts in counted:
            known = received.get(key, NO_COUNTS)
            most = known.elementwise_max(counts)
            if most != known:
                received[key] = most
                self.num_changes += 1

    def sum_of(self, is_wanted: Callable[[str], bool], include_own: bool = False) -> Tallies:
        """Return the sum over some sources."""
        sums: Tallies = dict(self.own) if include_own else {}
        for source, received in self._received.items():
            if is_wanted(source):
                for key, counts in received.items():
                    add_to(sums, key, counts)
        return sums

    def keep(self, epochs: Iterable[Epoch]) -> None:
        """Forget all rollouts but these."""
        wanted = frozenset(epochs)
        self.own = _only(self.own, wanted)
        self._received = {
            source: _only(received, wanted) for source, received in self._received.items()
        }
        self._received = {
            source: received for source, received in self._received.items() if received
        }


def _only(tallies: Tallies, epochs: frozenset[Epoch]) -> Tallies:
    return {key: counts for key, counts in tallies.items() if key.epoch in epochs}


class RouteEvidence(msgspec.Struct, frozen=True):
    """What is known of a rollout on one route.

    Attributes:
        old: Engines of older versions.
        target: The target's engines by instance.
    """

    old: Counts
    target: dict[str, Counts]


def by_route(tallies: Tallies, service: ServiceName, epoch: Epoch) -> dict[str, RouteEvidence]:
    """Return what is known of one rollout, by route."""
    old: dict[str, Counts] = {}
    target: dict[str, dict[str, Counts]] = {}
    for key, counts in tallies.items():
        if key.service != service or key.epoch != epoch:
            continue
        if key.instance == PREDECESSORS:
            old[key.route] = counts
        else:
            target.setdefault(key.route, {})[key.instance] = counts
    routes = old.keys() | target.keys()
    return {one: RouteEvidence(old.get(one, NO_COUNTS), target.get(one, {})) for one in routes}


def evidence_of(routes: Mapping[str, RouteEvidence]) -> Evidence:
    """Return the sums over all routes and engines."""
    target, old = NO_COUNTS, NO_COUNTS
    for route in routes.values():
        old = old.plus(route.old)
        for counts in route.target.values():
            target = target.plus(counts)
    return Evidence(target, old)
