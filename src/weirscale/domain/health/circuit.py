"""The circuit breaker of one back end: an immutable value and its transitions.

A circuit is closed (requests are sent), open (no requests until a given time), or half-open (that
time has passed, and one trial request decides). Half-open is not stored; it is an open circuit past
its time. A quarantine is an opening after a wrong answer: it lasts longer, and only a successful
request can end it.
"""

import enum
from random import Random

import msgspec

from weirscale.domain.health.rules import HealthRules

DOUBLING = 2.0
"""Factor by which an opening is longer than the previous one, if it follows soon."""

MAX_DOUBLINGS = 16
"""Bounds the exponent; the maximum durations of the rules are reached far earlier."""


class CircuitState(enum.Enum):
    """State of a circuit, which decides whether the back end may get work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    QUARANTINED = "quarantined"


class Circuit(msgspec.Struct, frozen=True):
    """Health of one back end as one node sees it; times are monotonic seconds.

    Attributes:
        is_open: Whether the circuit is open or half-open.
        is_quarantined: Whether it is open because of a wrong answer.
        needs_request: Whether only a successful request may close it (not a probe).
        num_consecutive_failures: Failed requests in a row.
        num_failed_probes: Failed probes in a row.
        failure_weight: Decayed number of failed requests.
        sample_weight: Decayed number of requests.
        sampled_at_s: When the two weights were last decayed.
        num_openings: Number of openings in a row, each soon after the one before.
        opened_at_s: Start of the last opening.
        open_until_s: End of the last opening.
        closed_at_s: When the slow start began; None for a back end that was always healthy.
        reason: Reason for the last opening.
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
"""The circuit of a back end without any recorded failure."""


def state_at(circuit: Circuit, now_s: float) -> CircuitState:
    """Return the state of a circuit at a given time."""
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
    """Return the circuit after an answered request, which closes a half-open circuit."""
    state = state_at(circuit, now_s)
    if state is CircuitState.HALF_OPEN:
        return _closed(circuit, now_s)
    if state is not CircuitState.CLOSED:
        return circuit
    sampled = _sampled(circuit, rules, now_s, failed=False)
    return msgspec.structs.replace(sampled, num_consecutive_failures=0)


def after_probe_success(circuit: Circuit, now_s: float) -> Circuit:
    """Return the circuit after an answered probe.

    It closes a half-open circuit unless that needs a successful request.
    """
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
    """Return the circuit after a failed request.

    Args:
        circuit: The circuit before the failure.
        rules: Thresholds.
        now_s: Current time.
        random: Source of the opening's jitter.
        reason: Cause of the failure, for reports.
        counts_in_a_row: False for failures that the caller's own deadline may have caused; they
            count only in the failure rate.
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
    """Return the circuit after a probe without an answer."""
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
    """Return the circuit after a wrong answer: the back end is quarantined."""
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
    """Return the circuit after a restart of the back end.

    Its failures are dropped unless it keeps restarting. Each restart counts as an opening, so a
    back end that crashes repeatedly is held out for longer each time. A quarantined back end must
    first answer a request correctly.
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
    """Return the number of openings in a row, this one included; 1 after a long healthy time."""
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
    decay = 0.5 ** (elapsed_s / rules.sample_half_life_s)
    return msgspec.structs.replace(
        circuit,
        sample_weight=circuit.sample_weight * decay + 1.0,
        failure_weight=circuit.failure_weight * decay + (1.0 if failed else 0.0),
        sampled_at_s=now_s,
    )
