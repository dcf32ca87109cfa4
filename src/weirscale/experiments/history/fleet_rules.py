"""Rules for nodes and back ends: restarts, leaving back ends and planned stops."""

from typing import NamedTuple

from weirscale.domain.identifiers import NodeName
from weirscale.domain.request.refusal import RefusalCode
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.intervals import (
    Interval,
    available_intervals,
    interval_start,
    latest_start_s,
)
from weirscale.experiments.history.records import (
    BackendChange,
    BackendChanged,
    ConfigurationTaken,
    ConnectionBroke,
    EngineRun,
    GenerationAnswered,
    NodeChange,
    NodeChanged,
    RefusalReceived,
    Sent,
    ServiceAnswered,
    ServiceRun,
    StoreChanged,
)

SERVES_AFTER_RESTART = "serves_after_restart"
LEAVING_GETS_NO_WORK = "leaving_gets_no_work"
PLANNED_STOP_CUTS_NOTHING = "planned_stop_cuts_nothing"

NOT_SERVING_CODES = frozenset(
    {RefusalCode.NOT_CONFIGURED, RefusalCode.DRAINING, RefusalCode.NO_BACKEND}
)
"""Refusal codes of a node that does not serve yet."""


def check_serves_after_restart(history: History) -> list[Violation]:
    """Check that a started node serves requests from the bound to the end of the window.

    NO_BACKEND is a violation only if another node answered a request within 1 s of it: a restarted
    node is not at fault while the fleet has no back ends.
    """
    violations: list[Violation] = []
    windows = _start_windows(history)
    answered_at = _answer_times(history)
    for request_id, sent in history.sent.items():
        ending = history.ending(request_id)
        if ending is None:
            continue
        for started_at_s, serves_from_s, until_s in windows.get(sent.node, ()):
            if not serves_from_s <= sent.at_s <= ending.at_s < until_s:
                continue
            failure = _describe_not_serving(ending, sent, answered_at)
            if failure is not None:
                detail = f"{sent.node}, started at {started_at_s:.3f} s: {failure}"
                violations.append(Violation(SERVES_AFTER_RESTART, (request_id,), detail))
    return violations


class _Window(NamedTuple):
    """A period in which a started node must serve."""

    started_at_s: float
    serves_from_s: float
    until_s: float


def _start_windows(history: History) -> dict[NodeName, list[_Window]]:
    """Return the window after each start; it ends early if the node becomes unavailable.

    A start without any source of the configuration has no window. Nodes persist nothing, so a node
    cannot obtain the configuration while it is cut off, or while the store is down and no other
    node has it.
    """
    bounds = history.bounds
    windows: dict[NodeName, list[_Window]] = {}
    available = available_intervals(history)
    outages = _store_outages(history)
    for changed in history.of_type(NodeChanged):
        if changed.change is not NodeChange.STARTED:
            continue
        until_s = _available_until(available[changed.node], changed.at_s)
        if until_s is None or not _has_source(history, changed, available, outages):
            continue
        window = _Window(
            started_at_s=changed.at_s,
            serves_from_s=changed.at_s + bounds.serves_after_restart_s,
            until_s=min(changed.at_s + bounds.restart_window_s, until_s),
        )
        windows.setdefault(changed.node, []).append(window)
    return windows


def _available_until(intervals: list[Interval], at_s: float) -> float | None:
    """Return the end of the interval that contains a time, or None."""
    return next((end_s for start_s, end_s in intervals if start_s <= at_s < end_s), None)


def _store_outages(history: History) -> list[Interval]:
    outages: list[Interval] = []
    for changed in history.of_type(StoreChanged):
        if not changed.is_up:
            outages.append((changed.at_s, float("inf")))
        elif outages:
            outages[-1] = (outages[-1][0], changed.at_s)
    return outages


def _has_source(
    history: History,
    started: NodeChanged,
    available: dict[NodeName, list[Interval]],
    outages: list[Interval],
) -> bool:
    """Return whether a started node can get the configuration from the store or another node.

    A node that is up but has no configuration yet, because it started just before, is no source.
    """
    if not any(down_s <= started.at_s < up_s for down_s, up_s in outages):
        return True
    return any(
        node != started.node
        and interval_start(intervals, started.at_s) is not None
        and _has_configuration(history, node, started.at_s)
        for node, intervals in available.items()
    )


def _has_configuration(history: History, node: NodeName, at_s: float) -> bool:
    """Return whether a node, since its latest start, has put a configuration in force by a time."""
    began_at_s = latest_start_s(history, node, at_s)
    return any(
        taken.node == node and began_at_s <= taken.at_s <= at_s
        for taken in history.of_type(ConfigurationTaken)
    )


