"""A fleet of configuration tasks on a memory network, in virtual time."""

import random
from types import SimpleNamespace

import anyio

from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import NodeAddress, NodeId
from weirscale.experiments.memory_network import LinkQuality, MemoryNetwork
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.configuration.apply import Applier
from weirscale.node.configuration.outcome import Accepted
from weirscale.node.configuration.task import ConfigurationTask
from weirscale.node.event_log import SilentEventLog
from weirscale.node.interfaces import Peer, PeerState
from weirscale.node.peers.link import AuthenticatedPeerLink
from weirscale.standins.key_value.in_process import InProcessKeyValue
from weirscale.standins.key_value.server import KeyValueServer

JOIN_S = 0.2
"""How long a node takes to learn of the others."""
KEY = PeerKey(1, b"a secret of 24 bytes....")


class KnownMembers:
    """A membership view that all nodes share; a node that starts knows only itself at first."""

    def __init__(self):
        self.by_name = {}
        self.num_changes = 0

    def put(self, peer):
        self.by_name[peer.node.name] = peer
        self.num_changes += 1

    def view(self, self_id):
        joins_at_s = anyio.current_time() + JOIN_S

        def sorted_peers():
            if anyio.current_time() < joins_at_s:
                return (self.by_name[self_id.name],)
            return tuple(self.by_name[name] for name in sorted(self.by_name))

        return SimpleNamespace(
            self_id=self_id, peers=sorted_peers, version=lambda: self.num_changes
        )


class Node:
    """One run of one node, with every revision that it ever put in force."""

    def __init__(self, fleet, name, zone, address, incarnation):
        self.name = name
        self.zone = zone
        self.address = address
        self.node_id = NodeId(name, incarnation)
        self.fleet = fleet
        self.history = []
        self.scope = anyio.CancelScope()
        self.endpoint = fleet.network.attach(address, zone)
        seeded = random.Random(f"{fleet.seed} {name} {incarnation}")
        self.link = AuthenticatedPeerLink(
            self.endpoint, self.node_id, address, KeyRing((KEY,)), seeded
        )
        self.port = InProcessKeyValue(fleet.server)
        self.task = ConfigurationTask(
            self.port,
            self.link,
            fleet.members.view(self.node_id),
            zone,
            seeded,
            SilentEventLog(),
            self.endpoint.sleep,
        )

    @property
    def revision(self):
        return self.history[-1][1] if self.history else 0

    def num_bytes_sent(self):
        """Bytes for the configuration, challenges of the link included."""
        return sum(count.num_bytes for count in self.link.traffic.sent.values())

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.link.run)
                tasks.start_soon(self.task.run)
                revision = 0
                while True:
                    in_force = await self.task.changed_after(revision)
                    revision = in_force.revision
                    self.history.append((anyio.current_time(), revision, in_force.deployment))


class Fleet:
    """Nodes, their network and the store."""

    def __init__(self, tasks, num_nodes, num_zones, seed):
        self.tasks = tasks
        self.seed = seed
        self.random = random.Random(seed)
        self.server = KeyValueServer(random.Random(seed + 1000))
        self.network = MemoryNetwork(tasks, random.Random(seed + 2000))
        self.members = KnownMembers()
        self.nodes = {}
        self.past_nodes = []
        self.accepted = {}
        for number in range(num_nodes):
            zone = f"zone-{number % num_zones}"
            self.start(f"node-{number:03d}", zone, NodeAddress("10.0.0.1", 7000 + number))

    def start(self, name, zone, address, incarnation=1):
        node = Node(self, name, zone, address, incarnation)
        self.nodes[name] = node
        self.members.put(Peer(node.node_id, address, zone, PeerState.ALIVE))
        self.tasks.start_soon(node.run)
        return node

    def stop(self, name):
        node = self.nodes.pop(name)
        node.scope.cancel()
        self.network.detach(node.address)
        self.past_nodes.append(node)
        return node

    def restart(self, name):
        node = self.stop(name)
        return self.start(name, node.zone, node.address, node.node_id.incarnation + 1)

    async def apply(self, deployment, time_limit_s=30.0):
        """Apply from the present revision; returns the outcome and notes what was accepted."""
        base = self.server.model.mod_revision(b"weirscale/configuration", anyio.current_time())
        applier = Applier(
            InProcessKeyValue(self.server),
            deployment,
            base or None,
            f"{deployment.name} {base}",
            self.random,
            time_limit_s,
        )
        outcome = await applier.run()
        if isinstance(outcome, Accepted):
            self.accepted[outcome.revision] = (anyio.current_time(), deployment.name)
        return outcome

    async def wait_until_in_force(self, revision, time_limit_s=60.0):
        """Wait until every node has a revision or a higher one; returns how long that took."""
        start_s = anyio.current_time()
        with anyio.fail_after(time_limit_s):
            for node in list(self.nodes.values()):
                await node.task.changed_after(revision - 1)
        return anyio.current_time() - start_s

    def set_quality(self, **quality):
        self.network.set_default_quality(LinkQuality(**quality))


def small_deployment(name):
    return Deployment(1, name, (), (), (), ())


async def run_fleet(script, num_nodes, num_zones, seed=1, deployment=None):
    """Run a script on a fleet; with a deployment, once that is in force."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, num_nodes, num_zones, seed)
        if deployment is not None:
            await fleet.apply(deployment)
            await fleet.wait_until_in_force(2)
        result = await script(fleet)
        tasks.cancel_scope.cancel()
    return result
