"""The node as a process: sockets, signals and logs."""

import gc
import signal
import time
from random import Random

import anyio
from result import Ok

from weirscale.domain.configuration.model import Engine, ServiceBackend
from weirscale.domain.identifiers import Incarnation, NodeAddress, NodeId
from weirscale.messages.envelope import KeyRing, PeerKey
from weirscale.node.assembly import Node
from weirscale.node.node_ports import NodeIdentity, NodePorts
from weirscale.node.settings import NodeSettings, parse_address
from weirscale.ports.engine import EnginePort
from weirscale.ports.engine_http import HttpEngine
from weirscale.ports.event_log import EliotEventLog, start_line_log
from weirscale.ports.http_server import serve_asgi
from weirscale.ports.key_value_etcd import EtcdKeyValue
from weirscale.ports.listeners import open_listener, port_of
from weirscale.ports.machines_http import HttpMachineList
from weirscale.ports.peers_network import UdpHttpPeerNetwork
from weirscale.ports.service import ServicePort
from weirscale.ports.service_http import HttpService

MILLISECONDS_PER_S = 1000

OPERATOR_HOST = "127.0.0.1"
"""The operators' port listens on loopback only, because it has no authentication."""

FINISH_TIMEOUT_S = 5.0
"""Time for idle connections to close after a drain, when no request is running."""

GC_YOUNG_THRESHOLD = 20_000
"""Number of new container objects that triggers a garbage collection; unreachable cycles then hold
about 10 MB at most."""

EXIT_DRAINED = 0
EXIT_DRAIN_TIMED_OUT = 4
"""Exit code if the drain timed out and running requests were cut off."""


def new_incarnation() -> Incarnation:
    """Return the incarnation of a run that starts now, in milliseconds since the epoch."""
    return Incarnation(int(time.time() * MILLISECONDS_PER_S))


def key_ring(settings: NodeSettings) -> KeyRing:
    """Create the ring of shared keys from checked settings."""
    keys = (PeerKey(key.key_id, key.secret.encode()) for key in settings.peer_keys)
    return KeyRing(tuple(keys))


def make_engine_port(engine: Engine) -> EnginePort:
    """Create the HTTP port of an engine."""
    return HttpEngine(engine.address)


def make_service_port(backend: ServiceBackend) -> ServicePort:
    """Create the HTTP port of a service back end."""
    return HttpService(backend.address)


class NodeProgram:
    """One node on real sockets.

    Args:
        settings: Checked settings with a peer port other than 0.
        random: Source of randomness.
    """

    def __init__(self, settings: NodeSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self.stopped = anyio.Event()
        self._listener = open_listener(settings.host, settings.caller_port)
        self.caller_port = port_of(self._listener)
        self._operator_listener = open_listener(OPERATOR_HOST, settings.operator_port)
        self.operator_port = port_of(self._operator_listener)
        self.event_log = EliotEventLog(node=settings.name, zone=settings.zone)
        self.network = UdpHttpPeerNetwork(NodeAddress(settings.host, settings.peer_port))
        self.identity = NodeIdentity(
            NodeId(settings.name, new_incarnation()),
            settings.zone,
            NodeAddress(settings.host, settings.peer_port),
            _parse_addresses(settings.seeds),
        )
        self.node = Node(
            self.identity,
            self._ports(),
            key_ring(settings),
            random,
            self.event_log,
        )

    def _ports(self) -> NodePorts:
        settings = self._settings
        machines = HttpMachineList(settings.machine_list) if settings.machine_list else None
        return NodePorts(
            self.network,
            EtcdKeyValue(settings.key_value),
            machines,
            make_engine_port,
            make_service_port,
        )

    async def run(self, stop: anyio.Event) -> bool:
        """Serve until `stop` is set, then drain.

        Returns:
            True if the drain cut off no request.
        """
        stop_serving = anyio.Event()
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.network.run)
            await tasks.start(self.node.run)
            _tune_garbage_collector()
            callers = self.node.caller_app
            tasks.start_soon(serve_asgi, callers, self._listener, stop_serving, FINISH_TIMEOUT_S)
            operators = self.node.operator_app(stop.set)
            listener = self._operator_listener
            tasks.start_soon(serve_asgi, operators, listener, stop_serving, FINISH_TIMEOUT_S)
            self.event_log.event(
                "node_started", callers=self.caller_port, operators=self.operator_port
            )
            tasks.start_soon(self._stop_when_superseded, stop)
            await stop.wait()
            was_clean = await self.node.drain()
            stop_serving.set()
            tasks.cancel_scope.cancel()
        self.event_log.event("node_stopped", clean=was_clean)
        self.stopped.set()
        return was_clean

    async def _stop_when_superseded(self, stop: anyio.Event) -> None:
        """Drain this run once a later run of a node with the same name has joined."""
        await self.node.membership.wait_superseded()
        self.event_log.event(
            "node_superseded", remedy="give each node a name of its own, or stop the earlier run"
        )
        stop.set()


def _parse_addresses(texts: tuple[str, ...]) -> tuple[NodeAddress, ...]:
    parsed = (parse_address(text) for text in texts)
    return tuple(result.ok_value for result in parsed if isinstance(result, Ok))


def _tune_garbage_collector() -> None:
    """Exempt all objects created at startup from garbage collection, and collect less often.

    Requests are freed by reference counting. A full collection over a node's modules and settings
    would pause all streams for tens of milliseconds and free nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD)


async def _set_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
            return


async def _serve(settings: NodeSettings) -> int:
    program = NodeProgram(settings, Random())
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_set_on_signal, stop)
        was_clean = await program.run(stop)
        tasks.cancel_scope.cancel()
    return EXIT_DRAINED if was_clean else EXIT_DRAIN_TIMED_OUT


def run_node(settings: NodeSettings) -> int:
    """Run a node until SIGTERM or SIGINT.

    Returns:
        The process's exit code.

    Raises:
        OSError: An address can't be bound.
    """
    start_line_log()
    return anyio.run(_serve, settings, backend_options={"use_uvloop": True})
