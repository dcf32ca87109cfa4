"""A fleet of claim ledgers in one process, with peer call faults and an accurate membership."""

import random

import anyio
import msgspec
from result import Err, Ok

from weirscale.domain.claims.model import NUM_GROUPS
from weirscale.domain.configuration.model import ClaimRules, Deployment, Region
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.domain.request.model import RunStatus, ServiceResponse
from weirscale.messages.codec import MessageCodec
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.interfaces import ClaimState, ConfigurationInForce, Peer, PeerState
from weirscale.ports.peers import PeerFailure
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

RETENTION_S = 600.0
LINK_DELAY_S = 0.002


class Faults(msgspec.Struct):
    """Probabilities of faults of a call between nodes; `late_s` is the delay of late replies."""

    lose_request: float = 0.0
    lose_reply: float = 0.0
    duplicate: float = 0.0
    late_reply: float = 0.0
    late_s: float = 1.5


class Configuration:
    """A configuration that never changes."""

    def __init__(self, zones, num_holders=3):
        regions = tuple(Region(f"region-{zone}", (zone,)) for zone in zones)
        rules = ClaimRules(num_holders, RETENTION_S)
        self._in_force = ConfigurationInForce(
            1, Deployment(1, "test", regions, (), (), (), claims=rules)
        )

    def current(self):
        return self._in_force


