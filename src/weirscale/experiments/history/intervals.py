"""Times in which nodes are up, or able to follow the configuration."""

from weirscale.domain.identifiers import NodeName
from weirscale.experiments.history.history import History
from weirscale.experiments.history.records import NodeChange, NodeChanged

DOWN_CHANGES = frozenset(
    {NodeChange.CRASHED, NodeChange.PAUSED, NodeChange.DRAIN_BEGAN, NodeChange.STOPPED}
)
"""Changes after which a node takes no requests."""
UNABLE_CHANGES = DOWN_CHANGES | {NodeChange.CUT_OFF}
"""Changes after which a node cannot be asked to follow the configuration."""

Interval = tuple[float, float]
"""Start and end, in seconds; the end is infinite for what lasts."""


def node_intervals(
    history: History, ending_changes: frozenset[NodeChange]
) -> dict[NodeName, list[Interval]]:
    """Return, for each node, the times between a start, resumption or rejoining and an end."""
    intervals: dict[NodeName, list[Interval]] = {}
    opened: dict[NodeName, float] = {}
    for changed in history.of_type(NodeChanged):
        if changed.change in ending_changes:
            start_s = opened.pop(changed.node, None)
            if start_s is not None:
                intervals.setdefault(changed.node, []).append((start_s, changed.at_s))
        elif changed.change in (NodeChange.STARTED, NodeChange.RESUMED, NodeChange.REJOINED):
            opened.setdefault(changed.node, changed.at_s)
    for node, start_s in opened.items():
        intervals.setdefault(node, []).append((start_s, float("inf")))
    return intervals


def interval_start(intervals: list[Interval], at_s: float) -> float | None:
    """Return the start of the interval that holds a time, or None."""
    for start_s, end_s in intervals:
        if start_s <= at_s < end_s:
            return start_s
    return None
