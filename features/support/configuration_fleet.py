"""A fleet of configuration tasks on an in-memory network, with the key-value stand-in."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import anyio
import msgspec
from anyio.abc import TaskGroup

from features.support.poor_network import PoorNetwork
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import (
    ConfigurationRevision,
    Incarnation,
    NodeAddress,
    NodeId,
    NodeName,
    ZoneName,
)
from weirscale.experiments.memory_network import MemoryNetwork
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.configuration.apply import CONFIGURATION_KEY, Applier
from weirscale.node.configuration.outcome import Accepted, ApplyOutcome
from weirscale.node.configuration.task import ConfigurationTask
from weirscale.node.interfaces import Peer, PeerState
from weirscale.node.peers.link import PeerLink
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

FLEET_KEY = PeerKey(1, b"key of a virtual fleet..")
FIRST_PORT = 7000
JOIN_S = 0.2
"""Seconds until a started node lists the other nodes."""
FIRST_REVISION = ConfigurationRevision(2)
"""The store starts at revision 1."""

ResultT = TypeVar("ResultT")


class KnownMembers:
    """The running nodes; changes are visible in every view at once."""

    def __init__(self) -> None:
        self.by_name: dict[NodeName, Peer] = {}
        self.num_changes = 0

    def put(self, peer: Peer) -> None:
        """Add a node, or a new run of it."""
        self.by_name[peer.node.name] = peer
        self.num_changes += 1

    def remove(self, name: NodeName) -> None:
        """Remove a node."""
        del self.by_name[name]
        self.num_changes += 1


class MembersView:
    """Membership view of one node, which lists only itself for the first `JOIN_S`."""

    def __init__(self, members: KnownMembers, own: Peer) -> None:
        self._members = members
        self._own = own
        self._joins_at_s = anyio.current_time() + JOIN_S

    @property
    def self_id(self) -> NodeId:
        """This node's own identity."""
        return self._own.node

    def peers(self) -> tuple[Peer, ...]:
        """Return all running nodes, sorted by name."""
        if anyio.current_time() < self._joins_at_s:
            return (self._own,)
        by_name = self._members.by_name
        return tuple(by_name[name] for name in sorted(by_name))

    def version(self) -> int:
        """Return a number that grows with each change."""
        return self._members.num_changes


class InForceRecord(msgspec.Struct, frozen=True):
    """A revision that a node put in force, and when."""

    at_s: float
    revision: ConfigurationRevision
    deployment: Deployment


