"""Counts of request outcomes during a rollout, at this node and, received by gossip, at the others.

Counts are totals since the start of a node's process. Receivers keep the maximum of each count by
source (one run of a node in the same group, or the sum of a group). So lost, late or duplicate
messages do no harm, and the counts of a stopped node are kept.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch


class Counts(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of requests.

    Attributes:
        num: Number of requests.
        num_failed: Requests without a complete sound answer.
        num_slow: Requests answered, but slower than expected by a factor.
    """

    num: int = 0
    num_failed: int = 0
    num_slow: int = 0

    @property
    def num_bad(self) -> int:
        """Number of failed and slow requests."""
        return self.num_failed + self.num_slow

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of both counts."""
        return Counts(
            self.num + other.num,
            self.num_failed + other.num_failed,
            self.num_slow + other.num_slow,
        )

    def minus(self, other: "Counts") -> "Counts":
        """Return the difference of each count, at least 0."""
        return Counts(
            max(0, self.num - other.num),
            max(0, self.num_failed - other.num_failed),
            max(0, self.num_slow - other.num_slow),
        )

    def elementwise_max(self, other: "Counts") -> "Counts":
        """Return the maximum of each count."""
        return Counts(
            max(self.num, other.num),
            max(self.num_failed, other.num_failed),
            max(self.num_slow, other.num_slow),
        )


NO_COUNTS = Counts()


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Counts of a target and its predecessors, summed over all routes and engines."""

    target: Counts = NO_COUNTS
    old: Counts = NO_COUNTS


PREDECESSORS = InstanceId("")
"""Used as the instance in the tally of all engines of older versions."""


class TallyKey(msgspec.Struct, frozen=True):
    """Identifies a tally.

    Attributes:
        service: The service.
        epoch: Epoch of the rollout's order.
        route: Name of the route.
        instance: An engine of the target, or `PREDECESSORS`.
    """

    service: ServiceName
    epoch: Epoch
    route: str
    instance: InstanceId


Tallies = dict[TallyKey, Counts]


def add_counts(tallies: Tallies, key: TallyKey, counts: Counts) -> None:
    """Add counts to the tally of a key."""
    tallies[key] = tallies.get(key, NO_COUNTS).plus(counts)


class FleetTallies:
    """This node's own tallies and those received from other nodes."""

    def __init__(self) -> None:
        self.own: Tallies = {}
        self._received: dict[str, Tallies] = {}
        self.num_changes = 0
        """Increases with each change, so that readers can detect changes."""

    def record(self, key: TallyKey, counts: Counts) -> None:
        """Add outcomes of this node's own requests."""
        add_counts(self.own, key, counts)
        self.num_changes += 1

    def receive(self, source: str, counted: Iterable[tuple[TallyKey, Counts]]) -> None:
        """Merge the tallies of a source; each count keeps its maximum."""
        received = self._received.setdefault(source, {})
        for key, counts in counted:
            previous = received.get(key, NO_COUNTS)
            merged = previous.elementwise_max(counts)
            if merged != previous:
                received[key] = merged
                self.num_changes += 1

    def sum_of(self, is_counted: Callable[[str], bool], include_own: bool = False) -> Tallies:
        """Return the sum over the selected sources, and this node's own if `include_own`."""
        sums: Tallies = dict(self.own) if include_own else {}
        for source, received in self._received.items():
            if is_counted(source):
                for key, counts in received.items():
                    add_counts(sums, key, counts)
        return sums

    def keep(self, epochs: Iterable[Epoch]) -> None:
        """Drop the tallies of all rollouts except the given ones."""
        kept_epochs = frozenset(epochs)
        self.own = _of_epochs(self.own, kept_epochs)
        self._received = {
            source: _of_epochs(received, kept_epochs) for source, received in self._received.items()
        }
        self._received = {
            source: received for source, received in self._received.items() if received
        }


def _of_epochs(tallies: Tallies, epochs: frozenset[Epoch]) -> Tallies:
    return {key: counts for key, counts in tallies.items() if key.epoch in epochs}


class RouteEvidence(msgspec.Struct, frozen=True):
    """Counts of a rollout on one route.

    Attributes:
        old: Counts of all engines of older versions.
        target: Counts of the target's engines, by instance.
    """

    old: Counts
    target: dict[str, Counts]


def by_route(tallies: Tallies, service: ServiceName, epoch: Epoch) -> dict[str, RouteEvidence]:
    """Return the evidence of one rollout, by route."""
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
    return {
        route: RouteEvidence(old.get(route, NO_COUNTS), target.get(route, {})) for route in routes
    }


def evidence_of(routes: Mapping[str, RouteEvidence]) -> Evidence:
    """Return the evidence summed over all routes and engines."""
    target, old = NO_COUNTS, NO_COUNTS
    for route in routes.values():
        old = old.plus(route.old)
        for counts in route.target.values():
            target = target.plus(counts)
    return Evidence(target, old)
