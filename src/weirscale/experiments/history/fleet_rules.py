"""Rules on nodes and back ends: restarts, leaving, planned stops."""

from typing import NamedTuple

from weirscale.domain.identifiers import NodeName
from weirscale.domain.request.refusal import RefusalCode
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.intervals import (
    Interval,
    available_intervals,
    interval_start,
    last_start_s,
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
"""Refusals of a node that does not serve yet."""


def check_serves_after_restart(history: History) -> list[Violation]:
    """Check that a node that started serves what is sent to it between the bound and the window.

    NO_BACKEND counts only where another node answered at about that time, so that a fleet without
    back ends is not held against a restarted node.
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
            failure = _not_serving(ending, sent, answered_at)
            if failure is not None:
                detail = f"{sent.node}, started at {started_at_s:.3f} s: {failure}"
                violations.append(Violation(SERVES_AFTER_RESTART, (request_id,), detail))
    return violations


class _Window(NamedTuple):
    """A time in which a started node must serve."""

    started_at_s: float
    serves_from_s: float
    until_s: float


def _start_windows(history: History) -> dict[NodeName, list[_Window]]:
    """Return the windows after each start; they end early where the node becomes unable.

    A start without any source of the configuration has none: a node keeps nothing, so when it is
    cut off, or the store is down and no other node is up, nobody can tell it.
    """
    bounds = history.bounds
    windows: dict[NodeName, list[_Window]] = {}
    able = available_intervals(history)
    outages = _store_outages(history)
    for changed in history.of_type(NodeChanged):
        if changed.change is not NodeChange.STARTED:
            continue
        until_s = _able_until(able[changed.node], changed.at_s)
        if until_s is None or not _has_source(history, changed, able, outages):
            continue
        window = _Window(
            started_at_s=changed.at_s,
            serves_from_s=changed.at_s + bounds.serves_after_restart_s,
            until_s=min(changed.at_s + bounds.restart_window_s, until_s),
        )
        windows.setdefault(changed.node, []).append(window)
    return windows


def _able_until(intervals: list[Interval], at_s: float) -> float | None:
    """Return the end of the interval that holds a time, or None."""
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
    able: dict[NodeName, list[Interval]],
    outages: list[Interval],
) -> bool:
    """Whether the store, or another node that has it, can tell a node the configuration.

    A node that is up and has none itself, since it started just before, can tell nothing.
    """
    if not any(down_s <= started.at_s < up_s for down_s, up_s in outages):
        return True
    return any(
        node != started.node
        and interval_start(intervals, started.at_s) is not None
        and _has_configuration(history, node, started.at_s)
        for node, intervals in able.items()
    )


def _has_configuration(history: History, node: NodeName, at_s: float) -> bool:
    """Whether a node's run that is up at a time has taken a configuration by then."""
    began_at_s = last_start_s(history, node, at_s)
    return any(
        taken.node == node and began_at_s <= taken.at_s <= at_s
        for taken in history.of_type(ConfigurationTaken)
    )


def _not_serving(
    ending: object, sent: Sent, answered_at: list[tuple[float, NodeName]]
) -> str | None:
    """Say how an ending shows a node that does not serve, or None."""
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

    The bound counts from when the node that sends the work last became able to hear of it (start,
    resumption, links whole again), if that is later; a node that is cut off cannot.
    """
    violations: list[Violation] = []
    able = available_intervals(history)
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
            since_s = _could_hear_since(history, able, record, left_at_s)
            if since_s is not None and record.at_s > since_s + history.bounds.leaving_s:
                detail = f"{backend} got work {record.at_s - since_s:.3f} s after it began to leave"
                violations.append(Violation(LEAVING_GETS_NO_WORK, (record.request_id,), detail))
    return violations


def _could_hear_since(
    history: History,
    able: dict[NodeName, list[Interval]],
    run: EngineRun | ServiceRun,
    left_at_s: float,
) -> float | None:
    """Return since when the node that sent a run could hear that its back end leaves."""
    sent = history.sent.get(run.request_id)
    intervals = able.get(sent.node) if sent is not None else None
    if intervals is None:
        return left_at_s
    able_since_s = interval_start(intervals, run.at_s)
    return None if able_since_s is None else max(left_at_s, able_since_s)


def check_planned_stop_cuts_nothing(history: History) -> list[Violation]:
    """Check that requests in flight at a node when its planned stop begins are answered whole.

    What is sent to it later may be refused, as not run, but never broken off. A crash during the
    stop cuts what is left, by no fault of the stop: only what broke before the crash counts.
    """
    violations: list[Violation] = []
    stops = _planned_stops(history)
    for request_id, sent in history.sent.items():
        ending = history.ending(request_id)
        if not isinstance(ending, ConnectionBroke) or not ending.was_connected:
            continue
        for stop in stops.get(sent.node, ()):
            if sent.at_s <= stop.ended_at_s and stop.began_at_s <= ending.at_s < stop.crashed_at_s:
                into_s = ending.at_s - stop.began_at_s
                detail = f"{sent.node} cut it {into_s:.3f} s into a planned stop"
                violations.append(Violation(PLANNED_STOP_CUTS_NOTHING, (request_id,), detail))
    return violations


class _PlannedStop(NamedTuple):
    """One planned stop; infinite times for what did not come."""

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
