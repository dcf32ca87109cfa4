"""A planner over many zones, in virtual time.

Planners, states servers and authenticated links are real and use an in-memory network. Engines,
membership and the digests with load reports are simulated: each node gets the reports of its own
zone's engines every `SPREAD_INTERVAL_S`, as homes spread load reports at this size.
"""

import math
from collections import Counter
from random import Random
from typing import Any

import anyio
import msgspec
from result import Ok, Result

from features.support.poor_network import PoorNetwork
from weirscale.domain.configuration.model import Deployment, Engine, Model, Region
from weirscale.domain.identifiers import (
    ConfigurationRevision,
    EngineName,
    Incarnation,
    ModelName,
    NodeAddress,
    NodeId,
    NodeName,
    RegionName,
    WeightVersion,
    ZoneName,
)
from weirscale.messages.cache import LoadReport
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.backends.facts import EMPTY_SNAPSHOT, DirectorySnapshot, EngineFacts
from weirscale.node.interfaces import ConfigurationInForce, Peer, PeerState
from weirscale.node.peers.link import PeerLink
from weirscale.node.placement.fleet_states import FleetStates
from weirscale.node.placement.states_server import EngineStatesServer
from weirscale.node.placement.task import PlacementTask
from weirscale.ports.engine import EngineFailure, EngineOrder, LoadModel
from weirscale.ports.event_log import SilentEventLog
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

SPREAD_INTERVAL_S = 7.0
"""Seconds between reports of an engine to its zone with 94 engines, 22 nodes and 2 kB/s a home."""

LOAD_S = 60.0
MODEL = ModelName("paddock-lm")
KEYS = KeyRing((PeerKey(1, b"0123456789abcdef"),))
HTTP_HEADER_BYTES = 250
"""Header bytes of a call and its reply together, on a persistent connection."""


class SimulatedEngine:
    """A simulated engine that loads and reports; `history` holds each report and its start time."""

    def __init__(self, name: EngineName, load_s: float) -> None:
        self.name = name
        self.load_s = load_s
        self.hung_at_s = math.inf
        self.fence = 0
        self.orders: list[tuple[float, EngineOrder]] = []
        self.num_probes = 0
        self.history: list[tuple[float, LoadReport]] = []
        first = LoadReport(
            name, Incarnation(1), MODEL, WeightVersion("v1"), (), 9, 3, 9000, 60000, 65536, False, 0
        )
        self._change(msgspec.structs.replace(first, role="both"))

    @property
    def report(self) -> LoadReport:
        """Return the current report."""
        return self.history[-1][1]

    def _change(self, report: LoadReport) -> None:
        self.history.append((anyio.current_time(), report))

    def report_at(self, at_s: float) -> LoadReport:
        """Return the report as of a time."""
        earlier = [report for since_s, report in self.history if since_s <= at_s]
        return earlier[-1] if earlier else self.history[0][1]

    def hang(self) -> None:
        """Stop answering."""
        self.hung_at_s = anyio.current_time()

    async def _answer(self) -> None:
        """Wait as a caller does: forever once the engine hangs."""
        if self.hung_at_s < math.inf:
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()

    async def load(self) -> Result[LoadReport, EngineFailure]:
        """Answer a probe."""
        self.num_probes += 1
        await self._answer()
        return Ok(self.report)

    async def order(self, order: EngineOrder) -> Result[None, EngineFailure]:
        """Accept an order; a load starts at once and ends at `finish_due` after `load_s`."""
        self.orders.append((anyio.current_time(), order))
        await self._answer()
        if isinstance(order.action, LoadModel) and order.token > self.fence:
            self.fence = order.token
            loading = {"model": None, "weight_version": None, "loading_token": order.token}
            self._change(msgspec.structs.replace(self.report, **loading))
        return Ok(None)

    def finish_due(self) -> None:
        """End a load that has run for `load_s`."""
        since_s, report = self.history[-1]
        if not report.loading_token or anyio.current_time() - since_s < self.load_s:
            return
        action = self.orders[-1][1].action
        assert isinstance(action, LoadModel)
        loaded = {
            "model": action.model,
            "weight_version": action.weight_version,
            "order_token": report.loading_token,
            "loading_token": 0,
        }
        self._change(msgspec.structs.replace(report, **loaded))


class SimulatedNode:
    """A node: its link, its view of its zone, and a planner that plans while `held`."""

    def __init__(self, fleet: "StatesFleet", peer: Peer, random: Random) -> None:
        self.self_id = peer.node
        self.peer = peer
        self.held = False
        self._fleet = fleet
        endpoint = fleet.network.attach(peer.address, peer.zone)
        self.link = PeerLink(endpoint, peer.node, peer.address, KEYS, random)
        self.server = EngineStatesServer(self, self.link)
        self.states = FleetStates(self, self, self.link, self)
        self.planner = PlacementTask(
            fleet, self, fleet.key_value, self, SilentEventLog(), states=self.states
        )

    def is_held(self) -> bool:
        """Return whether this node plans."""
        return self.held

    def peers(self) -> tuple[Peer, ...]:
        """Return all live nodes."""
        return self._fleet.peers

    def version(self) -> int:
        """Return the version of membership."""
        return self._fleet.membership_version

    def snapshot(self) -> DirectorySnapshot:
        """Return this node's view of its own zone's engines."""
        return self._fleet.snapshot(self.peer.zone, self.held)

    def num_bytes(self) -> Counter[str]:
        """Return the bytes of calls sent and received, including HTTP headers."""
        traffic = self.link.traffic
        sent = traffic.sent.values()
        received = traffic.received.values()
        headers = HTTP_HEADER_BYTES * sum(count.num_messages for count in sent)
        return Counter(
            sent=sum(count.num_bytes for count in sent) + headers,
            received=sum(count.num_bytes for count in received) + headers,
        )


