"""Rules on configurations and on fenced orders."""

from weirscale.domain.identifiers import ConfigurationRevision, NodeName
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.intervals import (
    available_intervals,
    interval_start,
    last_start_s,
)
from weirscale.experiments.history.records import (
    ConfigurationAccepted,
    ConfigurationTaken,
    NodeChange,
    NodeChanged,
    OrderTaken,
)

CONFIGURATION_IN_FORCE = "configuration_in_force"
FENCED_ORDERS = "fenced_orders"


def check_configuration_in_force(history: History) -> list[Violation]:
    """Check that accepted configurations are in force everywhere in time and never revert.

    The bound counts from acceptance, or from when the node last became able to follow (start,
    resumption, links whole again), whichever is later.
    """
    return _reverted(history) + _late(history)


def _reverted(history: History) -> list[Violation]:
    violations: list[Violation] = []
    highest: dict[NodeName, ConfigurationRevision] = {}
    for record in history.records:
        if isinstance(record, NodeChanged) and record.change is NodeChange.STARTED:
            highest.pop(record.node, None)
        elif isinstance(record, ConfigurationTaken):
            before = highest.get(record.node)
            if before is not None and record.revision < before:
                detail = f"{record.node} went from revision {before} back to {record.revision}"
                violations.append(Violation(CONFIGURATION_IN_FORCE, (), detail))
            highest[record.node] = max(record.revision, before or record.revision)
    return violations


def _late(history: History) -> list[Violation]:
    violations: list[Violation] = []
    taken = history.of_type(ConfigurationTaken)
    end_s = history.records[-1].at_s if history.records else 0.0
    able = available_intervals(history)
    for accepted in history.of_type(ConfigurationAccepted):
        for node, intervals in able.items():
            for start_s, stop_s in intervals:
                due_s = max(accepted.at_s, start_s) + history.bounds.configuration_s
                if due_s > min(stop_s, end_s) or stop_s < accepted.at_s:
                    continue
                run_began_at_s = last_start_s(history, node, start_s)
                in_force = any(
                    one.node == node
                    and one.revision >= accepted.revision
                    and run_began_at_s <= one.at_s <= due_s
                    for one in taken
                )
                if not in_force:
                    detail = f"{node} lacked revision {accepted.revision} at {due_s:.3f} s"
                    violations.append(Violation(CONFIGURATION_IN_FORCE, (), detail))
    return violations


def configuration_delays_s(history: History) -> list[float]:
    """Return the delay of each accepted revision at each node that was able to follow it."""
    delays: list[float] = []
    able = available_intervals(history)
    taken = history.of_type(ConfigurationTaken)
    for accepted in history.of_type(ConfigurationAccepted):
        for node, intervals in able.items():
            if interval_start(intervals, accepted.at_s) is None:
                continue
            times = [
                one.at_s for one in taken if one.node == node and one.revision >= accepted.revision
            ]
            if times:
                delays.append(max(0.0, min(times) - accepted.at_s))
    return delays


def check_fenced_orders(history: History) -> list[Violation]:
    """Check that no run of an engine carries out an order older than one before.

    Not one of the nine rules; it shows that a paused lease holder did nothing stale.
    """
    violations: list[Violation] = []
    highest: dict[tuple[str, int], int] = {}
    for order in history.of_type(OrderTaken):
        key = (order.engine, order.incarnation)
        before = highest.get(key, 0)
        if order.order_token < before:
            detail = f"{order.engine} carried out order {order.order_token} after {before}"
            violations.append(Violation(FENCED_ORDERS, (), detail))
        highest[key] = max(before, order.order_token)
    return violations
