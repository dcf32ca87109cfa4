"""Runs gateway nodes in virtual time; the platform adapter connects them to stand-ins."""

import sys
from contextvars import ContextVar
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import anyio
import h11
import httpx

ADAPTER = Path(__file__).resolve().parents[2] / "platform"
if str(ADAPTER) not in sys.path:
    sys.path.append(str(ADAPTER))

from features.support.memory_connections import FleetOpener  # noqa: E402
from features.support.path_losses import LostPaths  # noqa: E402
from features.support.platform_runner import RunnerStandIn  # noqa: E402
from features.support.platform_store import StoreStandIn  # noqa: E402
from weirscale.gateway import ticks  # noqa: E402
from weirscale.gateway.node import GatewayNode  # noqa: E402
from weirscale.gateway.peers.messages import decode_message, encode_message  # noqa: E402
from weirscale.gateway.settings import (  # noqa: E402
    GatewaySettings,
    Guarantees,
    ListenAddress,
    RetryBudgetRules,
)
from weirscale.ports.h11_transport import CONNECTION_EXTENSION  # noqa: E402
from weirscale_platform.back_end_client import (  # noqa: E402
    NUM_PROBE_CONNECTIONS,
    BackEndClientConnector,
)
from weirscale_platform.key_value import KeyValueAdapter  # noqa: E402
from weirscale_platform.request_codec import HeaderCodec  # noqa: E402
from weirscale_platform.state_feed import StateFeedAdapter  # noqa: E402
from weirscale_platform.store_client import StoreClient  # noqa: E402

STORE_ADDRESS = "10.0.0.1:7000"
CALLER_PORT = 8000
READY_PORT = 8001
PEER_PORT = 8002
METRICS_PORT = 8003
TICK_S = 0.05
SILENT_END_S = 1.2
"""Seconds from the end of a process until its address refuses connections, if it is silent first."""

MODEL = "m"


class EventRecorder:
    """An event log that keeps its events in memory."""

    def __init__(self):
        self.events = []

    def event(self, name, **fields):
        self.events.append((name, fields))

    def named(self, name):
        return [fields for event_name, fields in self.events if event_name == name]


class Transport(httpx.AsyncBaseTransport):
    """Passes requests to the stand-in at their address, over connections that nodes open.

    Args:
        fleet: The fleet.
        node_name: The node that sends the requests.
        source: Opens connections to a back end; None for the store.
        is_for_probes: Whether it keeps connections for health checks.
    """

    def __init__(self, fleet, node_name, source=None, is_for_probes=False):
        self._is_for_probes = is_for_probes
        self._fleet = fleet
        self._node_name = node_name
        self._source = source
        self.is_closed = False
        self._idle = []

    async def aclose(self):
        """Close all connections, including those in use, as the real transport does."""
        self.is_closed = True

    async def handle_async_request(self, request):
        check_encoding(request)
        address = f"{request.url.host}:{request.url.port}"
        self._fleet.sent_requests.append((self._node_name, request.url.path))
        await self._fleet.wait_while_frozen(self._node_name)
        connection = await self._acquire_connection(address)
        if "target" in request.extensions:
            request.extensions["seen_target"] = request.extensions["target"]
        target = self._fleet.targets.get(address)
        if target is None:
            raise httpx.ReadError("the back end has ended")
        response = await self._answer_in_time(target, request)
        await self._fleet.wait_while_frozen(self._node_name)
        await connection.check()
        response.stream = ClosableBody(self, response.stream, connection)
        response.extensions[CONNECTION_EXTENSION] = connection
        return response

    async def _answer_in_time(self, target, request):
        """Return a stand-in's answer, for GET requests within the read timeout that they have.

        A back end may carry out an order whose sender has stopped waiting.
        """
        timeouts = request.extensions.get("timeout", {}) if request.method == "GET" else {}
        try:
            with anyio.fail_after(timeouts.get("read")):
                return await target.handle(request)
        except TimeoutError as error:
            raise httpx.ReadTimeout("no answer in time") from error

    async def _acquire_connection(self, address):
        """Use an idle connection for probes or if the path is lost, or open one."""
        if self._source is None:
            opening = self._fleet.open(self._node_name, address)
        else:
            idle = self._take_idle(address)
            if idle is not None:
                return idle
            host, _, port = address.rpartition(":")
            opening = self._source.open(host, int(port))
        try:
            connection = await opening
        except TimeoutError as error:
            raise httpx.ConnectTimeout("no connection in time") from error
        except OSError as error:
            raise httpx.ConnectError(str(error)) from error
        if self._source is not None:
            connection.generation = self._source.generation()
        return connection

    def _take_idle(self, address):
        """Return an idle connection; while paths are sound, all requests open their own.

        So requests that fault cases make unreachable do not find a connection by chance.
        """
        is_sound = self._fleet.lost_paths.loss(self._node_name, address) is None
        if is_sound and not self._is_for_probes:
            return None
        while self._idle:
            connection = self._idle.pop()
            if connection.generation == self._source.generation() and not connection.was_reset():
                return connection
        return None

    def return_connection(self, connection):
        """Keep a connection whose answer has been read."""
        if self._source is not None:
            self._idle.append(connection)


