"""The task that owns the directory of back ends.

It takes in the configuration, load reports, probes, the machine list and outcomes of attempts as
messages, and publishes immutable snapshots. Other tasks read the latest snapshot and post messages.
"""

from collections.abc import Callable, Mapping
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.configuration.model import Deployment, Engine, ServiceBackend
from weirscale.domain.health.leaving import after_machine_list
from weirscale.domain.health.rules import HealthRules
from weirscale.domain.identifiers import (
    BackendName,
    ConfigurationRevision,
    EngineName,
    ModelName,
    ServiceName,
)
from weirscale.messages.cache import LoadReport
from weirscale.node.backends.facts import (
    EMPTY_SNAPSHOT,
    DirectorySnapshot,
    EngineFacts,
    ServiceBackendFacts,
)
from weirscale.node.backends.learning import (
    after_engine_attempt,
    after_report,
    after_service_attempt,
    after_unreachable,
)
from weirscale.node.backends.observations import (
    ConfigurationChanged,
    EngineAttemptEnded,
    EngineAttemptStarted,
    MachinesListed,
    Observation,
    ProbeFailed,
    ReportArrived,
    ServiceAttemptEnded,
)
from weirscale.node.backends.port_table import ClosablePort, PortTable
from weirscale.node.backends.probes import ProbeRules, poll_engine, poll_machines
from weirscale.node.interfaces import ConfigurationView
from weirscale.node.mailbox import Mailbox
from weirscale.ports.engine import EnginePort
from weirscale.ports.machines import Machine, MachineListPort
from weirscale.ports.service import ServicePort

CLOSE_CHECK_INTERVAL_S = 1.0
"""How often retired ports are looked at."""


