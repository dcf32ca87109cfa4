"""Hollow nodes over real UDP and HTTP on loopback, many in this process.

Run it in several shells with the same seed address for several real processes.
"""

import gc
import time
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.identifiers import Incarnation, NodeAddress, NodeId, NodeName, ZoneName
from weirscale.experiments.scale.fleet import FLEET_KEY, NODES_PER_ZONE
from weirscale.experiments.scale.measure import resident_bytes, traffic_by_type
from weirscale.messages.envelope import KeyRing
from weirscale.node.membership import MembershipTask
from weirscale.node.peers.link import AuthenticatedPeerLink
from weirscale.ports.peers_network import UdpHttpPeerNetwork

LOOPBACK = "127.0.0.1"
FORMING_LIMIT_S = 120.0
LOOK_INTERVAL_S = 0.5


class LoopbackPlan(msgspec.Struct, frozen=True):
    """What one process runs.

    Attributes:
        num_nodes: Hollow nodes in this process.
        first_port: Its nodes listen on this port and those after it.
        num_fleet_nodes: Nodes in all processes, waited for before measuring.
        seed_port: Port of the node to join by; the first process gives its own first port.
        duration_s: Length of the measurement.
    """

    num_nodes: int
    first_port: int
    num_fleet_nodes: int
    seed_port: int
    duration_s: float = 30.0


class LoopbackCost(msgspec.Struct, frozen=True):
    """What one hollow node cost, on the average of this process.

    Attributes:
        num_nodes: Nodes in this process.
        num_fleet_nodes: Nodes in the fleet.
        formed_s: Time until every node here saw the whole fleet.
        cpu_share: Processor time a node takes a second.
        bytes_per_s_by_type: Sent and received, with UDP and IP headers.
        resident_bytes: Memory that a node adds to the process.
        num_incomplete: Nodes here that did not see the whole fleet at the end.
    """

    num_nodes: int
    num_fleet_nodes: int
    formed_s: float
    cpu_share: float
    bytes_per_s_by_type: dict[str, float]
    resident_bytes: float
    num_incomplete: int


class LoopbackNode:
    """One node's sockets, link and membership; its port determines its zone.

    Args:
        port: Its peer port.
        seed_port: Port of the node to join by, the first of zone-00.
    """

    def __init__(self, port: int, seed_port: int) -> None:
        number = port - seed_port
        address = NodeAddress(LOOPBACK, port)
        node = NodeId(NodeName(f"loop-{port}"), Incarnation(time.time_ns() // 1_000_000))
        zone = ZoneName(f"zone-{abs(number) // NODES_PER_ZONE:02d}")
        random = Random(port)
        self.network = UdpHttpPeerNetwork(address)
        self.link = AuthenticatedPeerLink(
            self.network, node, address, KeyRing((FLEET_KEY,)), random
        )
        seeds = [NodeAddress(LOOPBACK, seed_port)]
        self.membership = MembershipTask(self.link, node, address, zone, seeds, random)

    async def start(self, tasks: TaskGroup) -> None:
        """Start its tasks in a task group."""
        await tasks.start(self.network.run)
        tasks.start_soon(self.link.run)
        tasks.start_soon(self.membership.run)


async def measure_loopback(plan: LoopbackPlan) -> LoopbackCost:
    """Run the nodes of one process; on the wall clock."""
    resident_before = resident_bytes()
    async with anyio.create_task_group() as tasks:
        started_at_s = anyio.current_time()
        nodes = [
            LoopbackNode(plan.first_port + each, plan.seed_port) for each in range(plan.num_nodes)
        ]
        for node in nodes:
            await node.start(tasks)
        await _wait_formed(nodes, plan.num_fleet_nodes)
        formed_s = anyio.current_time() - started_at_s
        gc.collect()
        resident = (resident_bytes() - resident_before) / plan.num_nodes
        links = [node.link for node in nodes]
        before = traffic_by_type(links)
        cpu_before_s = time.process_time()
        await anyio.sleep(plan.duration_s)
        scale = 1.0 / (plan.duration_s * plan.num_nodes)
        cpu_share = (time.process_time() - cpu_before_s) * scale
        after = traffic_by_type(links)
        num_incomplete = sum(not _is_formed(node, plan.num_fleet_nodes) for node in nodes)
        tasks.cancel_scope.cancel()
    by_type = {tag: (after[tag].bytes_with_headers(before.get(tag))) * scale for tag in after}
    return LoopbackCost(
        plan.num_nodes,
        plan.num_fleet_nodes,
        formed_s,
        cpu_share,
        by_type,
        resident,
        num_incomplete,
    )


async def _wait_formed(nodes: list[LoopbackNode], num_fleet_nodes: int) -> None:
    with anyio.move_on_after(FORMING_LIMIT_S):
        while True:
            if all(_is_formed(node, num_fleet_nodes) for node in nodes):
                return
            await anyio.sleep(LOOK_INTERVAL_S)


def _is_formed(node: LoopbackNode, num_fleet_nodes: int) -> bool:
    return len(node.membership.peers()) == num_fleet_nodes