class StatesFleet:
    """Zones of nodes and engines, and the source of the configuration in force."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        num_zones: int,
        num_nodes: int,
        num_engines: int,
        load_s: float = LOAD_S,
        **model_fields: Any,
    ) -> None:
        random = Random(7)
        self.network = PoorNetwork(tasks, random)
        self.key_value = InProcessKeyValue(KeyValueServer(Random(2)))
        self.zones = [ZoneName(f"hall-{index:02}") for index in range(num_zones)]
        self.engines = {
            name: SimulatedEngine(name, load_s)
            for name in (EngineName(f"runner-{index:04}") for index in range(num_engines))
        }
        self.peers = tuple(
            Peer(
                NodeId(NodeName(f"node-{index:03}"), Incarnation(1)),
                NodeAddress(f"10.0.{index // 250}.{index % 250 + 1}", 7000),
                self.zones[index % num_zones],
                PeerState.ALIVE,
            )
            for index in range(num_nodes)
        )
        self.membership_version = 1
        self._adopted: set[ZoneName] = set()
        self._declare(Model(MODEL, WeightVersion("v1"), **model_fields))
        self.nodes = [SimulatedNode(self, peer, random) for peer in self.peers]
        for node in self.nodes:
            tasks.start_soon(node.link.run)
            tasks.start_soon(node.states.run)
            tasks.start_soon(node.planner.run)
        tasks.start_soon(self._run_engines)

    def _declare(self, model: Model) -> None:
        engines = tuple(
            Engine(name, self.zones[index % len(self.zones)], f"10.1.0.1:{index + 1}", MODEL)
            for index, name in enumerate(self.engines)
        )
        regions = (Region(RegionName("be-central"), tuple(self.zones)),)
        deployment = Deployment(1, "bench", regions, (model,), engines, ())
        self._in_force = ConfigurationInForce(ConfigurationRevision(1), deployment)
        self.model = model

    def current(self) -> ConfigurationInForce:
        """Return the configuration in force."""
        return self._in_force

    async def changed_after(self, revision: ConfigurationRevision) -> ConfigurationInForce:
        """Wait forever: the planner reads the configuration in each round."""
        await anyio.sleep_forever()
        return self._in_force

    def declare_version(self, version: str) -> None:
        """Declare another weight version."""
        weight_version = WeightVersion(version)
        self._declare(msgspec.structs.replace(self.model, weight_version=weight_version))

    def zone_of(self, name: EngineName) -> ZoneName:
        """Return an engine's zone."""
        return next(
            engine.zone for engine in self._in_force.deployment.engines if engine.name == name
        )

    def engines_in(self, zone: ZoneName) -> list[SimulatedEngine]:
        """Return a zone's engines."""
        declared = self._in_force.deployment.engines
        return [self.engines[engine.name] for engine in declared if engine.zone == zone]

    def nodes_in(self, zone: ZoneName) -> list[SimulatedNode]:
        """Return a zone's nodes."""
        return [node for node in self.nodes if node.peer.zone == zone]

    def adopt_zone(self, zone: ZoneName) -> None:
        """Let every node that does not plan observe a zone without nodes, as its homes do."""
        self._adopted.add(zone)

    def remove_node(self, node: SimulatedNode) -> None:
        """Crash a node; the membership drops it at once."""
        self.network.detach(node.peer.address)
        self.peers = tuple(peer for peer in self.peers if peer.node != node.self_id)
        self.membership_version += 1

    def count_at(self, version: str) -> int:
        """Count the engines that serve a version."""
        return sum(engine.report.weight_version == version for engine in self.engines.values())

    def snapshot(self, zone: ZoneName, is_planner: bool) -> DirectorySnapshot:
        """Return the directory of a zone's node: every declared engine, observed or not."""
        now_s = anyio.current_time()
        last_report_s = math.floor(now_s / SPREAD_INTERVAL_S) * SPREAD_INTERVAL_S
        facts = {}
        for declared in self._in_force.deployment.engines:
            engine: Any = self.engines[declared.name]
            is_observed = declared.zone == zone or (
                declared.zone in self._adopted and not is_planner
            )
            if is_observed:
                at_s = min(last_report_s, engine.hung_at_s)
                facts[declared.name] = EngineFacts(declared, engine, engine.report_at(at_s), at_s)
            else:
                facts[declared.name] = EngineFacts(declared, engine)
        return msgspec.structs.replace(EMPTY_SNAPSHOT, engines=facts)

    async def _run_engines(self) -> None:
        while True:
            for engine in self.engines.values():
                engine.finish_due()
            await anyio.sleep(1.0)
