"""State of the directory and its updates from observations, without I/O or a clock."""

from collections.abc import Callable, Mapping
from random import Random

import msgspec

from weirscale.domain.configuration.model import Deployment, Engine, ServiceBackend
from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.health.leaving import after_machine_list
from weirscale.domain.health.rules import HealthRules
from weirscale.domain.identifiers import BackendName, EngineName, ModelName, ServiceName
from weirscale.node.backends.fact_updates import (
    after_engine_attempt,
    after_report,
    after_service_attempt,
    after_unreachable,
)
from weirscale.node.backends.facts import (
    EMPTY_SNAPSHOT,
    DirectorySnapshot,
    EngineFacts,
    ServiceBackendFacts,
)
from weirscale.node.backends.observations import (
    EngineAttemptEnded,
    EngineAttemptStarted,
    ReportArrived,
    ServiceAttemptEnded,
)
from weirscale.node.backends.port_table import PortTable
from weirscale.node.interfaces import ConfigurationInForce
from weirscale.ports.engine import EnginePort
from weirscale.ports.event_log import EventLog
from weirscale.ports.machines import Machine
from weirscale.ports.service import ServicePort

MAX_HOME_INTERVAL_S = 10.0
"""A longer time between two reports of a home node is a gap, not its report interval."""


class DirectoryState:
    """State of all back ends; owned by the directory's task.

    Args:
        make_engine_port: Creates the only port object of an engine.
        make_service_port: Creates the only port object of a service back end.
        rules: Thresholds of circuits.
        random: For jitter of the time that a circuit stays open.
        events: Receives changes of health.
    """

    def __init__(
        self,
        make_engine_port: Callable[[Engine], EnginePort],
        make_service_port: Callable[[ServiceBackend], ServicePort],
        rules: HealthRules,
        random: Random,
        events: EventLog,
    ) -> None:
        self.snapshot = EMPTY_SNAPSHOT
        self._rules = rules
        self._random = random
        self._events = events
        self._engine_ports: PortTable[Engine, EnginePort] = PortTable(
            make_engine_port, counts_attempts=True
        )
        self._service_ports: PortTable[ServiceBackend, ServicePort] = PortTable(
            make_service_port, counts_attempts=False
        )
        self._leaving_hosts: frozenset[str] = frozenset()
        self._drain_timeout_s = 0.0

    def apply_configuration(self, in_force: ConfigurationInForce, now_s: float) -> None:
        """Apply a configuration; the state of back ends whose address is unchanged is kept."""
        deployment = in_force.deployment
        self._drain_timeout_s = deployment.drain_timeout_s
        engines = {engine.name: self._engine_facts(engine, now_s) for engine in deployment.engines}
        self.snapshot = DirectorySnapshot(
            revision=in_force.revision,
            engines=engines,
            engines_of=_group_by_model(engines),
            declared_models=frozenset(model.name for model in deployment.models),
            services=self._service_facts(deployment, now_s),
        )
        self._retire_ports(deployment, now_s)

    def take_idle_ports(self, now_s: float) -> list[EnginePort | ServicePort]:
        """Remove and return the ports to close."""
        return [
            *self._engine_ports.take_idle(now_s, self._drain_timeout_s),
            *self._service_ports.take_idle(now_s, self._drain_timeout_s),
        ]

    def record_report(self, arrived: ReportArrived, now_s: float) -> None:
        """Record a load report; reports of undeclared engines are ignored."""
        facts = self.snapshot.engines.get(arrived.report.engine)
        if facts is None:
            return
        after = after_report(
            facts, arrived.report, arrived.reported_at_s, now_s, self._rules, self._random
        )
        if not arrived.is_own_probe and after is not facts:
            since_s = arrived.reported_at_s - facts.home_reported_at_s
            after = msgspec.structs.replace(
                after,
                home_reported_at_s=arrived.reported_at_s,
                home_interval_s=since_s if since_s <= MAX_HOME_INTERVAL_S else 0.0,
            )
        self._replace_engine(facts, after, now_s)

    def record_probe_failure(self, engine: EngineName, detail: str, now_s: float) -> None:
        """Record a probe without an answer."""
        facts = self.snapshot.engines.get(engine)
        if facts is not None:
            after = after_unreachable(facts, detail, now_s, self._rules, self._random)
            self._replace_engine(facts, after, now_s)

    def record_attempt_started(self, attempt: EngineAttemptStarted) -> None:
        """Count an attempt that uses an engine's port."""
        self._engine_ports.record_start(attempt.engine, attempt.address)

    def record_attempt_ended(self, attempt: EngineAttemptEnded, now_s: float) -> None:
        """Record the end of an attempt; its outcome is ignored if the engine's address changed."""
        self._engine_ports.record_end(attempt.engine, attempt.address)
        facts = self.snapshot.engines.get(attempt.engine)
        if facts is None or facts.engine.address != attempt.address:
            return
        after = after_engine_attempt(
            facts, attempt.incarnation, attempt.failure, now_s, self._rules, self._random
        )
        self._replace_engine(facts, after, now_s)

    def record_service_attempt(self, attempt: ServiceAttemptEnded, now_s: float) -> None:
        """Record the end of an attempt on a service back end."""
        facts = self.snapshot.services.get(attempt.service, {}).get(attempt.backend)
        if facts is None:
            return
        after = after_service_attempt(
            facts, attempt.failure, attempt.http_status, now_s, self._rules, self._random
        )
        self._replace_service_backend(attempt.service, facts, after, now_s)

    def record_machines(self, machines: tuple[Machine, ...], now_s: float) -> None:
        """Apply the machine list; machines missing from it count as not leaving."""
        self._leaving_hosts = frozenset(machine.host for machine in machines if machine.is_leaving)
        for facts in tuple(self.snapshot.engines.values()):
            self._replace_engine(facts, self._with_machine_list(facts, now_s), now_s)
        for service, backends in tuple(self.snapshot.services.items()):
            for backend in tuple(backends.values()):
                after = self._backend_with_machine_list(backend, now_s)
                self._replace_service_backend(service, backend, after, now_s)

    def _with_machine_list(self, facts: EngineFacts, now_s: float) -> EngineFacts:
        is_listed = self._is_listed_leaving(facts.engine.address)
        leaving = after_machine_list(facts.leaving, is_listed, facts.incarnation, now_s)
        if leaving is facts.leaving:
            return facts
        return msgspec.structs.replace(facts, leaving=leaving)

    def _backend_with_machine_list(
        self, facts: ServiceBackendFacts, now_s: float
    ) -> ServiceBackendFacts:
        is_listed = self._is_listed_leaving(facts.backend.address)
        leaving = after_machine_list(facts.leaving, is_listed, None, now_s)
        if leaving is facts.leaving:
            return facts
        return msgspec.structs.replace(facts, leaving=leaving)

    def _is_listed_leaving(self, address: str) -> bool:
        host = address.rpartition(":")[0]
        return address in self._leaving_hosts or host in self._leaving_hosts

    def _replace_engine(self, before: EngineFacts, after: EngineFacts, now_s: float) -> None:
        if after is before:
            return
        self._log_health_change(after.engine.name, before, after, now_s)
        engines = dict(self.snapshot.engines)
        engines[after.engine.name] = after
        engines_of = self.snapshot.engines_of
        model_before, model_after = _reported_model(before), _reported_model(after)
        if model_before != model_after:
            engines_of = _regroup(engines_of, after.engine.name, model_before, model_after)
        self.snapshot = msgspec.structs.replace(
            self.snapshot, engines=engines, engines_of=engines_of
        )

    def _replace_service_backend(
        self,
        service: ServiceName,
        before: ServiceBackendFacts,
        after: ServiceBackendFacts,
        now_s: float,
    ) -> None:
        if after is before:
            return
        self._log_health_change(after.backend.name, before, after, now_s)
        services = dict(self.snapshot.services)
        services[service] = {**services[service], after.backend.name: after}
        self.snapshot = msgspec.structs.replace(self.snapshot, services=services)

    def _log_health_change(
        self,
        name: str,
        before: EngineFacts | ServiceBackendFacts,
        after: EngineFacts | ServiceBackendFacts,
        now_s: float,
    ) -> None:
        """Log changes of health; each change is logged once."""
        circuit = after.circuit
        if circuit.is_open and circuit.opened_at_s != before.circuit.opened_at_s:
            is_quarantined = state_at(circuit, now_s) is CircuitState.QUARANTINED
            self._events.event(
                "backend_quarantined" if is_quarantined else "backend_circuit_opened",
                backend=name,
                reason=circuit.reason,
                open_s=circuit.open_until_s - now_s,
                openings=circuit.num_openings,
            )
        elif before.circuit.is_open and not circuit.is_open:
            self._events.event("backend_circuit_closed", backend=name)
        source = after.leaving.source_at(now_s)
        if source is not None and not before.leaving.is_leaving_at(now_s):
            self._events.event("backend_leaving", backend=name, source=source.value)

    def _engine_facts(self, engine: Engine, now_s: float) -> EngineFacts:
        port = self._engine_ports.get(engine.name, engine.address, engine)
        previous = self.snapshot.engines.get(engine.name)
        if previous is not None and previous.engine.address == engine.address:
            return msgspec.structs.replace(previous, engine=engine, port=port)
        return self._with_machine_list(EngineFacts(engine, port), now_s)

    def _service_facts(
        self, deployment: Deployment, now_s: float
    ) -> Mapping[ServiceName, Mapping[BackendName, ServiceBackendFacts]]:
        return {
            service.name: {
                backend.name: self._service_backend_facts(service.name, backend, now_s)
                for backend in service.backends
            }
            for service in deployment.services
        }

    def _service_backend_facts(
        self, service: ServiceName, backend: ServiceBackend, now_s: float
    ) -> ServiceBackendFacts:
        port = self._service_ports.get(backend.name, backend.address, backend)
        previous = self.snapshot.services.get(service, {}).get(backend.name)
        if previous is not None and previous.backend.address == backend.address:
            return msgspec.structs.replace(previous, backend=backend, port=port)
        return self._backend_with_machine_list(ServiceBackendFacts(backend, port), now_s)

    def _retire_ports(self, deployment: Deployment, now_s: float) -> None:
        engines = {(str(engine.name), engine.address) for engine in deployment.engines}
        self._engine_ports.retire_except(engines, now_s)
        backends = {
            (str(backend.name), backend.address)
            for service in deployment.services
            for backend in service.backends
        }
        self._service_ports.retire_except(backends, now_s)


