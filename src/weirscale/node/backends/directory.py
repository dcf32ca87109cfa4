"""Task that owns the directory of back ends.

It receives the configuration, load reports, probe results, the machine list and outcomes of
attempts as messages, and publishes immutable snapshots. Other tasks read the latest snapshot and
post messages.
"""

from collections.abc import Callable
from random import Random

import anyio

from weirscale.domain.configuration.model import Engine, ServiceBackend
from weirscale.domain.health.rules import HealthRules
from weirscale.domain.identifiers import ConfigurationRevision, EngineName, ZoneName
from weirscale.messages.cache import LoadReport
from weirscale.node.backends.facts import DirectorySnapshot
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
from weirscale.node.backends.port_table import ClosablePort
from weirscale.node.backends.probe_pace import ProbeRules
from weirscale.node.backends.probes import EngineProbes, poll_machines
from weirscale.node.backends.state import DirectoryState
from weirscale.node.interfaces import ConfigurationView
from weirscale.node.mailbox import Mailbox
from weirscale.ports.engine import EnginePort
from weirscale.ports.event_log import EventLog, SilentEventLog
from weirscale.ports.machines import MachineListPort
from weirscale.ports.service import ServicePort

CLOSE_CHECK_INTERVAL_S = 1.0
"""Time between two checks for retired ports that can be closed."""


class BackendDirectory:
    """Directory of engines and service back ends.

    Args:
        configuration: Provides the configuration in force.
        make_engine_port: Creates the only port object of an engine.
        make_service_port: Creates the only port object of a service back end.
        machines: The platform's machine list, or None without one.
        random: For jitter.
        health_rules: Thresholds of circuits.
        probe_rules: How often to probe engines and to read the machine list.
        events: Receives changes of health.
        zone: This node's own zone; in a large deployment, engines of other zones are probed
            rarely.
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
        events: EventLog | None = None,
        zone: ZoneName | None = None,
    ) -> None:
        self.health_rules = health_rules or HealthRules()
        self._configuration = configuration
        self._machines = machines
        self._random = random
        self._probe_rules = probe_rules or ProbeRules()
        self._mailbox: Mailbox[Observation] = Mailbox()
        self._state = DirectoryState(
            make_engine_port,
            make_service_port,
            self.health_rules,
            random,
            events or SilentEventLog(),
        )
        self._changed = anyio.Event()
        self._probes = EngineProbes(self, self._probe_rules, random, zone)
        self.num_dropped_observations = 0

    def snapshot(self) -> DirectorySnapshot:
        """Return the latest snapshot, which is immutable."""
        return self._state.snapshot

    async def wait_for_change(self) -> None:
        """Wait until a newer snapshot is published."""
        await self._changed.wait()

    def post(self, observation: Observation) -> None:
        """Queue an observation; dropped and counted if the mailbox is full."""
        if not self._mailbox.post(observation):
            self.num_dropped_observations += 1

    def record_load_report(self, report: LoadReport, age_s: float) -> None:
        """Record a load report that the engine's home node read `age_s` seconds ago."""
        reported_at_s = anyio.current_time() - age_s
        self.post(ReportArrived(report, reported_at_s, is_own_probe=False))

    def record_unreachable(self, engine: EngineName, detail: str) -> None:
        """Record that the engine did not answer a load request."""
        self.post(ProbeFailed(engine, detail))

    async def run(self) -> None:
        """Maintain the directory until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_configuration)
            tasks.start_soon(self._close_retired_ports)
            if self._probe_rules.polls_engines:
                tasks.start_soon(self._probes.run)
            if self._machines is not None:
                tasks.start_soon(
                    poll_machines, self, self._machines, self._probe_rules, self._random
                )
            while True:
                self._handle(await self._mailbox.receive())

    async def _follow_configuration(self) -> None:
        revision = ConfigurationRevision(0)
        while True:
            in_force = await self._configuration.changed_after(revision)
            revision = in_force.revision
            await self._mailbox.put(ConfigurationChanged(in_force))

    async def _close_retired_ports(self) -> None:
        while True:
            await anyio.sleep(CLOSE_CHECK_INTERVAL_S)
            for port in self._state.take_idle_ports(anyio.current_time()):
                if isinstance(port, ClosablePort):
                    await port.aclose()

    def _handle(self, message: Observation) -> None:
        previous = self._state.snapshot
        self._apply_observation(message, anyio.current_time())
        if isinstance(message, ConfigurationChanged):
            self._sync_probes()
        if self._state.snapshot is not previous:
            self._changed.set()
            self._changed = anyio.Event()

    def _apply_observation(self, message: Observation, now_s: float) -> None:
        state = self._state
        match message:
            case ConfigurationChanged():
                state.apply_configuration(message.configuration, now_s)
            case ReportArrived():
                state.record_report(message, now_s)
            case ProbeFailed():
                state.record_probe_failure(message.engine, message.detail, now_s)
            case MachinesListed():
                state.record_machines(message.machines, now_s)
            case EngineAttemptStarted():
                state.record_attempt_started(message)
            case EngineAttemptEnded():
                state.record_attempt_ended(message, now_s)
            case ServiceAttemptEnded():
                state.record_service_attempt(message, now_s)

    def _sync_probes(self) -> None:
        """Probe exactly the declared engines, at their declared addresses."""
        engines = self._state.snapshot.engines.values()
        self._probes.set_engines(
            {(facts.engine.name, facts.engine.address): facts.port for facts in engines}
        )
