"""A fleet of virtual nodes that can be started, killed, paused and stopped.

Each of these changes is recorded.
"""

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.identifiers import (
    ConfigurationRevision,
    NodeAddress,
    NodeName,
    ZoneName,
)
from weirscale.experiments.history.records import ConfigurationTaken, NodeChange, NodeChanged
from weirscale.experiments.memory_network import MemoryEndpoint, MemoryNetwork
from weirscale.experiments.run.exchange import CallerExchange, Connect, HttpRequest
from weirscale.experiments.run.node_process import NodeFactory, NodeProcess, NodeSetup
from weirscale.experiments.run.recorder import Recorder
from weirscale.node.assembly import Node

PEER_PORT = 7400
FIRST_HOST_NUMBER = 1


class MemberPlace(msgspec.Struct, frozen=True):
    """Name, zone and peer address of a node of the fleet."""

    name: NodeName
    zone: ZoneName
    address: NodeAddress


class _Member:
    """The state of a node across its runs."""

    def __init__(self, place: MemberPlace) -> None:
        self.place = place
        self.num_starts = 0
        self.process: NodeProcess | None = None
        self.endpoint: MemoryEndpoint | None = None
        self.is_draining = False


class Fleet:
    """Owns the nodes of an experiment run.

    Attributes:
        places: All nodes, sorted by name.
        failures: Exceptions that nodes raised; each one is a bug in the nodes.
        num_peer_bytes: Bytes that nodes have sent to one another.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        zones: tuple[ZoneName, ...],
        nodes_per_zone: int,
        network: MemoryNetwork,
        recorder: Recorder,
    ) -> None:
        self.failures: list[Exception] = []
        self.num_peer_bytes = 0
        self._tasks = tasks
        self._network = network
        self._recorder = recorder
        self._make_node: NodeFactory | None = None
        self.places = _places(zones, nodes_per_zone)
        self._members = {place.name: _Member(place) for place in self.places}

    def use_factory(self, make_node: NodeFactory) -> None:
        """Set the factory of nodes; must be called before the first `start`."""
        self._make_node = make_node

    def start(self, name: NodeName) -> None:
        """Start a node that is not running."""
        member = self._members[name]
        make_node = self._make_node
        assert make_node is not None
        member.num_starts += 1
        member.is_draining = False
        place = member.place
        endpoint = self._network.attach(place.address, place.zone)
        process = NodeProcess(self.failures)
        member.endpoint = endpoint
        member.process = process
        run_number = member.num_starts

        def make(tasks: TaskGroup) -> Node:
            setup = NodeSetup(
                name=place.name,
                zone=place.zone,
                address=place.address,
                run_number=run_number,
                life=process.life,
                tasks=tasks,
            )
            node = make_node(setup)
            tasks.start_soon(self._watch_configuration, name, node)
            return node

        self._tasks.start_soon(process.run, make)
        self._record(name, NodeChange.STARTED)

    def endpoint(self, name: NodeName) -> MemoryEndpoint:
        """Return the network endpoint of a node's current run."""
        endpoint = self._members[name].endpoint
        assert endpoint is not None
        return endpoint

    def is_running(self, name: NodeName) -> bool:
        """Return whether a node is running; a paused node counts as running."""
        process = self._members[name].process
        return process is not None and process.is_accepting

    def num_exchanges(self, name: NodeName) -> int:
        """Return the number of open exchanges between callers and a node."""
        process = self._members[name].process
        return process.num_exchanges if process is not None else 0

    def crash(self, name: NodeName) -> None:
        """Kill a node; do nothing if it is not running."""
        if not self.is_running(name):
            return
        self._record(name, NodeChange.CRASHED)
        self._terminate(name)

    async def restart(self, name: NodeName, down_s: float) -> None:
        """Kill a node and start it again after `down_s`; do nothing if it is not running."""
        if not self.is_running(name):
            return
        self.crash(name)
        await anyio.sleep(down_s)
        self.start_if_stopped(name)

    def start_if_stopped(self, name: NodeName) -> None:
        """Start a node unless another fault has already restarted it."""
        if not self.is_running(name):
            self.start(name)

    async def pause(self, name: NodeName, lasts_s: float) -> None:
        """Suspend a node as SIGSTOP does, and resume it after `lasts_s`."""
        member = self._members[name]
        process, endpoint = member.process, member.endpoint
        if (
            process is None
            or endpoint is None
            or not process.is_accepting
            or process.life.is_paused
        ):
            return
        self._record(name, NodeChange.PAUSED)
        process.life.pause()
        endpoint.freeze()
        await anyio.sleep(lasts_s)
        endpoint.thaw()
        if member.process is process and process.is_accepting:
            process.life.resume()
            self._record(name, NodeChange.RESUMED)

    async def stop_planned(self, name: NodeName, timeout_s: float) -> bool:
        """Drain a node and stop it; return False if draining exceeded the timeout."""
        member = self._members[name]
        process = member.process
        if (
            process is None
            or process.node is None
            or not process.is_accepting
            or member.is_draining
        ):
            return True
        member.is_draining = True
        self._record(name, NodeChange.DRAIN_BEGAN)
        is_drained = False
        with anyio.move_on_after(timeout_s):
            await process.drain()
            is_drained = True
        if member.process is process and process.is_accepting:
            self._record(name, NodeChange.STOPPED)
            self._terminate(name)
        return is_drained

    def count_peer_bytes(self, num_bytes: int) -> None:
        """Add bytes that a node sent to another node."""
        self.num_peer_bytes += num_bytes

    def record_change(self, name: NodeName, change: NodeChange) -> None:
        """Record a change of a node that was made outside of this class."""
        self._record(name, change)

    def find_node(self, zone: ZoneName, index: int) -> tuple[NodeName, Connect]:
        """Return the node that a caller in a zone connects to.

        A caller has the addresses of all nodes. It tries the nodes of its zone first, starting at
        `index`, then those of other zones. Draining nodes come last, since they have left the
        callers' lists but still accept connections.
        """
        in_zone = [place for place in self.places if place.zone == zone]
        elsewhere = [place for place in self.places if place.zone != zone]
        start = index % len(in_zone)
        ordered = in_zone[start:] + in_zone[:start] + elsewhere
        ordered.sort(key=lambda place: self._members[place.name].is_draining)
        for place in ordered:
            process = self._members[place.name].process
            if process is not None and process.is_accepting:
                return place.name, process.connect
        return ordered[0].name, _refuse_connection

    def _terminate(self, name: NodeName) -> None:
        member = self._members[name]
        if member.process is not None:
            member.process.kill()
        self._network.detach(member.place.address)
        if member.endpoint is not None:
            member.endpoint.thaw()

    def _record(self, name: NodeName, change: NodeChange) -> None:
        self._recorder.add(NodeChanged(at_s=self._recorder.now(), node=name, change=change))

    async def _watch_configuration(self, name: NodeName, node: Node) -> None:
        """Record each configuration revision that a node applies."""
        revision = ConfigurationRevision(0)
        while True:
            in_force = await node.configuration.changed_after(revision)
            revision = in_force.revision
            taken = ConfigurationTaken(at_s=self._recorder.now(), node=name, revision=revision)
            self._recorder.add(taken)


def _refuse_connection(request: HttpRequest) -> CallerExchange | None:
    return None


def _places(zones: tuple[ZoneName, ...], nodes_per_zone: int) -> tuple[MemberPlace, ...]:
    places: list[MemberPlace] = []
    for zone in zones:
        for number in range(1, nodes_per_zone + 1):
            host = f"10.0.0.{FIRST_HOST_NUMBER + len(places)}"
            name = NodeName(f"{zone}-node-{number}")
            places.append(MemberPlace(name, zone, NodeAddress(host, PEER_PORT)))
    return tuple(places)