def _reported_model(facts: EngineFacts) -> ModelName | None:
    return facts.report.model if facts.report is not None else None


def _regroup(
    groups: Mapping[ModelName, tuple[EngineName, ...]],
    engine: EngineName,
    model_before: ModelName | None,
    model_after: ModelName | None,
) -> Mapping[ModelName, tuple[EngineName, ...]]:
    """Move one engine between groups.

    Grouping all engines again for each first report took one second with 1,700 engines.
    """
    regrouped = dict(groups)
    if model_before is not None:
        left = tuple(name for name in groups.get(model_before, ()) if name != engine)
        regrouped[model_before] = left
        if not left:
            del regrouped[model_before]
    if model_after is not None:
        regrouped[model_after] = tuple(sorted((*groups.get(model_after, ()), engine)))
    return regrouped


def _group_by_model(
    engines: Mapping[EngineName, EngineFacts],
) -> Mapping[ModelName, tuple[EngineName, ...]]:
    """Group engines by the model that they report as loaded, not the declared one; sorted."""
    groups: dict[ModelName, list[EngineName]] = {}
    for name, facts in engines.items():
        model = _reported_model(facts)
        if model is not None:
            groups.setdefault(model, []).append(name)
    return {model: tuple(sorted(names)) for model, names in groups.items()}
