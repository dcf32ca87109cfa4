"""The circuit of one back end: an immutable value and its transitions.

A circuit is closed (work flows), open (no work until a time), or half-open (the time has passed:
one trial request decides). Half-open is not stored; it is an open circuit past its time. A
quarantine is an opening for a wrong answer: it lasts longer and only a request can end it.
"""

import enum
from random import Random

import msgspec

from weirscale.domain.health.rules import HealthRules

DOUBLING = 2.0
"""Each opening that follows soon lasts twice as long as the one before."""

MAX_DOUBLINGS = 16
"""Bounds the exponent; every rule's longest time is reached far earlier."""


class CircuitState(enum.Enum):
    """Whether a back end may get work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    QUARANTINED = "quarantined"


class Circuit(msgspec.Struct, frozen=True):
    """Health of one back end as one node sees it; times are monotonic seconds.

    Attributes:
        is_open: Whether it is open or half-open.
        is_quarantined: Whether it is open for a wrong answer.
        needs_request: Whether only a successful request may close it (a probe may not).
        num_consecutive_failures: Failed requests in a row.
        num_failed_probes: Failed probes in a row.
        failure_weight: Decayed number of failed requests.
        sample_weight: Decayed number of requests.
        sampled_at_s: When the two weights were last decayed.
        num_openings: Openings that followed one another soon.
        opened_at_s: Start of the last opening.
        open_until_s: End of the last opening.
        closed_at_s: When the slow return began, None for a back end that was always healthy.
        reason: Why it was opened last.
    """

    is_open: bool = False
    is_quarantined: bool = False
    needs_request: bool = False
    num_consecutive_failures: int = 0
    num_failed_probes: int = 0
    failure_weight: float = 0.0
    sample_weight: float = 0.0
    sampled_at_s: float = 0.0
    num_openings: int = 0
    opened_at_s: float = 0.0
    open_until_s: float = 0.0
    closed_at_s: float | None = None
    reason: str = ""


HEALTHY = Circuit()
"""A back end of which nothing bad is known."""


def state_at(circuit: Circuit, now_s: float) -> CircuitState:
    """Return the state at a time."""
    if not circuit.is_open:
        return CircuitState.CLOSED
    if now_s >= circuit.open_until_s:
        return CircuitState.HALF_OPEN
    if circuit.is_quarantined:
        return CircuitState.QUARANTINED
    return CircuitState.OPEN


def admission_weight(circuit: Circuit, rules: HealthRules, now_s: float) -> float:
    """Return the share of work that the back end may get: 0 while open, 1 when healthy."""
    if circuit.is_open:
        return rules.min_weight if now_s >= circuit.open_until_s else 0.0
    if circuit.closed_at_s is None:
        return 1.0
    share = (now_s - circuit.closed_at_s) / rules.slow_start_s
    return min(1.0, rules.min_weight + (1.0 - rules.min_weight) * max(0.0, share))


def after_success(circuit: Circuit, rules: HealthRules, now_s: float) -> Circuit:
    """Learn that a request was answered; ends a half-open state."""
    state = state_at(circuit, now_s)
    if state is CircuitState.HALF_OPEN:
        return _closed(circuit, now_s)
    if state is not CircuitState.CLOSED:
        return circuit
    sampled = _sampled(circuit, rules, now_s, failed=False)
    return msgspec.structs.replace(sampled, num_consecutive_failures=0)


def after_probe_success(circuit: Circuit, now_s: float) -> Circuit:
    """Learn that a probe was answered; ends a half-open state that began with failed probes."""
    if state_at(circuit, now_s) is CircuitState.HALF_OPEN and not circuit.needs_request:
        return _closed(circuit, now_s)
    if circuit.num_failed_probes == 0:
        return circuit
    return msgspec.structs.replace(circuit, num_failed_probes=0)


def after_failure(
    circuit: Circuit,
    rules: HealthRules,
    now_s: float,
    random: Random,
    reason: str,
    counts_in_a_row: bool = True,
) -> Circuit:
    """Learn that a request failed.

    Args:
        circuit: State before.
        rules: Thresholds.
        now_s: Time.
        random: For the jitter of the opening.
        reason: What failed, for reports.
        counts_in_a_row: False for failures that the caller's own deadline may have caused; they
            count for the failure rate alone.
    """
    state = state_at(circuit, now_s)
    if state is CircuitState.HALF_OPEN:
        return _opened(circuit, rules, now_s, random, reason, needs_request=True)
    if state is not CircuitState.CLOSED:
        return circuit
    sampled = _sampled(circuit, rules, now_s, failed=True)
    in_a_row = circuit.num_consecutive_failures + (1 if counts_in_a_row else 0)
    sampled = msgspec.structs.replace(sampled, num_consecutive_failures=in_a_row)
    is_frequent = (
        sampled.sample_weight >= rules.min_samples
        and sampled.failure_weight >= rules.max_failure_rate * sampled.sample_weight
    )
    if in_a_row >= rules.max_consecutive_failures or is_frequent:
        return _opened(sampled, rules, now_s, random, reason, needs_request=True)
    return sampled


def after_probe_failure(
    circuit: Circuit, rules: HealthRules, now_s: float, random: Random, reason: str
) -> Circuit:
    """Learn that a probe got no answer."""
    state = state_at(circuit, now_s)
    if state is CircuitState.HALF_OPEN:
        return _opened(circuit, rules, now_s, random, reason, circuit.needs_request)
    if state is not CircuitState.CLOSED:
        return circuit
    num_failed = circuit.num_failed_probes + 1
    circuit = msgspec.structs.replace(circuit, num_failed_probes=num_failed)
    if num_failed < rules.max_failed_probes:
        return circuit
    return _opened(circuit, rules, now_s, random, reason, needs_request=False)


def after_wrong_answer(
    circuit: Circuit, rules: HealthRules, now_s: float, random: Random, reason: str
) -> Circuit:
    """Learn that the back end answered wrongly: quarantine it."""
    if state_at(circuit, now_s) is CircuitState.QUARANTINED:
        return circuit
    num_openings = _openings_after(circuit, rules, now_s)
    length_s = _opening_s(
        num_openings, rules.quarantine_time_s, rules.max_quarantine_time_s, rules, random
    )
    return Circuit(
        is_open=True,
        is_quarantined=True,
        needs_request=True,
        num_openings=num_openings,
        opened_at_s=now_s,
        open_until_s=now_s + length_s,
        reason=reason,
    )


def after_restart(circuit: Circuit, rules: HealthRules, now_s: float, random: Random) -> Circuit:
    """Learn that the back end runs anew: forget its failures, unless it keeps restarting.

    Each restart counts as an opening, so a back end that crashes again and again is held out for
    ever longer. A quarantined one must first answer a request well.
    """
    num_openings = _openings_after(circuit, rules, now_s)
    if circuit.is_quarantined:
        until_s = min(circuit.open_until_s, now_s)
        return msgspec.structs.replace(circuit, num_openings=num_openings, open_until_s=until_s)
    if num_openings > rules.num_tolerated_restarts:
        reason = f"restarted or failed {num_openings} times"
        return _opened(circuit, rules, now_s, random, reason, needs_request=False)
    return Circuit(num_openings=num_openings, opened_at_s=now_s, closed_at_s=now_s)


def _closed(circuit: Circuit, now_s: float) -> Circuit:
    return Circuit(
        num_openings=circuit.num_openings,
        opened_at_s=circuit.opened_at_s,
        closed_at_s=now_s,
        reason=circuit.reason,
    )


def _opened(
    circuit: Circuit,
    rules: HealthRules,
    now_s: float,
    random: Random,
    reason: str,
    needs_request: bool,
) -> Circuit:
    num_openings = _openings_after(circuit, rules, now_s)
    length_s = _opening_s(num_openings, rules.open_time_s, rules.max_open_time_s, rules, random)
    return Circuit(
        is_open=True,
        needs_request=needs_request,
        num_openings=num_openings,
        opened_at_s=now_s,
        open_until_s=now_s + length_s,
        reason=reason,
    )


def _openings_after(circuit: Circuit, rules: HealthRules, now_s: float) -> int:
    """Count one more opening, or the first again after a long healthy time."""
    healthy_since_s = circuit.opened_at_s if circuit.closed_at_s is None else circuit.closed_at_s
    if circuit.num_openings and now_s - healthy_since_s <= rules.forget_openings_s:
        return circuit.num_openings + 1
    return 1


def _opening_s(
    num_openings: int, first_s: float, longest_s: float, rules: HealthRules, random: Random
) -> float:
    doublings = min(num_openings - 1, MAX_DOUBLINGS)
    length_s = min(longest_s, first_s * DOUBLING**doublings)
    return length_s * (1.0 + rules.open_jitter * (2.0 * random.random() - 1.0))


def _sampled(circuit: Circuit, rules: HealthRules, now_s: float, failed: bool) -> Circuit:
    elapsed_s = max(0.0, now_s - circuit.sampled_at_s)
    kept = 0.5 ** (elapsed_s / rules.sample_half_life_s)
    return msgspec.structs.replace(
        circuit,
        sample_weight=circuit.sample_weight * kept + 1.0,
        failure_weight=circuit.failure_weight * kept + (1.0 if failed else 0.0),
        sampled_at_s=now_s,
    )
