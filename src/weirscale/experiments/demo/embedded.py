"""Start a deployment in this process: real nodes, and stand-ins for external systems."""

import socket
from random import Random

import anyio
import httpx
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.configuration.model import (
    Deployment,
    Engine,
    Model,
)
from weirscale.domain.identifiers import ConfigurationRevision, NodeName, ZoneName
from weirscale.experiments.history.records import AnyRecord
from weirscale.experiments.run.exchange import Connect, HttpRequest
from weirscale.experiments.run.http_exchange import HttpExchange
from weirscale.experiments.run.platform import engine_run, service_run
from weirscale.node.configuration.apply import Applier
from weirscale.node.configuration.outcome import Accepted
from weirscale.node.program import NodeProgram
from weirscale.node.settings import NodeSettings, PeerKeySettings
from weirscale.ports.key_value_etcd import EtcdKeyValue
from weirscale.standins.asgi_server import LOOPBACK, serve_on_loopback
from weirscale.standins.engine.http_app import EngineApp
from weirscale.standins.engine.in_process import InProcessEngine
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.server import KeyValueServer
from weirscale.standins.service.http_app import ServiceApp
from weirscale.standins.service.in_process import InProcessService
from weirscale.standins.service.model import ServiceSettings

DEMO_SECRET = "shared-secret-of-the-demonstration"
APPLY_ID = "demonstration"
NODE_READY_TIMEOUT_S = 20.0
NO_REVISION = ConfigurationRevision(0)


class DemoFailedError(Exception):
    """The embedded deployment did not start; the message gives the reason."""


class EmbeddedDeployment(msgspec.Struct):
    """A running deployment.

    Attributes:
        deployment: Applied deployment, with the addresses used here.
        engines: Stand-in engines.
        services: Stand-in service back ends.
        nodes: Nodes, one for each zone.
    """

    deployment: Deployment
    engines: list[InProcessEngine]
    services: list[InProcessService]
    nodes: list[NodeProgram]

    def reach(self, client: httpx.AsyncClient, zone: ZoneName) -> tuple[NodeName, Connect]:
        """Return the node of a zone, and how to connect to it."""
        node = next(node for node in self.nodes if node.identity.zone == zone)
        address = f"{LOOPBACK}:{node.caller_port}"

        def connect(request: HttpRequest) -> HttpExchange:
            return HttpExchange(client, address, request)

        return NodeName(node.identity.node.name), connect

    def run_records(self) -> list[AnyRecord]:
        """Return the runs of engines and services as records of a history."""
        records: list[AnyRecord] = []
        for engine in self.engines:
            records.extend(map(engine_run, engine.model.ledger.records()))
        for service in self.services:
            records.extend(map(service_run, service.model.runs()))
        return records


async def start_embedded(
    declared: Deployment, tasks: TaskGroup, stop: anyio.Event, random: Random
) -> EmbeddedDeployment:
    """Start stand-ins and nodes; return once all nodes have the configuration.

    Args:
        declared: The deployment; its addresses are replaced by loopback addresses.
        tasks: Task group of the stand-ins and nodes.
        stop: Drains the nodes when set.
        random: Source of randomness.

    Raises:
        DemoFailedError: The configuration was not accepted, or not in force in time.
    """
    key_value = KeyValueApp(KeyValueServer(random))
    key_value_address: str = await tasks.start(serve_on_loopback, key_value)
    engines = [_make_engine(engine, declared.models) for engine in declared.engines]
    services = [
        InProcessService(ServiceSettings(name=backend.name, service=service.name))
        for service in declared.services
        for backend in service.backends
    ]
    addresses: dict[str, str] = {}
    for engine in engines:
        tasks.start_soon(engine.run)
        addresses[engine.settings.name] = await tasks.start(serve_on_loopback, EngineApp(engine))
    for backend in services:
        addresses[backend.settings.name] = await tasks.start(serve_on_loopback, ServiceApp(backend))
    deployment = _with_addresses(declared, addresses)
    await _apply(deployment, key_value_address, random)
    nodes = _make_nodes(deployment, key_value_address)
    for node in nodes:
        tasks.start_soon(node.run, stop)
    await _wait_until_configured(nodes)
    return EmbeddedDeployment(deployment, engines, services, nodes)


def _make_engine(engine: Engine, models: tuple[Model, ...]) -> InProcessEngine:
    model = next(model for model in models if model.name == engine.model)
    settings = EngineSettings(
        name=engine.name,
        model=engine.model,
        weight_version=model.weight_version,
        adapters=model.adapters,
        block_size_bytes=engine.block_size_bytes,
        num_total_blocks=engine.num_total_blocks,
        prefill_token_s=1.0 / engine.prefill_tokens_per_s,
    )
    return InProcessEngine(settings, Random(engine.name))


def _with_addresses(declared: Deployment, addresses: dict[str, str]) -> Deployment:
    """Return the deployment with the given addresses, by name, and without kept-KV stores."""
    replace = msgspec.structs.replace
    return replace(
        declared,
        engines=tuple(
            replace(engine, address=addresses[engine.name]) for engine in declared.engines
        ),
        services=tuple(
            replace(
                service,
                backends=tuple(
                    replace(backend, address=addresses[backend.name])
                    for backend in service.backends
                ),
            )
            for service in declared.services
        ),
        kept_kv_stores=(),
    )


async def _apply(deployment: Deployment, key_value_address: str, random: Random) -> None:
    store = EtcdKeyValue((key_value_address,))
    outcome = await Applier(store, deployment, None, APPLY_ID, random).run()
    await store.aclose()
    if not isinstance(outcome, Accepted):
        raise DemoFailedError(f"the configuration was not accepted: {outcome}")


def _make_nodes(deployment: Deployment, key_value_address: str) -> list[NodeProgram]:
    zones = [zone for region in deployment.regions for zone in region.zones]
    ports = [_free_port() for _ in zones]
    seeds = tuple(f"{LOOPBACK}:{port}" for port in ports)
    return [
        NodeProgram(
            NodeSettings(
                zone=zone,
                name=NodeName(f"node-{zone}"),
                peer_keys=(PeerKeySettings(1, DEMO_SECRET),),
                peer_port=port,
                seeds=seeds,
                key_value=(key_value_address,),
            ),
            Random(f"{deployment.name}/{zone}"),
        )
        for zone, port in zip(zones, ports, strict=True)
    ]


def _free_port() -> int:
    """Return a port that is currently free for both TCP and UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream:
            stream.bind((LOOPBACK, 0))
            port: int = stream.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                try:
                    datagram.bind((LOOPBACK, port))
                except OSError:
                    continue
            return port


async def _wait_until_configured(nodes: list[NodeProgram]) -> None:
    with anyio.move_on_after(NODE_READY_TIMEOUT_S):
        for node in nodes:
            await node.node.configuration.changed_after(NO_REVISION)
        return
    raise DemoFailedError(f"some nodes were not ready within {NODE_READY_TIMEOUT_S} s")
