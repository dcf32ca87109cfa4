"""Everything outside the nodes of a virtual fleet: engines, services, store and machine list."""

from random import Random

import anyio
from anyio.abc import TaskGroup
from result import Ok, Result

from weirscale.domain.configuration.model import Deployment, Engine
from weirscale.domain.identifiers import BackendName, EngineName, ZoneName
from weirscale.experiments.history.records import AnyRecord, EngineRun, ServiceRun
from weirscale.experiments.run.experiment import EngineChanges
from weirscale.experiments.run.links import Links
from weirscale.ports.engine import LoadModel
from weirscale.ports.machines import Machine
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.ledger import RunRecord
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.key_value.server import KeyValueServer
from weirscale.standins.machines.model import MachineListModel
from weirscale.standins.service.in_process import InProcessService
from weirscale.standins.service.model import ServiceRun as StandInServiceRun
from weirscale.standins.service.model import ServiceSettings

NUM_SCHEDULER_STEPS = 4
"""Decode steps for each chunk: a fourth of the events of a run, with the same token times."""
RATE_LIMIT_PER_S = 50.0
RATE_LIMIT_BURST = 50
"""The platform's store is rate-limited over all its clients."""


class _SharedWeightSource:
    """Weights that load more slowly the more engines load at once."""

    def __init__(self, load_s: float) -> None:
        self._load_s = load_s
        self._num_loading = 0

    async def fetch(self, engine: EngineName, load: LoadModel, num_bytes: int) -> Result[None, str]:
        """Read all weights."""
        self._num_loading += 1
        try:
            await anyio.sleep(self._load_s * self._num_loading)
        finally:
            self._num_loading -= 1
        return Ok(None)


class Platform:
    """The stand-ins of one run.

    Attributes:
        deployment: The deployment as first declared.
        engines: Engines by name.
        services: Service back ends by name.
        store: The key-value service.
        machines: The machine list.
        links: Links between zones.
        zones: All zones, in the order of the deployment.
    """

    def __init__(self, deployment: Deployment, changes: EngineChanges, random: Random) -> None:
        self.deployment = deployment
        self.links = Links()
        self.store = KeyValueServer(random)
        self.store.faults.requests_per_s = RATE_LIMIT_PER_S
        self.store.faults.burst_requests = RATE_LIMIT_BURST
        self.zones: tuple[ZoneName, ...] = tuple(
            zone for region in deployment.regions for zone in region.zones
        )
        weight_source = _SharedWeightSource(changes.load_s)
        self.engines = {
            engine.name: InProcessEngine(
                _engine_settings(engine, deployment, changes), random, weight_source=weight_source
            )
            for engine in deployment.engines
        }
        self.services: dict[BackendName, InProcessService] = {
            backend.name: InProcessService(ServiceSettings(name=backend.name, service=service.name))
            for service in deployment.services
            for backend in service.backends
        }
        self.machines = MachineListModel(
            Machine(host=address, is_leaving=False) for address in self.addresses().values()
        )

    def addresses(self) -> dict[str, str]:
        """Return the address of every engine and service back end by its name."""
        addresses: dict[str, str] = {one.name: one.address for one in self.deployment.engines}
        for service in self.deployment.services:
            addresses.update({one.name: one.address for one in service.backends})
        return addresses

    def start(self, tasks: TaskGroup) -> None:
        """Run the engines."""
        for engine in self.engines.values():
            tasks.start_soon(engine.run)

    def run_records(self) -> list[AnyRecord]:
        """Return what engines and services ran, as records."""
        records: list[AnyRecord] = []
        for engine in self.engines.values():
            records.extend(map(engine_run, engine.model.ledger.records()))
        for service in self.services.values():
            records.extend(map(service_run, service.model.runs()))
        return records


def engine_run(run: RunRecord) -> EngineRun:
    """Return an engine's ledger entry as a record of a history."""
    return EngineRun(
        at_s=run.started_at_s,
        request_id=run.request_id,
        attempt=run.attempt,
        engine=run.engine,
        incarnation=run.incarnation,
        model=run.model,
        weight_version=run.weight_version,
        adapter=run.adapter,
        cache_salt=run.cache_salt,
        num_prompt_tokens=run.num_prompt_tokens,
        num_cached_tokens=run.num_cached_tokens,
        finished_at_s=run.finished_at_s,
    )


def service_run(run: StandInServiceRun) -> ServiceRun:
    """Return a service's run as a record of a history."""
    return ServiceRun(
        at_s=run.ran_at_s,
        request_id=run.request_id,
        backend=run.backend,
        idempotency_key=run.idempotency_key,
    )


def _engine_settings(
    engine: Engine, deployment: Deployment, changes: EngineChanges
) -> EngineSettings:
    model = next(model for model in deployment.models if model.name == engine.model)
    return EngineSettings(
        name=engine.name,
        model=engine.model,
        weight_version=model.weight_version,
        adapters=model.adapters,
        block_size_bytes=engine.block_size_bytes,
        num_total_blocks=changes.num_total_blocks or engine.num_total_blocks,
        prefill_token_s=1.0 / engine.prefill_tokens_per_s,
        num_scheduler_steps=NUM_SCHEDULER_STEPS,
        event_lag_s=changes.event_lag_s,
        restart_s=changes.restart_s,
    )
