"""Update the facts of one back end from one observation; pure functions."""

from random import Random

import msgspec

from weirscale.domain.health.circuit import (
    after_failure,
    after_probe_failure,
    after_probe_success,
    after_restart,
    after_success,
    after_wrong_answer,
)
from weirscale.domain.health.leaving import LeavingSource, after_incarnation, after_own_statement
from weirscale.domain.health.rules import HealthRules
from weirscale.domain.identifiers import Incarnation
from weirscale.messages.cache import LoadReport
from weirscale.node.backends.facts import EngineFacts, ServiceBackendFacts
from weirscale.ports.engine import EngineFailure, EngineFailureKind
from weirscale.ports.service import ServiceFailure, ServiceFailureKind

ENGINE_FAULTS = frozenset(
    {EngineFailureKind.UNREACHABLE, EngineFailureKind.BROKEN, EngineFailureKind.TIMED_OUT}
)
"""Failures that count against the engine's health; refusals are answers of a healthy engine."""

MISMATCH_RETRY_S = 5.0
"""An engine that refused because of a mismatch, but whose reports do not change, is tried again
after this time."""

DEFAULT_BUSY_S = 0.2
"""Pause after a busy refusal without a retry time; about the duration of a few short answers."""

MAX_BUSY_S = 5.0
"""Longest pause accepted from an engine; its load reports show free capacity sooner."""

UNAVAILABLE_STATUSES = frozenset({502, 503, 504})
"""HTTP statuses that report that the back end cannot serve."""


def after_report(
    facts: EngineFacts,
    report: LoadReport,
    reported_at_s: float,
    now_s: float,
    rules: HealthRules,
    random: Random,
) -> EngineFacts:
    """Return the facts after a load report; reports of an older run, or older ones, are ignored."""
    previous = facts.report
    circuit = facts.circuit
    if previous is not None:
        if report.incarnation < previous.incarnation:
            return facts
        is_same_run = report.incarnation == previous.incarnation
        if is_same_run and reported_at_s < facts.reported_at_s:
            return facts
        if not is_same_run:
            circuit = after_restart(circuit, rules, now_s, random)
    circuit = after_probe_success(circuit, now_s)
    leaving = after_incarnation(facts.leaving, report.incarnation)
    if report.is_leaving:
        leaving = after_own_statement(leaving, LeavingSource.LOAD_REPORT, report.incarnation)
    is_mismatch_unresolved = _has_unresolved_mismatch(facts, report, reported_at_s)
    return msgspec.structs.replace(
        facts,
        report=report,
        reported_at_s=reported_at_s,
        circuit=circuit,
        leaving=leaving,
        num_reports=facts.num_reports + 1,
        mismatch_since_s=facts.mismatch_since_s if is_mismatch_unresolved else None,
    )


def _has_unresolved_mismatch(facts: EngineFacts, report: LoadReport, reported_at_s: float) -> bool:
    """Return whether the mismatch that the engine refused a request for may still exist.

    An engine that finishes its requests before it loads other weights still reports the old weights
    and refuses new requests for them. Trying it after each report would waste an attempt each time.
    """
    if facts.mismatch_since_s is None or facts.report is None:
        return False
    if _identity(report) != _identity(facts.report):
        return False
    return reported_at_s < facts.mismatch_since_s + MISMATCH_RETRY_S


def _identity(report: LoadReport) -> tuple[object, ...]:
    return (report.incarnation, report.model, report.weight_version, report.adapters)


def after_unreachable(
    facts: EngineFacts, detail: str, now_s: float, rules: HealthRules, random: Random
) -> EngineFacts:
    """Return the facts after a probe without an answer."""
    circuit = after_probe_failure(facts.circuit, rules, now_s, random, f"probe failed: {detail}")
    if circuit is facts.circuit:
        return facts
    return msgspec.structs.replace(facts, circuit=circuit)


def after_engine_attempt(
    facts: EngineFacts,
    incarnation: Incarnation,
    failure: EngineFailure | None,
    now_s: float,
    rules: HealthRules,
    random: Random,
) -> EngineFacts:
    """Return the facts after the end of an attempt; attempts on an older run are ignored."""
    if facts.incarnation is not None and incarnation < facts.incarnation:
        return facts
    if failure is None or failure.kind is EngineFailureKind.REFUSED_INVALID:
        return msgspec.structs.replace(facts, circuit=after_success(facts.circuit, rules, now_s))
    if failure.kind is EngineFailureKind.REFUSED_LEAVING:
        leaving = after_own_statement(facts.leaving, LeavingSource.REFUSAL, incarnation)
        return msgspec.structs.replace(facts, leaving=leaving)
    if failure.kind is EngineFailureKind.CORRUPT:
        circuit = after_wrong_answer(facts.circuit, rules, now_s, random, failure.detail)
        return msgspec.structs.replace(facts, circuit=circuit)
    if failure.kind is EngineFailureKind.REFUSED_MISMATCH:
        return msgspec.structs.replace(facts, mismatch_since_s=now_s)
    if failure.kind is EngineFailureKind.REFUSED_BUSY:
        pause_s = failure.retry_after_s or DEFAULT_BUSY_S
        return msgspec.structs.replace(facts, busy_until_s=now_s + min(pause_s, MAX_BUSY_S))
    if failure.kind not in ENGINE_FAULTS:
        return facts
    circuit = after_failure(
        facts.circuit,
        rules,
        now_s,
        random,
        f"{failure.kind.value}: {failure.detail}",
        counts_in_a_row=failure.kind is not EngineFailureKind.TIMED_OUT,
    )
    return msgspec.structs.replace(facts, circuit=circuit)


def after_service_attempt(
    facts: ServiceBackendFacts,
    failure: ServiceFailure | None,
    http_status: int | None,
    now_s: float,
    rules: HealthRules,
    random: Random,
) -> ServiceBackendFacts:
    """Return the facts after the end of an attempt on a service back end."""
    circuit = facts.circuit
    if failure is not None and failure.kind is ServiceFailureKind.CORRUPT:
        circuit = after_wrong_answer(circuit, rules, now_s, random, failure.detail)
    elif failure is not None:
        counts_in_a_row = failure.kind is not ServiceFailureKind.TIMED_OUT
        reason = f"{failure.kind.value}: {failure.detail}"
        circuit = after_failure(circuit, rules, now_s, random, reason, counts_in_a_row)
    elif http_status in UNAVAILABLE_STATUSES:
        circuit = after_failure(circuit, rules, now_s, random, f"status {http_status}")
    else:
        circuit = after_success(circuit, rules, now_s)
    return msgspec.structs.replace(facts, circuit=circuit)