class ClosableBody(httpx.AsyncByteStream):
    """A response body that raises a read error once its transport is closed or its path is lost."""

    def __init__(self, transport, stream, connection):
        self._transport = transport
        self._stream = stream
        self._connection = connection

    async def __aiter__(self):
        async for chunk in self._stream:
            if self._transport.is_closed:
                raise httpx.ReadError("connection closed")
            await self._connection.check()
            yield chunk
        self._transport.return_connection(self._connection)


def check_encoding(request):
    """Raise the error of the real transport if a request cannot be encoded."""
    target = request.extensions.get("target", request.url.raw_path)
    try:
        h11.Request(method=request.method, target=target, headers=request.headers.raw)
    except h11.LocalProtocolError as error:
        raise httpx.LocalProtocolError(str(error)) from error


@dataclass
class Answer:
    """The answer that a caller received."""

    status: int = 0
    headers: list = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = False
    first_byte_s: float = 0.0
    last_byte_s: float = 0.0
    took_s: float = 0.0

    def header(self, name):
        return dict(self.headers).get(name.encode())


CURRENT_NODE = ContextVar("CURRENT_NODE")
"""The fleet and the name of the node that the current task belongs to."""


class FreezableTicks:
    """Replaces `anyio` where nodes wait for ticks, so that a frozen node's ticks are late."""

    current_time = staticmethod(anyio.current_time)

    @staticmethod
    async def sleep_until(at_s):
        await anyio.sleep_until(at_s)
        current_node = CURRENT_NODE.get(None)
        if current_node is not None:
            fleet, name = current_node
            await fleet.wait_while_frozen(name)


ticks.anyio = FreezableTicks


