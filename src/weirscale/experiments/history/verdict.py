"""Verdict on a history: check every rule and classify every request."""

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
"""Checkers of the rules that must always hold, and one for fencing, by rule name."""


class RequestCounts(msgspec.Struct, frozen=True):
    """Outcomes of the requests of a run.

    Each request sent is counted in exactly one of `answered_once`, `refused_not_run`,
    `refused_repeats`, `failed`, `lost`, `crossed`, `truncated` and `left`; `doubled` and
    `false_not_run` count some again.

    Attributes:
        sent: Requests sent.
        answered_once: Answered once with their own whole answer.
        refused_not_run: Refused as not run.
        failed: Ended by a broken connection, or by an error that does not state "not run".
        lost: Without any ending in time.
        doubled: Non-repeatable operations that ran more than once.
        crossed: Answered with content of another request.
        truncated: Ended normally before the whole answer.
        false_not_run: Refused as not run although they ran.
        left: Disconnected by their callers on purpose.
        refused_repeats: Refused as repeats of requests with the same key that were answered.
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
    refused_repeats: int = 0


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


class RequestOutcome(enum.Enum):
    """Outcome of one request; see `RequestCounts`."""

    ANSWERED_ONCE = "answered_once"
    REFUSED_NOT_RUN = "refused_not_run"
    REFUSED_REPEAT = "refused_repeat"
    FAILED = "failed"
    LOST = "lost"
    CROSSED = "crossed"
    TRUNCATED = "truncated"
    LEFT = "left"


def count_requests(history: History) -> RequestCounts:
    """Count the requests by outcome."""
    counts = Counter(request_outcome(history, request_id) for request_id in history.sent)
    return RequestCounts(
        sent=len(history.sent),
        answered_once=counts[RequestOutcome.ANSWERED_ONCE],
        refused_not_run=counts[RequestOutcome.REFUSED_NOT_RUN],
        failed=counts[RequestOutcome.FAILED],
        lost=counts[RequestOutcome.LOST],
        doubled=len(answers.repeated_run_groups(history)),
        crossed=counts[RequestOutcome.CROSSED],
        truncated=counts[RequestOutcome.TRUNCATED],
        false_not_run=sum(
            answers.is_false_not_run(history, request_id) for request_id in history.sent
        ),
        left=counts[RequestOutcome.LEFT],
        refused_repeats=counts[RequestOutcome.REFUSED_REPEAT],
    )


def request_outcome(history: History, request_id: RequestId) -> RequestOutcome:
    """Return the outcome of one request."""
    ending = history.ending(request_id)
    if answers.is_crossed(history, request_id):
        return RequestOutcome.CROSSED
    if isinstance(ending, CallerLeft):
        return RequestOutcome.LEFT
    if answers.is_lost(history, request_id):
        return RequestOutcome.LOST
    if isinstance(ending, GenerationAnswered):
        has_no_end = ending.finish_reason is None
        is_truncated = has_no_end or answers.is_truncated(history, request_id)
        return RequestOutcome.TRUNCATED if is_truncated else RequestOutcome.ANSWERED_ONCE
    if isinstance(ending, ServiceAnswered):
        return RequestOutcome.ANSWERED_ONCE
    if isinstance(ending, RefusalReceived) and ending.run_status is RunStatus.NOT_RUN:
        return RequestOutcome.REFUSED_NOT_RUN
    if answers.is_refused_repeat(history, request_id):
        return RequestOutcome.REFUSED_REPEAT
    return RequestOutcome.FAILED
