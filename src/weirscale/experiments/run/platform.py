"""Stand-ins for the platform of a virtual fleet: engines, services, stores and machine list."""

from random import Random

from anyio.abc import TaskGroup

from weirscale.domain.configuration.model import Deployment, Engine
from weirscale.domain.identifiers import BackendName, ZoneName
from weirscale.experiments.history.records import AnyRecord, EngineRun, ServiceRun
from weirscale.experiments.run.experiment import EngineChanges
from weirscale.experiments.run.links import Links
from weirscale.ports.machines import Machine
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.ledger import RunRecord
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.kept_kv.in_process import InProcessKeptKvStore, KeptKvSettings
from weirscale.standins.key_value.server import KeyValueServer
from weirscale.standins.machines.model import MachineListModel
from weirscale.standins.service.in_process import InProcessService
from weirscale.standins.service.model import ServiceRun as StandInServiceRun
from weirscale.standins.service.model import ServiceSettings
from weirscale.standins.weight_store.in_process import InProcessWeightStore, WeightStoreSettings

NUM_SCHEDULER_STEPS = 4
"""Decode steps per chunk; 4 steps make a quarter of the events of 1 step, at equal token times."""
WEIGHT_BYTES = 8_000_000_000
"""Size of the weights of each model."""
RATE_LIMIT_PER_S = 50.0
RATE_LIMIT_BURST = 50
"""Rate limit and burst of the key-value service, for all clients together."""


class Platform:
    """The stand-ins of an experiment run.

    Attributes:
        deployment: The deployment as declared at the start.
        engines: Engines by name.
        services: Service back ends by name.
        store: The key-value service.
        weights: The store of model weights.
        kept_kv_stores: Stores of exported KV cache blocks, by address.
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
        self.weights = InProcessWeightStore(_weight_settings(changes))
        self.kept_kv_stores = {
            store.address: InProcessKeptKvStore(KeptKvSettings(name=store.name))
            for store in deployment.kept_kv_stores
        }
        self.engines = {
            engine.name: InProcessEngine(
                _engine_settings(engine, deployment, changes),
                random,
                weight_source=self.weights,
                block_stores=self.kept_kv_stores,
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
        """Return the addresses of all engines and service back ends by name."""
        addresses: dict[str, str] = {
            engine.name: engine.address for engine in self.deployment.engines
        }
        for service in self.deployment.services:
            addresses.update({backend.name: backend.address for backend in service.backends})
        return addresses

    @property
    def has_imported_kv(self) -> bool:
        """Whether any engine has imported blocks from a store of exported KV cache blocks."""
        return any(store.num_imported_blocks for store in self.kept_kv_stores.values())

    def start(self, tasks: TaskGroup) -> None:
        """Start the engines in a task group."""
        for engine in self.engines.values():
            tasks.start_soon(engine.run)

    def run_records(self) -> list[AnyRecord]:
        """Return the runs of all engines and services as history records."""
        records: list[AnyRecord] = []
        for engine in self.engines.values():
            records.extend(map(engine_run, engine.model.ledger.records()))
        for service in self.services.values():
            records.extend(map(service_run, service.model.runs()))
        return records


def engine_run(run: RunRecord) -> EngineRun:
    """Return a ledger entry of an engine as a history record."""
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
    """Return a run of a service as a history record."""
    return ServiceRun(
        at_s=run.ran_at_s,
        request_id=run.request_id,
        backend=run.backend,
        idempotency_key=run.idempotency_key,
    )


def _weight_settings(changes: EngineChanges) -> WeightStoreSettings:
    """Return settings whose bandwidth makes a single load take `changes.load_s`."""
    return WeightStoreSettings(bytes_per_s=WEIGHT_BYTES / changes.load_s)


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
        weight_bytes=WEIGHT_BYTES,
        export_to=next((store.address for store in deployment.kept_kv_stores), None),
    )
