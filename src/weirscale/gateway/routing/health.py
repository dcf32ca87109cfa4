"""Health of back ends as observed by this node: one circuit breaker each, for requests and probes.

The circuit logic is in `domain.health.circuit`. This module holds the thresholds, and logs changes.
"""

from random import Random

from weirscale.domain.health.circuit import (
    HEALTHY,
    Circuit,
    CircuitState,
    admission_weight,
    after_failure,
    after_probe_failure,
    after_probe_success,
    after_success,
    state_at,
)
from weirscale.domain.health.rules import HealthRules
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.ports.event_log import EventLog

GATEWAY_HEALTH_RULES = HealthRules(
    max_consecutive_failures=2,
    max_failed_probes=1,
    max_failure_rate=0.25,
    min_samples=6.0,
    sample_half_life_s=3.0,
    open_time_s=0.6,
    max_open_time_s=4.0,
    forget_openings_s=10.0,
    slow_start_s=1.0,
    min_weight=0.15,
)
"""Thresholds, with units as in `HealthRules`. They are stricter and shorter than its defaults, so
that circuits open soon and are tried again soon, since each node sends many requests."""


TOLD_BY_PEER = "told_by_peer"
"""Reason of a circuit that another node's word opened."""

OWN_WORD_LIFE_S = 0.3
"""Seconds after this node heard from a back end for which it does not believe that the back end is
unreachable."""


class BackEndHealth:
    """Owns one circuit for each back end.

    Args:
        event_log: Log for openings and closings.
        random: Source of jitter, and of trial requests to recovering back ends.
        rules: Thresholds.
    """

    def __init__(
        self, event_log: EventLog, random: Random, rules: HealthRules = GATEWAY_HEALTH_RULES
    ) -> None:
        self._event_log = event_log
        self._random = random
        self._rules = rules
        self._circuits: dict[InstanceId, Circuit] = {}
        self._heard_at_s: dict[InstanceId, float] = {}

    def heard(self, instance: InstanceId, now_s: float) -> None:
        """Record that something was received from a back end, which outweighs others' words."""
        self._heard_at_s[instance] = now_s
        circuit = self._circuits.get(instance)
        if circuit is not None and circuit.is_open and circuit.reason == TOLD_BY_PEER:
            self._set(instance, after_probe_success(circuit, now_s), now_s)

    def told_unreachable(self, instance: InstanceId, now_s: float) -> None:
        """Record another node's word that a back end is unreachable."""
        if now_s - self._heard_at_s.get(instance, float("-inf")) > OWN_WORD_LIFE_S:
            self.unreachable(instance, TOLD_BY_PEER, now_s)

    def succeeded(self, instance: InstanceId, now_s: float) -> None:
        """Record an answered request."""
        self._heard_at_s[instance] = now_s
        circuit = self._circuits.get(instance)
        if circuit is not None:
            self._set(instance, after_success(circuit, self._rules, now_s), now_s)

    def failed(self, instance: InstanceId, reason: str, now_s: float) -> None:
        """Record a failed request."""
        circuit = self._circuits.get(instance, HEALTHY)
        after = after_failure(circuit, self._rules, now_s, self._random, reason)
        self._set(instance, after, now_s)

    def unreachable(self, instance: InstanceId, reason: str, now_s: float) -> None:
        """Record a failed connection or an unanswered probe."""
        circuit = self._circuits.get(instance, HEALTHY)
        after = after_probe_failure(circuit, self._rules, now_s, self._random, reason)
        self._set(instance, after, now_s)

    def probe_succeeded(self, instance: InstanceId, now_s: float) -> None:
        """Record an answered probe."""
        circuit = self._circuits.get(instance)
        if circuit is not None:
            self._set(instance, after_probe_success(circuit, now_s), now_s)

    def admits(self, instance: InstanceId, now_s: float) -> bool:
        """Return whether a request may be sent now; at random while the back end recovers."""
        circuit = self._circuits.get(instance)
        if circuit is None:
            return True
        weight = admission_weight(circuit, self._rules, now_s)
        return weight >= 1.0 or self._random.random() < weight

    def is_suspect(self, instance: InstanceId, now_s: float) -> bool:
        """Return whether the circuit of a back end is not closed."""
        circuit = self._circuits.get(instance)
        return circuit is not None and state_at(circuit, now_s) is not CircuitState.CLOSED

    def to_probe(self, now_s: float) -> tuple[InstanceId, ...]:
        """Return the back ends whose circuit a probe could close now."""
        return tuple(
            instance
            for instance, circuit in self._circuits.items()
            if not circuit.needs_request and state_at(circuit, now_s) is CircuitState.HALF_OPEN
        )

    def forget(self, instance: InstanceId) -> None:
        """Drop the state of a back end that was removed."""
        self._circuits.pop(instance, None)
        self._heard_at_s.pop(instance, None)

    def _set(self, instance: InstanceId, circuit: Circuit, now_s: float) -> None:
        was_open = self._circuits.get(instance, HEALTHY).is_open
        self._circuits[instance] = circuit
        if circuit.is_open and not was_open:
            self._event_log.event(
                "back_end_suspected",
                instance=instance,
                reason=circuit.reason,
                open_s=circuit.open_until_s - now_s,
            )
        elif was_open and not circuit.is_open:
            self._event_log.event("back_end_recovered", instance=instance, reason=circuit.reason)
