"""A fleet of whole hollow nodes: every task of a node, with hollow engines and stand-ins."""

from collections.abc import Callable
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.configuration.model import Deployment, Engine, ServiceBackend
from weirscale.domain.identifiers import (
    ConfigurationRevision,
    EngineName,
    Incarnation,
    NodeAddress,
    NodeId,
    NodeName,
)
from weirscale.experiments.control_cost.deployment import region_zones, zone_names
from weirscale.experiments.control_cost.hollow_engine import (
    EngineTraffic,
    HollowEngine,
    HollowEnginePort,
)
from weirscale.experiments.memory_network import LinkQuality, MemoryNetwork
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.assembly import Node
from weirscale.node.configuration.apply import CONFIGURATION_KEY, Applier
from weirscale.node.configuration.outcome import Accepted
from weirscale.node.event_log import SilentEventLog
from weirscale.node.node_ports import NodeIdentity, NodePorts
from weirscale.ports.engine import EnginePort
from weirscale.ports.service import ServicePort
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueFaults, KeyValueServer

FLEET_KEY = PeerKey(1, b"key of the hollow fleet.")
PEER_PORT = 7100
HOSTS_PER_SUBNET = 250
FIRST_EPOCH_MS = 1_800_000_000_000
NUM_SEEDS = 3

STORE_FAULTS = KeyValueFaults(delay_s=0.004, requests_per_s=100.0, burst_requests=100)
"""An ordinary day of the key-value service: a rate limit over all clients, and a few ms a call."""

SAME_ZONE = LinkQuality(delay_s=0.0003, jitter_s=0.0003)
SAME_REGION = LinkQuality(delay_s=0.0015, jitter_s=0.001)
OTHER_REGION = LinkQuality(delay_s=0.02, jitter_s=0.005)

CONFIGURATION_TAG_PREFIX = "conf"
"""Begins the tags of messages that spread the configuration."""

WATCH_INTERVAL_S = 0.05
"""How often `until` looks: the resolution of measured times."""


def epoch_ms() -> int:
    """Return the virtual wall clock."""
    return FIRST_EPOCH_MS + int(anyio.current_time() * 1000)


class HollowNode:
    """One run of one node.

    Attributes:
        node: The product's node.
        engine_traffic: What engines sent to it.
        started_at_s: When it was started.
        in_force_at_s: When each revision came into force.
    """

    def __init__(self, fleet: "HollowFleet", identity: NodeIdentity, seed: int) -> None:
        self.identity = identity
        self.engine_traffic = EngineTraffic()
        self.started_at_s = anyio.current_time()
        self.in_force_at_s: dict[ConfigurationRevision, float] = {}
        self._fleet = fleet
        self._scope = anyio.CancelScope()
        ports = NodePorts(
            network=fleet.network.attach(identity.address, identity.zone),
            key_value=InProcessKeyValue(fleet.store),
            machines=None,
            make_engine_port=self._engine_port,
            make_service_port=_no_service,
            epoch_ms=epoch_ms,
        )
        random = Random(f"{seed} {identity.node}")
        self.node = Node(identity, ports, KeyRing((FLEET_KEY,)), random, SilentEventLog())

    async def run(self) -> None:
        """Run until stopped."""
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_configuration)
                await self.node.run()

    def stop(self) -> None:
        """End the run without a word."""
        self._scope.cancel()

    def _engine_port(self, engine: Engine) -> EnginePort:
        return HollowEnginePort(self._fleet.engine(engine), self.engine_traffic)

    async def _watch_configuration(self) -> None:
        revision = ConfigurationRevision(0)
        while True:
            in_force = await self.node.configuration.changed_after(revision)
            revision = in_force.revision
            self.in_force_at_s[revision] = anyio.current_time()


