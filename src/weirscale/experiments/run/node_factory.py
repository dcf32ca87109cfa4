"""Creates real nodes for a virtual fleet, with gates at all their ports."""

from random import Random

import anyio

from weirscale.domain.configuration.model import Engine, ServiceBackend
from weirscale.domain.identifiers import Incarnation, NodeId
from weirscale.experiments.run.fleet import Fleet
from weirscale.experiments.run.gates import GatedEngine, GatedMachines, GatedService
from weirscale.experiments.run.links import ZonePath
from weirscale.experiments.run.node_process import NodeSetup
from weirscale.experiments.run.platform import Platform
from weirscale.experiments.run.platform_gates import GatedKeyValue, GatedPeers
from weirscale.experiments.run.recorder import Recorder
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.assembly import Node
from weirscale.node.node_ports import NodeIdentity, NodePorts
from weirscale.ports.engine import EnginePort
from weirscale.ports.event_log import EventLog
from weirscale.ports.service import ServicePort
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.machines.in_process import InProcessMachineList

PEER_KEYS = (PeerKey(key_id=1, secret=b"virtual-fleet-peer-key"),)

FIRST_EPOCH_MS = 1_800_000_000_000
"""Wall clock at the start of each run, fixed so that runs do not depend on the date."""


def epoch_ms() -> int:
    """Return the virtual wall clock in milliseconds since the epoch."""
    return FIRST_EPOCH_MS + int(anyio.current_time() * 1000)


class ProductNodes:
    """Factory of the nodes of an experiment run.

    Args:
        platform: The stand-ins that nodes reach.
        fleet: The fleet that the nodes belong to.
        recorder: Receives the records of engine orders.
        random: Seeds each node's own random generator.
        event_log: Receives the log events of all nodes.
    """

    def __init__(
        self,
        platform: Platform,
        fleet: Fleet,
        recorder: Recorder,
        random: Random,
        event_log: EventLog,
    ) -> None:
        self._platform = platform
        self._fleet = fleet
        self._recorder = recorder
        self._random = random
        self._event_log = event_log

    def make(self, setup: NodeSetup) -> Node:
        """Create a node for one run of its process."""
        identity = NodeIdentity(
            node=NodeId(setup.name, Incarnation(epoch_ms() + setup.run_number)),
            zone=setup.zone,
            address=setup.address,
            seeds=tuple(place.address for place in self._fleet.places),
        )
        return Node(
            identity,
            self._ports(setup),
            KeyRing(PEER_KEYS),
            Random(self._random.getrandbits(64)),
            self._event_log,
        )

    def _ports(self, setup: NodeSetup) -> NodePorts:
        platform = self._platform
        life = setup.life

        def path_to(zone: str) -> ZonePath:
            return ZonePath(platform.links, setup.zone, zone)  # type: ignore[arg-type]

        def engine_port(engine: Engine) -> EnginePort:
            stand_in = platform.engines[engine.name]
            return GatedEngine(stand_in, life, path_to(engine.zone), self._recorder)

        def service_port(backend: ServiceBackend) -> ServicePort:
            return GatedService(platform.services[backend.name], life, path_to(backend.zone))

        key_value = InProcessKeyValue(platform.store)
        machines = InProcessMachineList(platform.machines)
        return NodePorts(
            network=GatedPeers(
                self._fleet.endpoint(setup.name), life, setup.tasks, self._fleet.count_peer_bytes
            ),
            key_value=GatedKeyValue(key_value, life, platform.links, setup.zone),
            machines=GatedMachines(machines, life, path_to(setup.zone)),
            make_engine_port=engine_port,
            make_service_port=service_port,
            epoch_ms=epoch_ms,
        )