class FleetNode:
    """One run of one node, which also is the event log of its own task.

    Attributes:
        history: Every revision that the node put in force, in order.
        scope: Cancelled to stop the node.
        endpoint: Its access to the network, which can be frozen.
        link: Its peer link, with traffic counts.
        port: Its access to the store, which can be cut off.
        task: Its configuration task.
    """

    def __init__(
        self, network: MemoryNetwork, server: KeyValueServer, members: KnownMembers, own: Peer
    ) -> None:
        self.peer = own
        self.name, self.zone, self.address = own.node.name, own.zone, own.address
        self.history: list[InForceRecord] = []
        self.scope = anyio.CancelScope()
        self.endpoint = network.attach(own.address, own.zone)
        random = Random(f"{own.node}")
        self.link = PeerLink(self.endpoint, own.node, own.address, KeyRing((FLEET_KEY,)), random)
        self.port = InProcessKeyValue(server)
        self.task = ConfigurationTask(
            self.port,
            self.link,
            MembersView(members, own),
            own.zone,
            random,
            self,
            self.endpoint.sleep,
        )

    @property
    def revision(self) -> ConfigurationRevision:
        """The revision in force, 0 for none."""
        return self.history[-1].revision if self.history else ConfigurationRevision(0)

    def num_bytes_sent(self) -> int:
        """Bytes sent to other nodes so far, envelopes and challenges included."""
        return sum(count.num_bytes for count in self.link.traffic.sent.values())

    async def run(self) -> None:
        """Run until the scope is cancelled."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.link.run)
                tasks.start_soon(self.task.run)

    def event(self, name: str, **fields: object) -> None:
        """Record the configuration in force whenever the task logs a change.

        `changed_after` cannot be used, because it never returns a lower revision.
        """
        in_force = self.task.current()
        if name == "configuration_in_force" and in_force is not None:
            record = InForceRecord(anyio.current_time(), in_force.revision, in_force.deployment)
            self.history.append(record)


class ConfigurationFleet:
    """Nodes, their network and the store.

    Args:
        tasks: Nodes run in this task group.
        num_nodes: Number of nodes at the start.
        num_zones: Number of zones that the nodes are spread over.
        seed: Seed of all random choices.
    """

    def __init__(self, tasks: TaskGroup, num_nodes: int, num_zones: int, seed: int) -> None:
        self.random = Random(seed)
        self.server = KeyValueServer(Random(f"store {seed}"))
        self.network = PoorNetwork(tasks, Random(f"network {seed}"))
        self.members = KnownMembers()
        self.nodes: dict[NodeName, FleetNode] = {}
        self.past_nodes: list[FleetNode] = []
        self.accepted: dict[int, Deployment] = {}
        self._tasks = tasks
        for number in range(num_nodes):
            node = NodeId(NodeName(f"node-{number:03d}"), Incarnation(1))
            zone = ZoneName(f"zone-{number % num_zones}")
            address = NodeAddress("10.0.0.1", FIRST_PORT + number)
            self._start(Peer(node, address, zone, PeerState.ALIVE))

    def stop(self, name: NodeName) -> FleetNode:
        """Stop a node as a crash does; the membership still lists it."""
        node = self.nodes.pop(name)
        node.scope.cancel()
        self.network.detach(node.address)
        self.past_nodes.append(node)
        return node

    def restart(self, name: NodeName) -> FleetNode:
        """Stop a node and start a new run of it, with empty memory."""
        before = self.stop(name).peer
        node = NodeId(name, Incarnation(before.node.incarnation + 1))
        return self._start(Peer(node, before.address, before.zone, PeerState.ALIVE))

    async def apply(self, deployment: Deployment) -> ApplyOutcome:
        """Apply a deployment made from the store's revision; record it if accepted."""
        now_s = anyio.current_time()
        base = self.server.model.mod_revision(CONFIGURATION_KEY.encode(), now_s)
        port = InProcessKeyValue(self.server)
        apply_id = f"{deployment.name} from {base}"
        outcome = await Applier(port, deployment, base or None, apply_id, self.random).run()
        if isinstance(outcome, Accepted):
            self.accepted[outcome.revision] = deployment
        return outcome

    async def wait_until_in_force(self, revision: int, time_limit_s: float = 60.0) -> float:
        """Wait until every node has a revision or a higher one; return the seconds waited."""
        start_s = anyio.current_time()
        with anyio.fail_after(time_limit_s):
            for node in list(self.nodes.values()):
                await node.task.changed_after(ConfigurationRevision(revision - 1))
        return anyio.current_time() - start_s

    def _start(self, own: Peer) -> FleetNode:
        node = FleetNode(self.network, self.server, self.members, own)
        self.nodes[node.name] = node
        self.members.put(own)
        self._tasks.start_soon(node.run)
        return node


async def run_configuration_fleet(
    script: Callable[[ConfigurationFleet], Awaitable[ResultT]],
    num_nodes: int,
    num_zones: int,
    seed: int = 1,
    deployment: Deployment | None = None,
) -> ResultT:
    """Run a script on a fleet; given a deployment, wait until it is in force on all nodes first."""
    async with anyio.create_task_group() as tasks:
        fleet = ConfigurationFleet(tasks, num_nodes, num_zones, seed)
        if deployment is not None:
            await fleet.apply(deployment)
            await fleet.wait_until_in_force(FIRST_REVISION)
        result = await script(fleet)
        tasks.cancel_scope.cancel()
    return result
