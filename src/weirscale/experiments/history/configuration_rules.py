"""Rules for configurations and for fenced orders."""

from weirscale.domain.identifiers import ConfigurationRevision, NodeName
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.intervals import (
    available_intervals,
    interval_start,
    latest_start_s,
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
    """Check that accepted configurations are in force at all nodes in time and never revert.

    The bound counts from acceptance or from the time at which the node last became available
    (started, resumed or reconnected), whichever is later.
    """
    return _find_reverts(history) + _find_late(history)


def _find_reverts(history: History) -> list[Violation]:
    violations: list[Violation] = []
    highest: dict[NodeName, ConfigurationRevision] = {}
    for record in history.records:
        if isinstance(record, NodeChanged) and record.change is NodeChange.STARTED:
            highest.pop(record.node, None)
        elif isinstance(record, ConfigurationTaken):
            previous = highest.get(record.node)
            if previous is not None and record.revision < previous:
                detail = f"{record.node} reverted from revision {previous} to {record.revision}"
                violations.append(Violation(CONFIGURATION_IN_FORCE, (), detail))
            highest[record.node] = max(record.revision, previous or record.revision)
    return violations


def _find_late(history: History) -> list[Violation]:
    violations: list[Violation] = []
    taken = history.of_type(ConfigurationTaken)
    end_s = history.records[-1].at_s if history.records else 0.0
    available = available_intervals(history)
    for accepted in history.of_type(ConfigurationAccepted):
        for node, intervals in available.items():
            for start_s, stop_s in intervals:
                due_s = max(accepted.at_s, start_s) + history.bounds.configuration_s
                if due_s > min(stop_s, end_s) or stop_s < accepted.at_s:
                    continue
                run_began_at_s = latest_start_s(history, node, start_s)
                in_force = any(
                    record.node == node
                    and record.revision >= accepted.revision
                    and run_began_at_s <= record.at_s <= due_s
                    for record in taken
                )
                if not in_force:
                    detail = f"{node} did not use revision {accepted.revision} by {due_s:.3f} s"
                    violations.append(Violation(CONFIGURATION_IN_FORCE, (), detail))
    return violations


def configuration_delays_s(history: History) -> list[float]:
    """Return the delays, in seconds, of each accepted revision at each node available then."""
    delays: list[float] = []
    available = available_intervals(history)
    taken = history.of_type(ConfigurationTaken)
    for accepted in history.of_type(ConfigurationAccepted):
        for node, intervals in available.items():
            if interval_start(intervals, accepted.at_s) is None:
                continue
            times = [
                record.at_s
                for record in taken
                if record.node == node and record.revision >= accepted.revision
            ]
            if times:
                delays.append(max(0.0, min(times) - accepted.at_s))
    return delays


def check_fenced_orders(history: History) -> list[Violation]:
    """Check that no engine incarnation executes an order older than a previous one.

    This is not one of the nine rules. It shows that a paused lease holder sent no stale order that
    was executed.
    """
    violations: list[Violation] = []
    highest: dict[tuple[str, int], int] = {}
    for order in history.of_type(OrderTaken):
        key = (order.engine, order.incarnation)
        previous = highest.get(key, 0)
        if order.order_token < previous:
            detail = f"{order.engine} executed order {order.order_token} after {previous}"
            violations.append(Violation(FENCED_ORDERS, (), detail))
        highest[key] = max(previous, order.order_token)
    return violations
