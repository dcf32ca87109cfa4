"""Intervals in which nodes are available to serve and to receive configurations."""

from weirscale.domain.identifiers import NodeName
from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import NodeChange, NodeChanged

UNAVAILABLE_CHANGES = frozenset(
    {
        NodeChange.CRASHED,
        NodeChange.PAUSED,
        NodeChange.DRAIN_BEGAN,
        NodeChange.STOPPED,
        NodeChange.CUT_OFF,
    }
)
"""Changes after which a node is not expected to serve all requests or to get configurations."""
REASONS_ENDED_BY = {
    NodeChange.RESUMED: frozenset({NodeChange.PAUSED}),
    NodeChange.REJOINED: frozenset({NodeChange.CUT_OFF}),
    NodeChange.STARTED: UNAVAILABLE_CHANGES - {NodeChange.CUT_OFF},
}
"""Reasons that each change ends; a node that starts in a cut-off zone is still cut off."""

Interval = tuple[float, float]
"""Start and end in seconds; the end is infinite while the interval lasts."""


class _NodeState:
    """Availability of one node over the history, and the reasons for being unavailable."""

    def __init__(self) -> None:
        self.reasons: set[NodeChange] = {NodeChange.STOPPED}
        self.available_since_s: float | None = None
        self.intervals: list[Interval] = []

    def apply(self, changed: NodeChanged) -> None:
        """Apply one change of the node."""
        if changed.change in UNAVAILABLE_CHANGES:
            self.reasons.add(changed.change)
        else:
            self.reasons -= REASONS_ENDED_BY[changed.change]
        if not self.reasons and self.available_since_s is None:
            self.available_since_s = changed.at_s
        if self.reasons and self.available_since_s is not None:
            self.intervals.append((self.available_since_s, changed.at_s))
            self.available_since_s = None

    def finish(self) -> list[Interval]:
        """Return the intervals; the last has an infinite end if the node is still available."""
        if self.available_since_s is not None:
            self.intervals.append((self.available_since_s, float("inf")))
        return self.intervals


def available_intervals(history: History) -> dict[NodeName, list[Interval]]:
    """Return the intervals in which each node runs and is not paused, draining or cut off."""
    states: dict[NodeName, _NodeState] = {}
    for changed in history.of_type(NodeChanged):
        states.setdefault(changed.node, _NodeState()).apply(changed)
    return {node: state.finish() for node, state in states.items()}


def interval_start(intervals: list[Interval], at_s: float) -> float | None:
    """Return the start of the interval that contains a time, or None."""
    for start_s, end_s in intervals:
        if start_s <= at_s < end_s:
            return start_s
    return None


def latest_start_s(history: History, node: NodeName, at_s: float) -> float:
    """Return the latest start of a node by a time; the node lost its earlier state then."""
    starts = [
        changed.at_s
        for changed in history.of_type(NodeChanged)
        if changed.node == node and changed.change is NodeChange.STARTED and changed.at_s <= at_s
    ]
    return max(starts, default=float("-inf"))
