"""Which processes a run has, where each listens, and their settings files; no I/O."""

from collections.abc import Callable

import msgspec

from weirscale.domain.configuration.model import Deployment, Engine
from weirscale.domain.identifiers import NodeName, ZoneName
from weirscale.standins.engine.settings import EngineSettings
from weirscale.standins.service.model import ServiceSettings

LOOPBACK = "127.0.0.1"
SECRET = "shared-secret-of-real-fleet-runs"
NUM_SCHEDULER_STEPS = 4

TakePort = Callable[[], int]
"""Returns a port that is free for TCP and UDP and was not returned before."""


class NodePlace(msgspec.Struct, frozen=True):
    """Where a node stands and listens."""

    name: NodeName
    zone: ZoneName
    caller_port: int
    peer_port: int
    operator_port: int


class StandInPlace(msgspec.Struct, frozen=True):
    """Where a stand-in listens.

    Attributes:
        name: Unique in the run.
        kind: As the command `stand_in` takes it.
        port: Port of its interface.
        admin_port: Port of its admin interface; 0 where it has none.
        settings: Its section of the settings file, None where its kind has none.
    """

    name: str
    kind: str
    port: int
    admin_port: int = 0
    settings: EngineSettings | ServiceSettings | None = None

    @property
    def address(self) -> str:
        """host:port of its interface."""
        return address_of(self.port)

    @property
    def admin_address(self) -> str:
        """host:port of its admin interface."""
        return address_of(self.admin_port)


class Layout(msgspec.Struct, frozen=True):
    """All processes of a run.

    Attributes:
        deployment: The declared deployment with the addresses of this run.
        nodes: Nodes, sorted by zone.
        engines: Engines.
        services: Back ends of services.
        key_value: The key-value service.
        machines: The machine list.
    """

    deployment: Deployment
    nodes: tuple[NodePlace, ...]
    engines: tuple[StandInPlace, ...]
    services: tuple[StandInPlace, ...]
    key_value: StandInPlace
    machines: StandInPlace

    @property
    def stand_ins(self) -> tuple[StandInPlace, ...]:
        """Every process that is no node."""
        return (self.key_value, self.machines, *self.engines, *self.services)

    @property
    def zones(self) -> tuple[ZoneName, ...]:
        """Zones of the deployment."""
        return tuple(zone for region in self.deployment.regions for zone in region.zones)


def address_of(port: int) -> str:
    """Return host:port of a port of this run."""
    return f"{LOOPBACK}:{port}"


def make_layout(declared: Deployment, nodes_per_zone: int, take_port: TakePort) -> Layout:
    """Give every process of a deployment its ports.

    Stores of kept KV cache are left out: no stand-in of them runs as a process.
    """
    engines = tuple(_engine_place(declared, engine, take_port) for engine in declared.engines)
    services = tuple(
        StandInPlace(
            name=backend.name,
            kind="service",
            port=take_port(),
            admin_port=take_port(),
            settings=ServiceSettings(name=backend.name, service=service.name),
        )
        for service in declared.services
        for backend in service.backends
    )
    places = {place.name: place for place in (*engines, *services)}
    zones = [zone for region in declared.regions for zone in region.zones]
    return Layout(
        deployment=_with_addresses(declared, places),
        nodes=tuple(
            NodePlace(
                NodeName(f"{zone}-node-{number}"), zone, take_port(), take_port(), take_port()
            )
            for zone in zones
            for number in range(1, nodes_per_zone + 1)
        ),
        engines=engines,
        services=services,
        key_value=StandInPlace("key-value", "key-value", take_port()),
        machines=StandInPlace("machines", "machines", take_port()),
    )


def _engine_place(declared: Deployment, engine: Engine, take_port: TakePort) -> StandInPlace:
    model = next(model for model in declared.models if model.name == engine.model)
    settings = EngineSettings(
        name=engine.name,
        model=engine.model,
        weight_version=model.weight_version,
        adapters=model.adapters,
        block_size_bytes=engine.block_size_bytes,
        num_total_blocks=engine.num_total_blocks,
        prefill_token_s=1.0 / engine.prefill_tokens_per_s,
        num_scheduler_steps=NUM_SCHEDULER_STEPS,
    )
    return StandInPlace(engine.name, "engine", take_port(), take_port(), settings)


def _with_addresses(declared: Deployment, places: dict[str, StandInPlace]) -> Deployment:
    replace = msgspec.structs.replace
    return replace(
        declared,
        engines=tuple(replace(one, address=places[one.name].address) for one in declared.engines),
        services=tuple(
            replace(
                service,
                backends=tuple(
                    replace(one, address=places[one.name].address) for one in service.backends
                ),
            )
            for service in declared.services
        ),
        kept_kv_stores=(),
    )


def node_settings(layout: Layout, place: NodePlace) -> dict[str, object]:
    """Return the content of a node's settings file."""
    return {
        "zone": place.zone,
        "name": place.name,
        "caller_port": place.caller_port,
        "peer_port": place.peer_port,
        "operator_port": place.operator_port,
        "seeds": [address_of(node.peer_port) for node in layout.nodes],
        "key_value": [layout.key_value.address],
        "machine_list": layout.machines.address,
        "peer_keys": [{"key_id": 1, "secret": SECRET}],
    }


def stand_in_settings(place: StandInPlace) -> dict[str, object]:
    """Return the content of a stand-in's settings file."""
    fields: dict[str, object] = {"port": place.port, "admin_port": place.admin_port}
    if place.settings is not None:
        fields[place.kind] = msgspec.to_builtins(place.settings)
    return fields
