"""Home nodes of scripted engines, with lossy in-memory links, for virtual time."""

from contextlib import asynccontextmanager
from random import Random

import anyio
from result import Err, Ok

from weirscale.domain.configuration.model import Deployment, Engine, Region
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.messages.cache import (
    AllBlocksCleared,
    BlockRemoved,
    BlockStored,
    CacheDump,
    CacheEventBatch,
    LoadReport,
)
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts
from weirscale.node.home.home_task import HomeTask
from weirscale.node.home.rules import HomeRules
from weirscale.node.home.view_task import CacheViewTask
from weirscale.node.interfaces import ConfigurationInForce, Peer, PeerState
from weirscale.ports.engine import EngineFailure, EngineFailureKind
from weirscale.ports.peers import PeerFailure

ZONES = ("bole-hall", "kirkos-hall")
DOWN = EngineFailure(EngineFailureKind.UNREACHABLE, "down")
NOT_FOUND = EngineFailure(EngineFailureKind.NOT_FOUND, "gone")


class ScriptedEngine:
    """An engine whose cache and event stream the test controls.

    `lost` has the sequence numbers of batches that the stream omits; `replay_window` is the number of
    recent batches from which a follower may continue.
    """

    def __init__(self, name):
        self.name, self.incarnation, self.is_down = name, 1, False
        self.held, self.log, self.replay_window = set(), [], 1000
        self._followers = 0
        self.lost = set()
        self.dumped_at_s = []
        self._changed = anyio.Event()

    def publish(self, *events, is_lost=False):
        for event in events:
            if isinstance(event, BlockStored):
                self.held |= set(event.block_hashes)
            elif isinstance(event, BlockRemoved):
                self.held -= set(event.block_hashes)
            elif isinstance(event, AllBlocksCleared):
                self.held = set()
        sequence = len(self.log) + 1
        self.log.append(
            CacheEventBatch(self.name, self.incarnation, "qalam", "v1", sequence, events)
        )
        if is_lost:
            self.lost.add(sequence)
        self.wake()

    def crash(self):
        self.incarnation, self.held, self.log, self.lost = self.incarnation + 1, set(), [], set()
        self.wake()

    def wake(self):
        self._changed.set()
        self._changed = anyio.Event()

    @asynccontextmanager
    async def cache_events(self, incarnation, after_sequence):
        self._followers += 1
        try:
            yield self._events(incarnation, after_sequence)
        finally:
            self._followers -= 1

    def record_num_followers(self):
        """Record the number of followers before the end of the test cancels all of them."""
        self.num_followers = self._followers

    async def _events(self, incarnation, after_sequence):
        run = self.incarnation
        is_replayable = len(self.log) - self.replay_window <= after_sequence <= len(self.log)
        if self.is_down:
            yield Err(DOWN)
            return
        if incarnation not in (None, run) or not is_replayable:
            yield Err(NOT_FOUND)
            return
        next_sequence = after_sequence + 1
        while True:
            if self.is_down or self.incarnation != run:
                yield Err(DOWN)
                return
            if next_sequence > len(self.log):
                await self._changed.wait()
                continue
            if next_sequence not in self.lost:
                yield Ok(self.log[next_sequence - 1])
            self.lost.discard(next_sequence)
            next_sequence += 1

    async def cache_dump(self):
        self.dumped_at_s.append(anyio.current_time())
        if self.is_down:
            return Err(DOWN)
        return Ok(
            CacheDump(self.name, self.incarnation, "qalam", "v1", len(self.log), tuple(self.held))
        )

    async def load(self):
        if self.is_down:
            return Err(DOWN)
        return Ok(
            LoadReport(self.name, self.incarnation, "qalam", "v1", (), 3, 2, 700, 5, 9, False, 4)
        )


class MemoryLink:
    """Deliver messages between nodes of a fleet; lose a share of the casts."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.cast_handlers, self.call_handlers = {}, {}

    def on_cast(self, message_type, handler):
        self.cast_handlers[message_type] = handler

    def on_call(self, message_type, handler):
        self.call_handlers[message_type] = handler

    async def cast(self, destination, message):
        node = self.fleet.nodes.get(destination)
        if node and self.fleet.random.random() >= self.fleet.loss:
            node.link.cast_handlers[type(message)](self.address, message)

    async def call(self, destination, message, timeout_s):
        node = self.fleet.nodes.get(destination)
        if node is None:
            return Err(PeerFailure("no such node", True))
        await anyio.sleep(0.003)
        self.fleet.num_calls += 1
        return Ok(await node.link.call_handlers[type(message)](message))


class Observations:
    """Record load reports and unreachable engines."""

    def __init__(self):
        self.reports, self.unreachable = [], []

    def record_load_report(self, report, age_s):
        self.reports.append(report)

    def record_unreachable(self, engine, detail):
        self.unreachable.append(engine)


class HomeNode:
    """A node's home and view tasks."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.self_id = NodeId(f"node-{number}", 1)
        self.address = NodeAddress("10.0.0.1", number)
        self.zone, self.state = ZONES[number % len(ZONES)], PeerState.ALIVE
        self.link = MemoryLink(fleet, self.address)
        self.observations = Observations()
        rules = HomeRules()
        self.views = CacheViewTask(self.link, self.observations, rules)
        self.homes = HomeTask(
            self, fleet, fleet, self.observations, self.link, self.views.apply_own_digest,
            fleet.epoch_ms, rules, Random(number),
        )  # fmt: skip
        self.scope = anyio.CancelScope()

    def peers(self):
        return tuple(self.fleet.peers())

    def version(self):
        return 0

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.views.run)
                tasks.start_soon(self.homes.run)

    def stop(self):
        self.scope.cancel()
        del self.fleet.nodes[self.address]


class HomeFleet:
    """Engines and nodes, with the nodes' membership, configuration and directory."""

    def __init__(self, num_nodes, num_engines, loss=0.0):
        self.random, self.loss, self.num_calls = Random(5), loss, 0
        self.engines = [ScriptedEngine(f"qalam-{number}") for number in range(num_engines)]
        declared = tuple(
            Engine(engine.name, ZONES[number % len(ZONES)], "10.0.1.1:1", "qalam")
            for number, engine in enumerate(self.engines)
        )
        deployment = Deployment(1, "test", (Region("addis", ZONES),), (), declared, ())
        self.in_force = ConfigurationInForce(1, deployment)
        facts = {
            engine.name: EngineFacts(engine, port)
            for engine, port in zip(declared, self.engines, strict=True)
        }
        self.directory = DirectorySnapshot(1, facts, {}, frozenset(), {})
        self.nodes = {}
        self.next_number = num_nodes
        for number in range(num_nodes):
            self.add_node(number)

    def add_node(self, number):
        node = HomeNode(self, number)
        self.nodes[node.address] = node
        return node

    def epoch_ms(self):
        return 1_000_000 + int(anyio.current_time() * 1000)

    def current(self):
        return self.in_force

    def snapshot(self):
        return self.directory

    def peers(self):
        return [
            Peer(node.self_id, node.address, node.zone, node.state) for node in self.nodes.values()
        ]

    def home(self, engine):
        return [node for node in self.nodes.values() if engine in node.homes.engines]