class BackendDirectory:
    """Directory of engines and service back ends; implements `BackendObservations`.

    Args:
        configuration: Where the configuration in force comes from.
        make_engine_port: Makes the one port object of an engine.
        make_service_port: Makes the one port object of a service back end.
        machines: The platform's machine list, or None where there is none.
        random: For jitter.
        health_rules: Thresholds of circuits.
        probe_rules: How often to ask engines and the machine list.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        make_engine_port: Callable[[Engine], EnginePort],
        make_service_port: Callable[[ServiceBackend], ServicePort],
        machines: MachineListPort | None,
        random: Random,
        health_rules: HealthRules | None = None,
        probe_rules: ProbeRules | None = None,
    ) -> None:
        self.health_rules = health_rules or HealthRules()
        self._configuration = configuration
        self._machines = machines
        self._random = random
        self._probe_rules = probe_rules or ProbeRules()
        self._mailbox: Mailbox[Observation] = Mailbox()
        self._engine_ports: PortTable[Engine, EnginePort] = PortTable(
            make_engine_port, counts_attempts=True
        )
        self._service_ports: PortTable[ServiceBackend, ServicePort] = PortTable(
            make_service_port, counts_attempts=False
        )
        self._snapshot = EMPTY_SNAPSHOT
        self._changed = anyio.Event()
        self._probe_scopes: dict[tuple[EngineName, str], anyio.CancelScope] = {}
        self._leaving_hosts: frozenset[str] = frozenset()
        self._drain_timeout_s = 0.0
        self.num_dropped_observations = 0

    def snapshot(self) -> DirectorySnapshot:
        """Return what is known now; the value never changes."""
        return self._snapshot

    async def wait_for_change(self) -> None:
        """Wait until a newer snapshot is published."""
        await self._changed.wait()

    def post(self, observation: Observation) -> None:
        """Leave an observation; dropped and counted when the task lags far behind."""
        if not self._mailbox.post(observation):
            self.num_dropped_observations += 1

    def note_load_report(self, report: LoadReport, age_s: float) -> None:
        """A load report arrived, from the engine or from its home node."""
        self.post(ReportArrived(report, anyio.current_time() - age_s))

    def note_unreachable(self, engine: EngineName, detail: str) -> None:
        """A probe of the engine got no answer."""
        self.post(ProbeFailed(engine, detail))

    async def run(self) -> None:
        """Own the directory until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_configuration)
            tasks.start_soon(self._close_retired_ports)
            if self._machines is not None:
                tasks.start_soon(
                    poll_machines, self, self._machines, self._probe_rules, self._random
                )
            while True:
                self._handle(await self._mailbox.receive(), tasks)

    async def _follow_configuration(self) -> None:
        revision = ConfigurationRevision(0)
        while True:
            in_force = await self._configuration.changed_after(revision)
            revision = in_force.revision
            await self._mailbox.put(ConfigurationChanged(in_force))

    async def _close_retired_ports(self) -> None:
        while True:
            await anyio.sleep(CLOSE_CHECK_INTERVAL_S)
            now_s = anyio.current_time()
            idle: list[EnginePort | ServicePort] = []
            idle.extend(self._engine_ports.take_idle(now_s, self._drain_timeout_s))
            idle.extend(self._service_ports.take_idle(now_s, self._drain_timeout_s))
            for port in idle:
                if isinstance(port, ClosablePort):
                    await port.aclose()

    def _handle(self, message: Observation, tasks: TaskGroup) -> None:
        match message:
            case ConfigurationChanged():
                self._apply(message, tasks)
            case ReportArrived():
                self._learn_report(message)
            case ProbeFailed():
                self._learn_probe_failure(message)
            case MachinesListed():
                self._learn_machines(message.machines)
            case EngineAttemptStarted():
                self._engine_ports.note_started(message.engine, message.address)
            case EngineAttemptEnded():
                self._learn_engine_attempt(message)
            case ServiceAttemptEnded():
                self._learn_service_attempt(message)

    def _learn_report(self, message: ReportArrived) -> None:
        facts = self._snapshot.engines.get(message.report.engine)
        if facts is None:
            return
        now_s = anyio.current_time()
        updated = after_report(
            facts, message.report, message.reported_at_s, now_s, self.health_rules, self._random
        )
        self._replace_engine(facts, updated)

    def _learn_probe_failure(self, message: ProbeFailed) -> None:
        facts = self._snapshot.engines.get(message.engine)
        if facts is None:
            return
        now_s = anyio.current_time()
        updated = after_unreachable(facts, message.detail, now_s, self.health_rules, self._random)
        self._replace_engine(facts, updated)

    def _learn_engine_attempt(self, message: EngineAttemptEnded) -> None:
        self._engine_ports.note_ended(message.engine, message.address)
        facts = self._snapshot.engines.get(message.engine)
        if facts is None or facts.engine.address != message.address:
            return
        updated = after_engine_attempt(
            facts,
            message.incarnation,
            message.failure,
            anyio.current_time(),
            self.health_rules,
            self._random,
        )
        self._replace_engine(facts, updated)

    def _learn_service_attempt(self, message: ServiceAttemptEnded) -> None:
        facts = self._snapshot.services.get(message.service, {}).get(message.backend)
        if facts is None:
            return
        updated = after_service_attempt(
            facts,
            message.failure,
            message.http_status,
            anyio.current_time(),
            self.health_rules,
            self._random,
        )
        self._replace_service_backend(message.service, updated)

    def _learn_machines(self, machines: tuple[Machine, ...]) -> None:
        self._leaving_hosts = frozenset(machine.host for machine in machines if machine.is_leaving)
        for facts in tuple(self._snapshot.engines.values()):
            self._replace_engine(facts, self._with_machine_list(facts))
        for service, backends in tuple(self._snapshot.services.items()):
            for backend in tuple(backends.values()):
                listed = self._is_listed_leaving(backend.backend.address)
                leaving = after_machine_list(backend.leaving, listed, None, anyio.current_time())
                if leaving is not backend.leaving:
                    updated = msgspec.structs.replace(backend, leaving=leaving)
                    self._replace_service_backend(service, updated)

    def _with_machine_list(self, facts: EngineFacts) -> EngineFacts:
        listed = self._is_listed_leaving(facts.engine.address)
        now_s = anyio.current_time()
        leaving = after_machine_list(facts.leaving, listed, facts.incarnation, now_s)
        if leaving is facts.leaving:
            return facts
        return msgspec.structs.replace(facts, leaving=leaving)

    def _is_listed_leaving(self, address: str) -> bool:
        host = address.rpartition(":")[0]
        return address in self._leaving_hosts or host in self._leaving_hosts

    def _replace_engine(self, before: EngineFacts, after: EngineFacts) -> None:
        if after is before:
            return
        engines = dict(self._snapshot.engines)
        engines[after.engine.name] = after
        engines_of = self._snapshot.engines_of
        if _reported_model(before) != _reported_model(after):
            engines_of = _group_by_model(engines)
        self._publish(
            msgspec.structs.replace(self._snapshot, engines=engines, engines_of=engines_of)
        )

    def _replace_service_backend(self, service: ServiceName, after: ServiceBackendFacts) -> None:
        services = dict(self._snapshot.services)
        services[service] = {**services[service], after.backend.name: after}
        self._publish(msgspec.structs.replace(self._snapshot, services=services))

    def _publish(self, snapshot: DirectorySnapshot) -> None:
        self._snapshot = snapshot
        self._changed.set()
        self._changed = anyio.Event()

    def _apply(self, message: ConfigurationChanged, tasks: TaskGroup) -> None:
        deployment = message.configuration.deployment
        self._drain_timeout_s = deployment.drain_timeout_s
        engines = {engine.name: self._engine_facts(engine) for engine in deployment.engines}
        self._publish(
            DirectorySnapshot(
                revision=message.configuration.revision,
                engines=engines,
                engines_of=_group_by_model(engines),
                declared_models=frozenset(model.name for model in deployment.models),
                services=self._service_facts(deployment),
            )
        )
        self._retire_ports(deployment)
        self._sync_probes(tasks)

    def _engine_facts(self, engine: Engine) -> EngineFacts:
        port = self._engine_ports.get(engine.name, engine.address, engine)
        known = self._snapshot.engines.get(engine.name)
        if known is not None and known.engine.address == engine.address:
            return msgspec.structs.replace(known, engine=engine, port=port)
        return self._with_machine_list(EngineFacts(engine, port))

    def _service_facts(
        self, deployment: Deployment
    ) -> Mapping[ServiceName, Mapping[BackendName, ServiceBackendFacts]]:
        return {
            service.name: {
                backend.name: self._service_backend_facts(service.name, backend)
                for backend in service.backends
            }
            for service in deployment.services
        }

    def _service_backend_facts(
        self, service: ServiceName, backend: ServiceBackend
    ) -> ServiceBackendFacts:
        port = self._service_ports.get(backend.name, backend.address, backend)
        known = self._snapshot.services.get(service, {}).get(backend.name)
        if known is not None and known.backend.address == backend.address:
            return msgspec.structs.replace(known, backend=backend, port=port)
        return ServiceBackendFacts(backend, port)

    def _retire_ports(self, deployment: Deployment) -> None:
        now_s = anyio.current_time()
        engines = {(str(engine.name), engine.address) for engine in deployment.engines}
        self._engine_ports.retire_all_but(engines, now_s)
        backends = {
            (str(backend.name), backend.address)
            for service in deployment.services
            for backend in service.backends
        }
        self._service_ports.retire_all_but(backends, now_s)

    def _sync_probes(self, tasks: TaskGroup) -> None:
        """Start and stop probe loops so that each declared engine has one."""
        if not self._probe_rules.polls_engines:
            return
        wanted = {
            (facts.engine.name, facts.engine.address): facts
            for facts in self._snapshot.engines.values()
        }
        for key in self._probe_scopes.keys() - wanted.keys():
            self._probe_scopes.pop(key).cancel()
        for key in wanted.keys() - self._probe_scopes.keys():
            scope = anyio.CancelScope()
            self._probe_scopes[key] = scope
            tasks.start_soon(
                poll_engine,
                self,
                wanted[key].engine.name,
                wanted[key].port,
                scope,
                self._probe_rules,
                self._random,
            )


def _reported_model(facts: EngineFacts) -> ModelName | None:
    return facts.report.model if facts.report is not None else None


def _group_by_model(
    engines: Mapping[EngineName, EngineFacts],
) -> Mapping[ModelName, tuple[EngineName, ...]]:
    """Group engines by the model that they have loaded, whatever they are declared for."""
    groups: dict[ModelName, list[EngineName]] = {}
    for name, facts in engines.items():
        model = _reported_model(facts)
        if model is not None:
            groups.setdefault(model, []).append(name)
    return {model: tuple(names) for model, names in groups.items()}
