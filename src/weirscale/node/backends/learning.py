"""How one observation changes what is known of one back end; pure functions over facts."""

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
"""Failures that speak against the engine; its refusals are answers of a healthy one."""

VOID_RETRY_S = 5.0
"""An engine that refused for a mismatch, but whose reports do not change, is tried again after
this time."""

DEFAULT_BUSY_S = 0.2
"""Pause after a refusal for being full that gives no time; about a few short answers."""

MAX_BUSY_S = 5.0
"""Longest pause taken from an engine's hint; its load reports tell sooner."""

UNAVAILABLE_STATUSES = frozenset({502, 503, 504})
"""Answers of a back end that says it cannot serve."""


def after_report(
    facts: EngineFacts,
    report: LoadReport,
    reported_at_s: float,
    now_s: float,
    rules: HealthRules,
    random: Random,
) -> EngineFacts:
    """Take in a load report; one of an older run, or older than the one known, is void."""
    known = facts.report
    circuit = facts.circuit
    if known is not None:
        if report.incarnation < known.incarnation:
            return facts
        is_same_run = report.incarnation == known.incarnation
        if is_same_run and reported_at_s < facts.reported_at_s:
            return facts
        if not is_same_run:
            circuit = after_restart(circuit, rules, now_s, random)
    circuit = after_probe_success(circuit, now_s)
    leaving = after_incarnation(facts.leaving, report.incarnation)
    if report.is_leaving:
        leaving = after_own_statement(leaving, LeavingSource.LOAD_REPORT, report.incarnation)
    is_void = _stays_void(facts, report, reported_at_s)
    return msgspec.structs.replace(
        facts,
        report=report,
        reported_at_s=reported_at_s,
        circuit=circuit,
        leaving=leaving,
        num_reports=facts.num_reports + 1,
        void_since_s=facts.void_since_s if is_void else None,
    )


def _stays_void(facts: EngineFacts, report: LoadReport, reported_at_s: float) -> bool:
    """Whether a report leaves in doubt what the engine refused for.

    An engine that finishes its requests before it loads other weights still reports the old ones
    and refuses new requests for them; asking it after each report would waste an attempt each time.
    """
    if facts.void_since_s is None or facts.report is None:
        return False
    if _identity(report) != _identity(facts.report):
        return False
    return reported_at_s < facts.void_since_s + VOID_RETRY_S


def _identity(report: LoadReport) -> tuple[object, ...]:
    return (report.incarnation, report.model, report.weight_version, report.adapters)


def after_unreachable(
    facts: EngineFacts, detail: str, now_s: float, rules: HealthRules, random: Random
) -> EngineFacts:
    """Learn that a probe of the engine got no answer."""
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
    """Learn from the end of an attempt; one on an older run than known says nothing."""
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
        return msgspec.structs.replace(facts, void_since_s=now_s)
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
    """Learn from the end of an attempt on a service back end."""
    circuit = facts.circuit
    if failure is not None and failure.kind is ServiceFailureKind.CORRUPT:
        circuit = after_wrong_answer(circuit, rules, now_s, random, failure.detail)
    elif failure is not None:
        in_a_row = failure.kind is not ServiceFailureKind.TIMED_OUT
        reason = f"{failure.kind.value}: {failure.detail}"
        circuit = after_failure(circuit, rules, now_s, random, reason, in_a_row)
    elif http_status in UNAVAILABLE_STATUSES:
        circuit = after_failure(circuit, rules, now_s, random, f"status {http_status}")
    else:
        circuit = after_success(circuit, rules, now_s)
    return msgspec.structs.replace(facts, circuit=circuit)