class Link:
    """One node's `PeerLink`."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.codec = MessageCodec()
        self.call_handlers, self.cast_handlers = {}, {}

    def on_call(self, message_type, handler):
        self.codec.register(message_type)
        self.call_handlers[message_type] = handler

    def on_cast(self, message_type, handler):
        self.codec.register(message_type)
        self.cast_handlers[message_type] = handler

    def register(self, *message_types):
        for message_type in message_types:
            self.codec.register(message_type)

    async def cast(self, destination, message):
        target = self.fleet.reach(self.address, destination)
        if target is not None:
            copy = target.codec.decode(self.codec.encode(message)).ok_value
            self.fleet.tasks.start_soon(self._deliver_cast, target, copy)

    async def _deliver_cast(self, target, message):
        await anyio.sleep(LINK_DELAY_S)
        target.cast_handlers[type(message)](self.address, message)

    async def call(self, destination, message, timeout_s):
        with anyio.move_on_after(timeout_s):
            return Ok(await self._exchange(destination, message))
        return Err(PeerFailure("timed out", provably_not_sent=False))

    async def _exchange(self, destination, message):
        faults, rng = self.fleet.faults, self.fleet.random
        if destination == self.address:
            return await self.call_handlers[type(message)](message)
        await anyio.sleep(LINK_DELAY_S * rng.uniform(0.5, 1.5))
        target = self.fleet.reach(self.address, destination)
        if target is None or rng.random() < faults.lose_request:
            await anyio.sleep_forever()
        copy = target.codec.decode(self.codec.encode(message)).ok_value
        if rng.random() < faults.duplicate:
            self.fleet.tasks.start_soon(self._deliver_again, destination, copy)
        with anyio.CancelScope(shield=True):
            reply = await target.call_handlers[type(copy)](copy)
        if rng.random() < faults.late_reply:
            await anyio.sleep(faults.late_s)
        await anyio.sleep(LINK_DELAY_S)
        if self.fleet.reach(destination, self.address) is None or (
            rng.random() < faults.lose_reply
        ):
            await anyio.sleep_forever()
        return reply

    async def _deliver_again(self, destination, message):
        await anyio.sleep(self.fleet.random.uniform(0.0, 3.0))
        target = self.fleet.reach(self.address, destination)
        if target is not None:
            await target.call_handlers[type(message)](message)


class LinkFleet:
    """Links that all reach each other without faults; only casts need `tasks`."""

    def __init__(self, tasks=None):
        self.tasks, self.faults, self.random = tasks, Faults(), random.Random(1)
        self.links = {}

    def start(self, address):
        self.links[address] = Link(self, address)
        return self.links[address]

    def reach(self, source, destination):
        return self.links.get(destination)


class Membership:
    """A membership view that lists every running node that its own node can reach."""

    def __init__(self, fleet, node):
        self.fleet, self.node = fleet, node
        self.self_id = node.node_id

    def peers(self):
        return tuple(
            Peer(node.node_id, node.address, node.zone, node.state)
            for node in sorted(self.fleet.running(), key=lambda node: node.node_id)
            if self.fleet.reach(self.node.address, node.address) is not None
        )

    def version(self):
        return self.fleet.version


class Node:
    """One run of one node."""

    def __init__(self, fleet, name, zone, number, incarnation):
        self.node_id = NodeId(name, incarnation)
        self.zone, self.number = zone, number
        self.address = NodeAddress("10.0.0.1", number)
        self.state = PeerState.ALIVE
        self.link = Link(fleet, self.address)
        self.store = InProcessKeyValue(fleet.server)
        self.scope = anyio.CancelScope()
        self.ledger = QuorumClaimLedger(
            self.link,
            Membership(fleet, self),
            fleet.configuration,
            self.store,
            zone,
            random.Random(number * 1000 + incarnation),
        )

    async def run(self):
        with self.scope:
            await self.ledger.run()


class Fleet:
    """Nodes, the store, and `runs`, the number of times that each key ran."""

    def __init__(self, tasks, num_nodes, zones, seed=1):
        self.tasks = tasks
        self.random = random.Random(seed)
        self.server = KeyValueServer(random.Random(seed))
        self.configuration = Configuration(zones)
        self.faults = Faults()
        self.cut_zones = set()
        self.version = 0
        self.nodes = {}
        self.runs = {}
        for number in range(num_nodes):
            self.start(number, zones[number % len(zones)], incarnation=1)

    def start(self, number, zone, incarnation):
        node = Node(self, f"node-{number}", zone, number, incarnation)
        self.nodes[number] = node
        self.version += 1
        self.tasks.start_soon(node.run)
        return node

    def stop(self, number):
        node = self.nodes[number]
        node.scope.cancel()
        del self.nodes[number]
        self.version += 1
        return node

    def restart(self, number):
        node = self.stop(number)
        return self.start(number, node.zone, node.node_id.incarnation + 1)

    def cut(self, *zones):
        self.cut_zones = set(zones)
        self.version += 1

    def heal(self):
        self.cut()

    def running(self):
        return list(self.nodes.values())

    def reach(self, source, destination):
        target = self.nodes.get(destination.port)
        origin = self.nodes.get(source.port)
        if target is None or origin is None:
            return None
        is_cut = (origin.zone in self.cut_zones) != (target.zone in self.cut_zones)
        return None if is_cut else target.link

    def num_ready_groups(self):
        """Return how many groups have an epoch that at least three running nodes hold."""
        num_holders = {}
        for node in self.running():
            for epoch in node.ledger.registry.held_epochs():
                num_holders[epoch] = num_holders.get(epoch, 0) + 1
        return sum(1 for count in num_holders.values() if count >= 3)

    async def wait_until_ready(self, timeout_s=60.0):
        for _ in range(int(timeout_s)):
            if self.num_ready_groups() == NUM_GROUPS:
                return
            await anyio.sleep(1.0)
        raise AssertionError(f"{self.num_ready_groups()} groups ready")

    async def request(self, number, key, outcome="complete", body=b"body", time_left_s=5.0):
        """Claim a key through a node, run it when granted, and return the answer's code or state."""
        node = self.nodes.get(number)
        if node is None:
            return "no node"
        deadline_s = anyio.current_time() + time_left_s
        answer = await node.ledger.claim("school", key, f"request-{key}", body, deadline_s)
        if isinstance(answer, Err):
            assert answer.err_value.run_status is RunStatus.NOT_RUN
            assert answer.err_value.retry_after_s > 0
            return answer.err_value.code.value
        claim = answer.ok_value
        if claim.state is ClaimState.GRANTED and outcome == "not run":
            await node.ledger.release(claim)
            return "released"
        if claim.state is ClaimState.GRANTED:
            self.runs[key] = self.runs.get(key, 0) + 1
            await anyio.sleep(0.05)
            if outcome == "complete":
                await node.ledger.complete(claim, ServiceResponse(200, {}, key.encode()))
        return claim.state.value


def run_fleet(run_virtual, scenario, num_nodes=5, zones=("a", "b", "c"), seed=1):
    """Run a scenario `async def scenario(fleet)` on a fleet in virtual time."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, num_nodes, zones, seed)
            await fleet.wait_until_ready()
            try:
                return await scenario(fleet)
            finally:
                tasks.cancel_scope.cancel()

    return run_virtual(main)
