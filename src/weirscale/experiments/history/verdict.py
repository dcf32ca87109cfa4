"""The verdict on a history: every rule checked, every request counted once."""

import enum
from collections import Counter

import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.domain.request.model import RunStatus
from weirscale.experiments.history import (
    answers,
    cache_rules,
    configuration_rules,
    fleet_rules,
)
from weirscale.experiments.history.history import History, Violation
from weirscale.experiments.history.records import (
    CallerLeft,
    GenerationAnswered,
    RefusalReceived,
    ServiceAnswered,
)

CHECKERS = {
    cache_rules.CACHE_IS_OWN: cache_rules.check_cache_is_own,
    answers.STREAM_WHOLE_IN_ORDER: answers.check_stream_whole_in_order,
    fleet_rules.SERVES_AFTER_RESTART: fleet_rules.check_serves_after_restart,
    answers.WHOLE_OWN_ANSWER: answers.check_whole_own_answer,
    answers.NOT_RUN_IS_TRUE: answers.check_not_run_is_true,
    answers.AT_MOST_ONCE: answers.check_at_most_once,
    fleet_rules.LEAVING_GETS_NO_WORK: fleet_rules.check_leaving_gets_no_work,
    fleet_rules.PLANNED_STOP_CUTS_NOTHING: fleet_rules.check_planned_stop_cuts_nothing,
    configuration_rules.CONFIGURATION_IN_FORCE: configuration_rules.check_configuration_in_force,
    configuration_rules.FENCED_ORDERS: configuration_rules.check_fenced_orders,
}
"""One checker for each rule that must always hold, and one for fencing."""


class RequestCounts(msgspec.Struct, frozen=True):
    """What became of the requests of a run.

    Each request sent is in exactly one of `answered_once`, `refused_not_run`, `failed`, `lost`,
    `crossed`, `truncated` and `left`; `doubled` and `false_not_run` count some of them again.

    Attributes:
        sent: Requests sent.
        answered_once: Answered whole, once, with their own answer.
        refused_not_run: Refused as not run.
        failed: Ended by an explicit error or a broken connection, not claimed as not run.
        lost: Without any ending in time.
        doubled: Pieces of unrepeatable work that ran more than once.
        crossed: Given what belongs to another request.
        truncated: Ended normally before the whole answer.
        false_not_run: Refused as not run although they ran.
        left: Their callers left on purpose.
    """

    sent: int
    answered_once: int
    refused_not_run: int
    failed: int
    lost: int
    doubled: int
    crossed: int
    truncated: int
    false_not_run: int
    left: int


class Verdict(msgspec.Struct, frozen=True):
    """Counts and violations of one history."""

    counts: RequestCounts
    violations: tuple[Violation, ...]


def judge(history: History) -> Verdict:
    """Check every rule and count every request."""
    violations: list[Violation] = []
    for check in CHECKERS.values():
        violations.extend(check(history))
    return Verdict(counts=count_requests(history), violations=tuple(violations))


class Fate(enum.Enum):
    """What became of one request; see `RequestCounts`."""

    ANSWERED_ONCE = "answered_once"
    REFUSED_NOT_RUN = "refused_not_run"
    FAILED = "failed"
    LOST = "lost"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    LEFT = "left"


def count_requests(history: History) -> RequestCounts:
    """Count what became of the requests."""
    num_of = Counter(fate(history, request_id) for request_id in history.sent)
    return RequestCounts(
        sent=len(history.sent),
        answered_once=num_of[Fate.ANSWERED_ONCE],
        refused_not_run=num_of[Fate.REFUSED_NOT_RUN],
        failed=num_of[Fate.FAILED],
        lost=num_of[Fate.LOST],
        doubled=len(answers.repeated_run_groups(history)),
        crossed=num_of[Fate.CROSSED],
        truncated=num_of[Fate.TRUNCATED],
        false_not_run=sum(answers.is_false_not_run(history, one) for one in history.sent),
        left=num_of[Fate.LEFT],
    )


def fate(history: History, request_id: RequestId) -> Fate:
    """Tell what became of one request."""
    ending = history.ending(request_id)
    if answers.is_crossed(history, request_id):
        return Fate.CROSSED
    if isinstance(ending, CallerLeft):
        return Fate.LEFT
    if answers.is_lost(history, request_id):
        return Fate.LOST
    if isinstance(ending, GenerationAnswered):
        has_no_end = ending.finish_reason is None
        is_truncated = has_no_end or answers.is_truncated(history, request_id)
        return Fate.TRUNCATED if is_truncated else Fate.ANSWERED_ONCE
    if isinstance(ending, ServiceAnswered):
        return Fate.ANSWERED_ONCE
    if isinstance(ending, RefusalReceived) and ending.run_status is RunStatus.NOT_RUN:
        return Fate.REFUSED_NOT_RUN
    return Fate.FAILED