class HollowFleet:
    """Owns nodes, engines, network and store.

    Attributes:
        nodes: The nodes that run, by name.
        store: The key-value service's stand-in.

    Args:
        tasks: Nodes run in this task group.
        seed: Seeds all chance.
    """

    def __init__(self, tasks: TaskGroup, seed: int) -> None:
        self.network = MemoryNetwork(tasks, Random(f"network {seed}"), OTHER_REGION)
        for region in region_zones():
            for first in region:
                for second in region:
                    self.network.set_zone_quality(first, second, SAME_REGION)
        for zone in zone_names():
            self.network.set_zone_quality(zone, zone, SAME_ZONE)
        self.store = KeyValueServer(Random(f"store {seed}"))
        self.store.faults = STORE_FAULTS
        self.nodes: dict[NodeName, HollowNode] = {}
        self._engines: dict[EngineName, HollowEngine] = {}
        self._tasks = tasks
        self._seed = seed
        self._num_started = 0
        self._seeds: list[NodeAddress] = []

    def engine(self, declared: Engine) -> HollowEngine:
        """Return the one hollow engine of a declaration."""
        engine = self._engines.get(declared.name)
        if engine is None:
            engine = self._engines[declared.name] = HollowEngine(declared)
        return engine

    def start_node(self, replaces: HollowNode | None = None) -> HollowNode:
        """Start a node: a new one, or a later run of one that stopped, at its address."""
        number = self._num_started
        self._num_started += 1
        if replaces is not None:
            name, zone = replaces.identity.node.name, replaces.identity.zone
            address = replaces.identity.address
        else:
            zone = zone_names()[number % len(zone_names())]
            name = NodeName(f"node-{number:04d}")
            host = f"10.0.{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET + 1}"
            address = NodeAddress(host, PEER_PORT)
        if len(self._seeds) < NUM_SEEDS:
            self._seeds.append(address)
        node_id = NodeId(name, Incarnation(epoch_ms() + number))
        identity = NodeIdentity(node_id, zone, address, tuple(self._seeds))
        node = HollowNode(self, identity, self._seed)
        self.nodes[name] = node
        self._tasks.start_soon(node.run)
        return node

    def crash(self, node: HollowNode) -> None:
        """Stop a node without a word."""
        node.stop()
        self.network.detach(node.identity.address)
        del self.nodes[node.identity.node.name]

    def replace(self, node: HollowNode) -> HollowNode:
        """Kill a node and start it anew, with nothing kept."""
        self.crash(node)
        return self.start_node(node)

    async def apply(self, deployment: Deployment) -> ConfigurationRevision:
        """Apply a deployment; returns the accepted revision."""
        base = self.store.model.mod_revision(CONFIGURATION_KEY.encode(), anyio.current_time())
        applier = Applier(
            InProcessKeyValue(self.store),
            deployment,
            base or None,
            f"change from {base}",
            Random(f"operator {base}"),
        )
        outcome = await applier.run()
        assert isinstance(outcome, Accepted), outcome
        return ConfigurationRevision(outcome.revision)

    def all_agree(self) -> bool:
        """Whether every node believes live exactly the nodes that run, each in its latest run."""
        expected = sorted(node.identity.node for node in self.nodes.values())
        return all(
            [peer.node for peer in node.node.membership.peers()] == expected
            for node in self.nodes.values()
        )

    def all_have(self, revision: ConfigurationRevision) -> bool:
        """Whether a revision, or a later one, is in force on every node."""
        return all(self._revision(node) >= revision for node in self.nodes.values())

    def num_homes(self) -> int:
        """Return how many engines some node acts as home of."""
        homes: set[EngineName] = set()
        for node in self.nodes.values():
            homes |= node.node.homes.engines
        return len(homes)

    async def until(self, holds: Callable[[], bool], timeout_s: float) -> float | None:
        """Wait for a condition; returns the seconds it took, or None if it never held."""
        started_at_s = anyio.current_time()
        while not holds():
            if anyio.current_time() - started_at_s >= timeout_s:
                return None
            await anyio.sleep(WATCH_INTERVAL_S)
        return anyio.current_time() - started_at_s

    def num_configuration_bytes(self) -> int:
        """Return the bytes of configuration that running nodes have sent to one another."""
        return sum(
            count.num_bytes
            for node in self.nodes.values()
            for tag, count in node.node.link.traffic.sent.items()
            if tag.startswith(CONFIGURATION_TAG_PREFIX)
        )

    def set_store_down(self, is_down: bool) -> None:
        """Take the key-value service away, or bring it back."""
        self.store.faults = msgspec.structs.replace(STORE_FAULTS, is_down=is_down)
        self.store.notify()

    def _revision(self, node: HollowNode) -> ConfigurationRevision:
        in_force = node.node.configuration.current()
        return in_force.revision if in_force is not None else ConfigurationRevision(0)


def _no_service(backend: ServiceBackend) -> ServicePort:
    raise NotImplementedError("a hollow fleet declares no services")
