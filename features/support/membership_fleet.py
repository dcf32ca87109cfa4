"""A fleet of nodes that run only the peer link and membership, over the in-memory network."""

from collections.abc import Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from features.support.poor_network import PoorNetwork
from weirscale.domain.identifiers import Incarnation, NodeAddress, NodeId, NodeName, ZoneName
from weirscale.domain.membership.rules import MembershipRules
from weirscale.experiments.memory_network import LinkQuality, MemoryEndpoint, MemoryNetwork
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.interfaces import Peer
from weirscale.node.membership import MembershipTask
from weirscale.node.peers.link import PeerLink

FLEET_KEY = PeerKey(1, b"key of the membership fleet")
PEER_PORT = 7100
WATCH_INTERVAL_S = 0.05
"""Interval at which `until` checks its condition; the resolution of the times it returns."""

NODES_PER_ZONE = 22
"""About 400 nodes in 18 zones."""

SAME_ZONE = LinkQuality(delay_s=0.0003, jitter_s=0.0003)
OTHER_ZONE = LinkQuality(delay_s=0.0015, jitter_s=0.001)


class MembershipNode:
    """One node's link and membership.

    Attributes:
        node: The node's identity.
        endpoint: The node's access to the network, which can be paused.
        link: The node's peer link, with traffic counts.
        membership: The node's membership task.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        node: NodeId,
        address: NodeAddress,
        zone: ZoneName,
        seeds: list[NodeAddress],
        rules: MembershipRules,
        seed: int,
    ) -> None:
        random = Random(f"{seed} {node}")
        self.node = node
        self.address = address
        self.zone = zone
        self.endpoint: MemoryEndpoint = network.attach(address, zone)
        self.link = PeerLink(self.endpoint, node, address, KeyRing((FLEET_KEY,)), random)
        self.membership = MembershipTask(
            self.link, node, address, zone, seeds, random, rules, sleep=self.endpoint.sleep
        )
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Run until the scope is cancelled."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.link.run)
                tasks.start_soon(self.membership.run)

    def names(self) -> frozenset[NodeName]:
        """Return the names of the nodes that this node regards as alive."""
        return frozenset(peer.node.name for peer in self.membership.peers())

    def peer(self, name: NodeName) -> Peer | None:
        """Return this node's entry for another node, or None."""
        for peer in self.membership.peers():
            if peer.node.name == name:
                return peer
        return None


class MembershipFleet:
    """Start, stop and pause nodes, and partition their network.

    Args:
        tasks: Task group in which nodes run.
        seed: Seed of all random choices.
        zones: Zones that nodes are spread over.
        rules: Membership rules of all nodes.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        seed: int,
        zones: int,
        rules: MembershipRules | None = None,
    ) -> None:
        self.network = PoorNetwork(tasks, Random(seed), OTHER_ZONE)
        self.zones = [ZoneName(f"zone-{number:02d}") for number in range(zones)]
        for zone in self.zones:
            self.network.set_zone_quality(zone, zone, SAME_ZONE)
        self.nodes: dict[NodeName, MembershipNode] = {}
        self.seeds: list[NodeAddress] = []
        self._rules = rules or MembershipRules()
        self._tasks = tasks
        self._seed = seed
        self._num_started = 0

    async def start(self, count: int, settle_s: float = 12.0) -> None:
        """Start nodes at once; wait until all agree, then `settle_s` for start-up traffic to end."""
        for _ in range(count):
            self.start_node()
        agreed = await self.until(self.all_agree, 60.0)
        assert agreed is not None, "the fleet did not form"
        await anyio.sleep(settle_s)

    def start_node(self, replaces: MembershipNode | None = None) -> MembershipNode:
        """Start a new node, or a later run of a stopped node at the same address."""
        self._num_started += 1
        number = self._num_started
        incarnation = Incarnation(1_000_000 + number)
        if replaces is None:
            name = NodeName(f"node-{number:04d}")
            address = NodeAddress(f"10.0.{number // 250}.{number % 250 + 1}", PEER_PORT)
            zone = self.zones[number % len(self.zones)]
        else:
            name, address, zone = replaces.node.name, replaces.address, replaces.zone
        if len(self.seeds) < 3:
            self.seeds.append(address)
        node = MembershipNode(
            self.network,
            NodeId(name, incarnation),
            address,
            zone,
            self.seeds,
            self._rules,
            self._seed,
        )
        self.nodes[name] = node
        self._tasks.start_soon(node.run)
        return node

    def crash(self, node: MembershipNode) -> None:
        """Stop a node without announcement."""
        node.scope.cancel()
        self.network.detach(node.address)
        self.nodes.pop(node.node.name, None)

    async def leave(self, node: MembershipNode, drain_s: float = 1.0) -> None:
        """Stop a node in an orderly way, as an operator would."""
        node.membership.leave()
        await anyio.sleep(drain_s)
        await node.membership.depart()
        self.crash(node)

    def running(self) -> list[MembershipNode]:
        """Return the running nodes, including paused ones, by name."""
        return [self.nodes[name] for name in sorted(self.nodes)]

    def group(self, zones: list[ZoneName]) -> set[NodeAddress]:
        """Return the addresses of the nodes in the given zones."""
        return {node.address for node in self.running() if node.zone in zones}

    def all_agree(self) -> bool:
        """Return whether every node regards exactly the running nodes, in their latest runs, as alive."""
        expected = sorted(node.node for node in self.nodes.values())
        return all(
            [peer.node for peer in node.membership.peers()] == expected
            for node in self.nodes.values()
        )

    async def until(self, condition: Callable[[], bool], timeout_s: float) -> float | None:
        """Wait for a condition; return the seconds it took, or None after the timeout."""
        started_at_s = anyio.current_time()
        while not condition():
            if anyio.current_time() - started_at_s >= timeout_s:
                return None
            await anyio.sleep(WATCH_INTERVAL_S)
        return anyio.current_time() - started_at_s