def _describe_not_serving(
    ending: object, sent: Sent, answered_at: list[tuple[float, NodeName]]
) -> str | None:
    """Return how an ending shows that the node did not serve, or None."""
    if isinstance(ending, ConnectionBroke) and not ending.was_connected:
        return "refused the connection"
    if not isinstance(ending, RefusalReceived) or ending.code not in NOT_SERVING_CODES:
        return None
    if ending.code is RefusalCode.NO_BACKEND:
        others_serve = any(
            node != sent.node and abs(at_s - ending.at_s) < 1.0 for at_s, node in answered_at
        )
        if not others_serve:
            return None
    return f"refused with {ending.code.value}"


def _answer_times(history: History) -> list[tuple[float, NodeName]]:
    times: list[tuple[float, NodeName]] = []
    for request_id, sent in history.sent.items():
        ending = history.ending(request_id)
        if isinstance(ending, GenerationAnswered | ServiceAnswered):
            times.append((ending.at_s, sent.node))
    return times


def check_leaving_gets_no_work(history: History) -> list[Violation]:
    """Check that no back end starts new work later than the bound after it began to leave.

    If the sending node became available (started, resumed or reconnected) later than that, the
    bound counts from then. Runs of a sender that was unavailable, such as cut off, do not count.
    """
    violations: list[Violation] = []
    available = available_intervals(history)
    leaving_since: dict[str, float] = {}
    for record in history.records:
        if isinstance(record, BackendChanged):
            if record.change is BackendChange.LEAVING:
                leaving_since.setdefault(record.backend, record.at_s)
            elif record.change is BackendChange.RETURNED:
                leaving_since.pop(record.backend, None)
        elif isinstance(record, EngineRun | ServiceRun):
            backend = record.engine if isinstance(record, EngineRun) else record.backend
            left_at_s = leaving_since.get(backend)
            if left_at_s is None:
                continue
            since_s = _could_learn_since(history, available, record, left_at_s)
            if since_s is not None and record.at_s > since_s + history.bounds.leaving_s:
                detail = (
                    f"{backend} started work {record.at_s - since_s:.3f} s after it began to leave"
                )
                violations.append(Violation(LEAVING_GETS_NO_WORK, (record.request_id,), detail))
    return violations


def _could_learn_since(
    history: History,
    available: dict[NodeName, list[Interval]],
    run: EngineRun | ServiceRun,
    left_at_s: float,
) -> float | None:
    """Return since when the sender of a run could learn that the back end leaves, or None."""
    sent = history.sent.get(run.request_id)
    intervals = available.get(sent.node) if sent is not None else None
    if intervals is None:
        return left_at_s
    available_since_s = interval_start(intervals, run.at_s)
    return None if available_since_s is None else max(left_at_s, available_since_s)


def check_planned_stop_cuts_nothing(history: History) -> list[Violation]:
    """Check that a planned stop of a node breaks no connections of requests in flight.

    Requests that are sent to it later may be refused as not run, but their connections must not
    break. If the node crashes during the stop, only connections broken before the crash count, as
    the stop did not cause the others.
    """
    violations: list[Violation] = []
    stops = _planned_stops(history)
    for request_id, sent in history.sent.items():
        ending = history.ending(request_id)
        if not isinstance(ending, ConnectionBroke) or not ending.was_connected:
            continue
        for stop in stops.get(sent.node, ()):
            if sent.at_s <= stop.ended_at_s and stop.began_at_s <= ending.at_s < stop.crashed_at_s:
                stop_age_s = ending.at_s - stop.began_at_s
                detail = f"{sent.node} broke the connection {stop_age_s:.3f} s into a planned stop"
                violations.append(Violation(PLANNED_STOP_CUTS_NOTHING, (request_id,), detail))
    return violations


class _PlannedStop(NamedTuple):
    """One planned stop; times are infinite for events that did not happen."""

    began_at_s: float
    ended_at_s: float = float("inf")
    crashed_at_s: float = float("inf")


def _planned_stops(history: History) -> dict[NodeName, list[_PlannedStop]]:
    stops: dict[NodeName, list[_PlannedStop]] = {}
    draining: dict[NodeName, float] = {}
    for changed in history.of_type(NodeChanged):
        node, at_s = changed.node, changed.at_s
        if changed.change is NodeChange.DRAIN_BEGAN:
            draining[node] = at_s
        elif changed.change is NodeChange.STOPPED and node in draining:
            stops.setdefault(node, []).append(_PlannedStop(draining.pop(node), at_s))
        elif changed.change is NodeChange.CRASHED and node in draining:
            stops.setdefault(node, []).append(_PlannedStop(draining.pop(node), at_s, at_s))
    for node, began_at_s in draining.items():
        stops.setdefault(node, []).append(_PlannedStop(began_at_s))
    return stops
