"""One process of the control-cost measurement: whole nodes, or nodes of membership alone.

The nodes of a zone run whole over loopback sockets before hollow engines; in each other zone one
node takes part in membership alone, so that its engines are not taken over.
"""

import gc
import sys
import time
from random import Random

import anyio
import msgspec

from bench.control_setup import (
    FleetPlan,
    NodeFigures,
    NodeRole,
    ServerAddress,
    announce,
    node_address,
    resident_bytes,
    wait_for_end_of_input,
)
from weirscale.domain.configuration.model import Engine
from weirscale.domain.identifiers import (
    ConfigurationRevision,
    Incarnation,
    NodeAddress,
    NodeId,
    NodeName,
)
from weirscale.experiments.control_cost.deployment import design_deployment, zone_names
from weirscale.experiments.control_cost.hollow_engine import (
    EngineTraffic,
    HollowEngine,
    HollowEnginePort,
)
from weirscale.experiments.scale.fleet import FLEET_KEY, NODES_PER_ZONE
from weirscale.experiments.scale.loopback import LoopbackNode
from weirscale.experiments.scale.measure import traffic_by_type
from weirscale.messages.envelope import KeyRing
from weirscale.node.assembly import Node
from weirscale.node.configuration.apply import Applier
from weirscale.node.configuration.outcome import Accepted
from weirscale.node.event_log import SilentEventLog
from weirscale.node.node_ports import NodeIdentity, NodePorts
from weirscale.node.program import make_service_port
from weirscale.ports.engine import EnginePort
from weirscale.ports.engine_http import HttpEngine
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.key_value_etcd import EtcdKeyValue
from weirscale.ports.listeners import open_listener
from weirscale.ports.peers_network import UdpHttpPeerNetwork
from weirscale.standins.key_value.app import KeyValueApp
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

STOP_S = 0.5
NO_REVISION = ConfigurationRevision(0)


class _WholeNode:
    """A whole node on sockets; its engines are hollow, but it holds real clients for them."""

    def __init__(self, plan: FleetPlan, number: int) -> None:
        self.traffic = EngineTraffic()
        self.clients: list[HttpEngine] = []
        address = NodeAddress(*node_address(plan, number))
        node = NodeId(NodeName(f"whole-{number}"), Incarnation(int(time.time() * 1000)))
        self.network = UdpHttpPeerNetwork(address)
        ports = NodePorts(
            network=self.network,
            key_value=EtcdKeyValue((plan.key_value,)),
            machines=None,
            make_engine_port=self._engine_port,
            make_service_port=make_service_port,
        )
        seeds = (NodeAddress(*node_address(plan, 0)),)
        identity = NodeIdentity(node, zone_names()[0], address, seeds)
        self.node = Node(identity, ports, KeyRing((FLEET_KEY,)), Random(number), SilentEventLog())

    def _engine_port(self, engine: Engine) -> EnginePort:
        self.clients.append(HttpEngine(engine.address))
        return HollowEnginePort(HollowEngine(engine), self.traffic)


async def run_platform(plan: FleetPlan) -> None:
    """Serve the key-value stand-in with the deployment in it."""
    store = KeyValueServer(Random(1))
    listener = open_listener("127.0.0.1", 0)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    deployment = design_deployment(plan.num_engines, plan.num_blocks)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_asgi, KeyValueApp(store), listener, anyio.Event(), STOP_S)
        announce(ServerAddress(address))
        # Nodes of one process that do not know one another yet would each take over its engines.
        await anyio.sleep(plan.apply_after_s)
        applier = Applier(InProcessKeyValue(store), deployment, None, "bench", Random(2))
        outcome = await applier.run()
        if not isinstance(outcome, Accepted):
            raise SystemExit(f"the configuration was not accepted: {outcome}")
        await wait_for_end_of_input()
        tasks.cancel_scope.cancel()


async def run_whole(plan: FleetPlan, first: int, count: int) -> None:
    """Run whole nodes; with one node, print what it costs."""
    at_start = resident_bytes()
    async with anyio.create_task_group() as tasks:
        nodes = [_WholeNode(plan, first + each) for each in range(count)]
        for node in nodes:
            await tasks.start(node.network.run)
            await tasks.start(node.node.run)
        announce(ServerAddress(""))
        if count == 1:
            tasks.start_soon(_measure, plan, nodes[0], at_start)
        await wait_for_end_of_input()
        tasks.cancel_scope.cancel()


async def _measure(plan: FleetPlan, whole: _WholeNode, at_start: int) -> None:
    await whole.node.configuration.changed_after(NO_REVISION)
    await anyio.sleep(plan.settle_s)
    gc.collect()
    links = [whole.node.link]
    before = traffic_by_type(links)
    polls_before = whole.traffic.num_load_polls
    cpu_before_s, wall_before_s = time.process_time(), time.monotonic()
    await anyio.sleep(plan.quiet_s)
    cpu_s, wall_s = time.process_time() - cpu_before_s, time.monotonic() - wall_before_s
    after = traffic_by_type(links)
    announce(
        NodeFigures(
            resident_at_start=at_start,
            resident_bytes=resident_bytes(),
            cpu_share=cpu_s / wall_s,
            bytes_per_s_by_type={
                tag: count.bytes_with_headers(before.get(tag)) / wall_s
                for tag, count in after.items()
            },
            num_peers=len(whole.node.membership.peers()),
            num_homes=len(whole.node.homes.engines),
            load_polls_per_s=(whole.traffic.num_load_polls - polls_before) / wall_s,
        )
    )


async def run_members(plan: FleetPlan) -> None:
    """Run one node of membership alone in each zone but the first."""
    seed_port = node_address(plan, 0)[1]
    async with anyio.create_task_group() as tasks:
        for zone_number in range(1, len(zone_names())):
            node = LoopbackNode(seed_port + zone_number * NODES_PER_ZONE, seed_port)
            await node.start(tasks)
        announce(ServerAddress(""))
        await wait_for_end_of_input()
        tasks.cancel_scope.cancel()


async def main(role: NodeRole, plan: FleetPlan, first: int, count: int) -> None:
    """Run one role until standard input ends."""
    match role:
        case NodeRole.PLATFORM:
            await run_platform(plan)
        case NodeRole.WHOLE:
            await run_whole(plan, first, count)
        case NodeRole.MEMBERS:
            await run_members(plan)


if __name__ == "__main__":
    anyio.run(
        main,
        NodeRole(sys.argv[1]),
        msgspec.json.decode(sys.argv[2], type=FleetPlan),
        int(sys.argv[3]),
        int(sys.argv[4]),
        backend_options={"use_uvloop": True},
    )
