"""Times in which nodes are able to serve and to follow the configuration."""

from weirscale.domain.identifiers import NodeName
from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import NodeChange, NodeChanged

UNABLE_CHANGES = frozenset(
    {
        NodeChange.CRASHED,
        NodeChange.PAUSED,
        NodeChange.DRAIN_BEGAN,
        NodeChange.STOPPED,
        NodeChange.CUT_OFF,
    }
)
"""Changes after which a node cannot be asked to serve all, or to follow the configuration."""
REASON_ENDED_BY = {
    NodeChange.RESUMED: frozenset({NodeChange.PAUSED}),
    NodeChange.REJOINED: frozenset({NodeChange.CUT_OFF}),
    NodeChange.STARTED: UNABLE_CHANGES - {NodeChange.CUT_OFF},
}
"""What each change mends: a node that is started in a zone that is cut off is still cut off."""

Interval = tuple[float, float]
"""Start and end, in seconds; the end is infinite for what lasts."""


class _NodeState:
    """One node along the history."""

    def __init__(self) -> None:
        self.reasons: set[NodeChange] = {NodeChange.STOPPED}
        self.able_since_s: float | None = None
        self.intervals: list[Interval] = []

    def take(self, changed: NodeChanged) -> None:
        """Follow one change."""
        if changed.change in UNABLE_CHANGES:
            self.reasons.add(changed.change)
        else:
            self.reasons -= REASON_ENDED_BY[changed.change]
        if not self.reasons and self.able_since_s is None:
            self.able_since_s = changed.at_s
        if self.reasons and self.able_since_s is not None:
            self.intervals.append((self.able_since_s, changed.at_s))
            self.able_since_s = None

    def finish(self) -> list[Interval]:
        """Return the intervals, the last one without end where the node is able still."""
        if self.able_since_s is not None:
            self.intervals.append((self.able_since_s, float("inf")))
        return self.intervals


def available_intervals(history: History) -> dict[NodeName, list[Interval]]:
    """Return the times in which each node runs, is not paused, draining or cut off."""
    states: dict[NodeName, _NodeState] = {}
    for changed in history.of_type(NodeChanged):
        states.setdefault(changed.node, _NodeState()).take(changed)
    return {node: state.finish() for node, state in states.items()}


def interval_start(intervals: list[Interval], at_s: float) -> float | None:
    """Return the start of the interval that holds a time, or None."""
    for start_s, end_s in intervals:
        if start_s <= at_s < end_s:
            return start_s
    return None


def last_start_s(history: History, node: NodeName, at_s: float) -> float:
    """Return when the node's run that is up at a time began: what it took before is gone."""
    starts = [
        changed.at_s
        for changed in history.of_type(NodeChanged)
        if changed.node == node and changed.change is NodeChange.STARTED and changed.at_s <= at_s
    ]
    return max(starts, default=float("-inf"))