class Fleet:
    """A store, runners and gateway nodes that run in one event loop."""

    def __init__(self, seed=1, **bounds):
        self.store = StoreStandIn()
        self.targets = {STORE_ADDRESS: self.store}
        self.runners = []
        self.cuts = set()
        self.lost_paths = LostPaths()
        self.silent = set()
        """Nodes whose datagrams to single nodes are lost, while their gossip to their group arrives."""
        self.mute = set()
        """Nodes whose datagrams are all lost, gossip included."""
        self.deaf_to = ()
        """Message types that nodes of `old_builds` neither send nor understand."""
        self.old_builds = set()
        self.datagram_loss = 0.0
        """Share of the single datagrams between nodes that are lost; gossip to a group arrives."""
        self.gossip_loss = 0.0
        """Share of the gossip to members of a group that is lost."""
        self.datagram_luck = Random(seed)
        self.frozen = {}
        """By name: frozen nodes, each with the messages that arrived meanwhile."""
        self.thawed = anyio.Event()
        self.suspended_s = {}
        """By name: how long a node's machine was suspended; the event loop's clock excludes this time."""
        self.sent_requests = []
        self.nodes = {}
        self.num_datagrams = 0
        self.logs = {}
        self.scopes = {}
        self.bounds = Guarantees(**bounds)
        self.budget = RetryBudgetRules(0.2, 50.0, 10.0)
        self.seed = seed
        self.tasks = None

    def add_runner(self, runner, registered=True):
        self.runners.append(runner)
        runner.on_crash = self._end_process
        self.targets[runner.address] = runner
        if registered:
            self.store.put(f"servers/{runner.instance}", runner.entry())

    def _end_process(self, runner, fault):
        """Refuse connections to a runner whose process has ended, or be silent, or restart it."""
        if fault == "crash_silent_at_first":
            self.tasks.start_soon(self._refuse_connections, runner, SILENT_END_S)
        elif fault != "crash_silent":
            self.targets.pop(runner.address, None)
        if fault == "crash_reborn":
            reborn = RunnerStandIn(f"{runner.instance}-2", runner.address, runner.service)
            self.targets[runner.address] = reborn

    async def _refuse_connections(self, runner, after_s):
        await anyio.sleep(after_s)
        self.targets.pop(runner.address, None)

    def remove_runner(self, runner):
        self.runners.remove(runner)
        if self.targets.get(runner.address) is runner:
            del self.targets[runner.address]

    async def start_node(self, name="node-1", is_first_start=True, zone="hall-a", number=None):
        number = number or len(self.nodes) + 1
        address = ListenAddress(f"10.1.0.{number}", CALLER_PORT)
        settings = GatewaySettings(
            name=name,
            zone=zone,
            callers=address,
            readiness=ListenAddress(address.host, READY_PORT),
            peers=ListenAddress(address.host, PEER_PORT),
            metrics=ListenAddress(address.host, METRICS_PORT),
            is_first_start=is_first_start,
            bounds=self.bounds,
            retry_budget=self.budget,
        )

        def transport(_connections, _keepalive_s, source=None):
            is_for_probes = _connections == NUM_PROBE_CONNECTIONS and not source.is_direct
            return Transport(self, name, source, is_for_probes)

        client = StoreClient(STORE_ADDRESS, transport)
        log = EventRecorder()
        node = GatewayNode(
            settings, StateFeedAdapter(client), KeyValueAdapter(client),
            BackEndClientConnector(transport), HeaderCodec(), log, Random(self.seed + number),
            lambda: anyio.current_time() + self.suspended_s.get(name, 0.0),
            FleetOpener(self, name),
        )  # fmt: skip
        node.gossip_task = InMemoryPeers(self, node)
        node.relay_server = IdleTask()
        self.nodes[name] = node
        self.logs[name] = log
        scope = anyio.CancelScope()
        self.scopes[name] = scope
        self.tasks.start_soon(self._run_node, node, scope)
        await anyio.sleep(0.1)
        return node

    async def open(self, name, address):
        """Open a node's direct connection to the store or a back end."""
        return await FleetOpener(self, name).open(address)

    async def _run_node(self, node, scope):
        CURRENT_NODE.set((self, node.settings.name))
        with scope:
            await node.run()

    def can_deliver(self, sender, receiver):
        """Return whether datagrams between two nodes arrive."""
        names = {sender.settings.name, receiver.settings.name}
        if self.datagram_loss and self.datagram_luck.random() < self.datagram_loss:
            return False
        return not names & (self.silent | self.mute)

    def loses_gossip(self):
        """Return whether one message of gossip to a member of a group is lost."""
        return self.gossip_loss > 0.0 and self.datagram_luck.random() < self.gossip_loss

    def is_understood(self, message, *names):
        """Return whether the builds of all these nodes have a type of message."""
        return not (isinstance(message, self.deaf_to) and self.old_builds & set(names))

    def kill(self, name):
        self.scopes[name].cancel()
        del self.nodes[name]

    def freeze(self, name):
        """Freeze a node, as SIGSTOP does: it receives and sends nothing, and messages to it are kept."""
        self.frozen[name] = []

    def suspend(self, name, seconds):
        """Suspend a node's machine: the event loop's clock does not count the time."""
        self.suspended_s[name] = self.suspended_s.get(name, 0.0) + seconds

    async def thaw(self, name):
        """Resume a frozen node; it first receives the messages that were kept for it."""
        backlog = self.frozen.pop(name)
        thawed, self.thawed = self.thawed, anyio.Event()
        thawed.set()
        for message, sender in backlog:
            await self.nodes[name].inbox.receive(message, sender)

    async def wait_while_frozen(self, name):
        while name in self.frozen:
            await self.thawed.wait()

    async def deliver(self, node, message, sender):
        """Deliver a message to a node, or keep it until the frozen node is resumed."""
        name = node.settings.name
        if name in self.frozen:
            self.frozen[name].append((message, sender))
        else:
            await node.inbox.receive(message, sender)

    async def tick(self):
        """Complete due loads of runners, and update their registrations, every `TICK_S`."""
        while True:
            for runner in self.runners:
                version = runner.version
                runner.tick()
                if runner.version != version:
                    self.store.put(f"servers/{runner.instance}", runner.entry())
            await anyio.sleep(TICK_S)


class IdleTask:
    """Replaces the server of relayed connections, which open in memory."""

    async def run(self):
        """Return at once."""


class InMemoryPeers:
    """Replaces the datagram socket: a node's messages arrive at the other nodes at once."""

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node
        self._flush_requested = anyio.Event()

    async def run(self):
        while True:
            await self._fleet.wait_while_frozen(self._node.settings.name)
            self._node.gatherer.gather(True)
            await self.flush()
            with anyio.move_on_after(0.1):
                await self._flush_requested.wait()
            self._flush_requested = anyio.Event()

    def request_flush(self):
        self._flush_requested.set()

    async def flush(self):
        gossip = self._node.outbox.take(with_empty=True)
        division = self._node.peers.division()
        group_peers = set(self._node.relay.group_peers())
        for name, node in list(self._fleet.nodes.items()):
            # Nodes of one group exchange gossip even before they have read the registrations.
            is_peer = name in group_peers or len(division.groups) == 1
            is_lost = {name, self._node.settings.name} & self._fleet.mute
            is_lost = is_lost or self._fleet.loses_gossip()
            if node is not self._node and is_peer and not is_lost:
                await self._fleet.deliver(node, gossip, self._node.settings.peers)
        await self._node.relay.forward_own(gossip)

    async def send(self, message, addresses):
        decoded = decode_message(encode_message(message))
        assert decoded == message, decoded
        await self._fleet.wait_while_frozen(self._node.settings.name)
        own_name = self._node.settings.name
        for address in addresses:
            self._fleet.num_datagrams += 1
            for name, node in list(self._fleet.nodes.items()):
                if node.settings.peers != address or not self._fleet.is_understood(
                    message, own_name, name
                ):
                    continue
                if self._fleet.can_deliver(self._node, node):
                    await self._fleet.deliver(node, decoded, self._node.settings.peers)


async def with_fleet(fleet, body):
    """Run a test body while the fleet's tasks run, and return its result."""
    async with anyio.create_task_group() as tasks:
        fleet.tasks = tasks
        tasks.start_soon(fleet.tick)
        result = await body()
        tasks.cancel_scope.cancel()
    return result


async def ask(
    node,
    path="/a/x",
    method="POST",
    headers=(),
    body=b"hello",
    host="h.example",
    leave_after_s=None,
    on_body_part=None,
    part_delay_s=0.0,
    answer=None,
    http_version="1.1",
):
    """Send one request to a node's application.

    The caller disconnects after `leave_after_s`. `on_body_part` is called for each part of the
    answer's body, and the caller waits `part_delay_s` before it accepts the next part. What arrives
    is added to `answer`, so that it is known even if the call is cancelled.
    """
    answer = answer or Answer()
    began_s = anyio.current_time()
    sent_body = False
    raw_path, _, query = path.partition("?")

    async def receive():
        nonlocal sent_body
        if not sent_body:
            sent_body = True
            return {"type": "http.request", "body": body, "more_body": False}
        await anyio.sleep(3600.0 if leave_after_s is None else leave_after_s)
        return {"type": "http.disconnect"}

    async def send(message):
        if message["type"] == "http.response.start":
            answer.status = message["status"]
            answer.headers = list(message["headers"])
            return
        if on_body_part is not None and message.get("body"):
            on_body_part()
        if message.get("body"):
            answer.last_byte_s = anyio.current_time() - began_s
            answer.first_byte_s = answer.first_byte_s or answer.last_byte_s
        answer.body += message.get("body", b"")
        await anyio.sleep(part_delay_s)
        answer.is_complete = not message.get("more_body", False)

    scope = {
        "type": "http",
        "http_version": http_version,
        "method": method,
        "path": raw_path,
        "raw_path": raw_path.encode(),
        "query_string": query.encode(),
        "headers": [(b"host", host.encode()), *headers],
        "server": (node.settings.callers.host, CALLER_PORT),
    }
    await node.app(scope, receive, send)
    answer.took_s = anyio.current_time() - began_s
    return answer


def request_headers(request_id="q1", **more):
    """Return the header fields of a request of a caller."""
    headers = [(b"x-attempt-id", request_id.encode())]
    return headers + [
        (name.replace("_", "-").encode(), str(value).encode()) for name, value in more.items()
    ]


def generation_headers(request_id="q1", parts="aa:800,bb:200", key=None, tokens="1000,20", **more):
    """Return the header fields of a generation request."""
    headers = request_headers(
        request_id, x_model=MODEL, x_token_usage=tokens, x_prefix_hash=parts, **more
    )
    if key is not None:
        headers.append((b"authorization", f"Bearer {key}".encode()))
    return headers


def route(name, prefix, kind, **more):
    """Return a route in the form that operators write to the store."""
    entry = {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 4000,
        "slo_ms": 800,
        "service": "orders",
        "max_attempts": 2,
        "public": True,
    }
    return entry | more


def configuration(version=1, routes=None, tenants=(), **more):
    """Return a configuration in the form that operators write to the store."""
    default_routes = [
        route("orders", "/o/", "mutating"),
        route("status", "/s/", "idempotent"),
        route("draft", "/a/", "streaming", service="lm", resumable=True, gap_slo_ms=500),
        route("note", "/n/", "streaming", service="lm", max_attempts=1),
        route("fixed", "/f/", "streaming", service="lm", max_attempts=2),
    ]
    entry = {
        "version": version,
        "routes": default_routes if routes is None else routes,
        "services": [
            {"name": "orders", "health_path": "/healthz", "max_conns": 100},
            {
                "name": "lm",
                "health_path": "/healthz",
                "max_conns": 100,
                "engine": {"slots": 4, "kv_capacity": 100_000, "models": [{"name": MODEL}]},
            },
        ],
        "limits": {"max_body_bytes": 100},
        "tenants": list(tenants),
    }
    return entry | more
