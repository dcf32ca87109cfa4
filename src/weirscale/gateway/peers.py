"""Finds the other nodes by their registrations and exchanges small datagrams with them."""

import contextlib
from collections.abc import Callable, Iterable

import anyio
import cbor2
import msgspec
from anyio.abc import UDPSocket
from result import Err

from weirscale.gateway.knowledge import Knowledge
from weirscale.gateway.peer_messages import (
    LoadingNews,
    LoadNews,
    NamedNews,
    PeerMessage,
    PeerNews,
    SendNews,
    SuspectNews,
    decode_message,
    encode_message,
)
from weirscale.gateway.settings import ListenAddress
from weirscale.node.event_log import EventLog
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

NODE_PREFIX = "weirscale/nodes/"
REGISTRATION_LIFE_S = 6.0
RENEWAL_INTERVAL_S = 2.0
REGISTRATION_RETRY_S = 0.5
CALL_TIMEOUT_S = 1.5
MIN_FLUSH_INTERVAL_S = 0.05
MAX_FLUSH_INTERVAL_S = 1.0
FLUSH_S_A_NODE = 0.005
"""Every node hears from every other: the larger the fleet, the more news goes into one message, so
that a node hears some 200 messages a second up to 200 nodes, and one from each node beyond."""

REFRESH_INTERVAL_S = 1.0
"""All loads are told again this often, which mends losses and shows that the node lives."""

MAX_SENDS_A_MESSAGE = 64
REMEMBERED_PEER_S = 60.0
"""How long a node that left the registrations still counts for shared budgets."""


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """What a node writes about itself."""

    host: str
    port: int


class PeerDirectory:
    """The registered nodes.

    Args:
        name: This node.
        knowledge: Where registrations are read.
        clock: Monotonic seconds.
    """

    def __init__(self, name: str, knowledge: Knowledge, clock: Callable[[], float]) -> None:
        self._name = name
        self._knowledge = knowledge
        self._clock = clock
        self._last_seen_s: dict[str, float] = {}
        self._read: dict[str, tuple[bytes, ListenAddress | None]] = {}
        """Registrations as last read, so that each is decoded once."""

    def addresses(self) -> dict[str, ListenAddress]:
        """Return the other nodes' addresses."""
        found: dict[str, ListenAddress] = {}
        now_s = self._clock()
        for key, value in self._knowledge.records_under(NODE_PREFIX):
            name = key.removeprefix(NODE_PREFIX)
            address = self._address(key, value)
            if address is not None and name != self._name:
                found[name] = address
                self._last_seen_s[name] = now_s
        return found

    def _address(self, key: str, value: bytes) -> ListenAddress | None:
        known = self._read.get(key)
        if known is None or known[0] != value:
            known = self._read[key] = (value, _read_registration(value))
        return known[1]

    def num_nodes(self) -> int:
        """Return how many nodes may share a budget: all seen lately, this one included."""
        self.addresses()
        since_s = self._clock() - REMEMBERED_PEER_S
        return 1 + sum(1 for seen_s in self._last_seen_s.values() if seen_s >= since_s)

    def rank(self) -> int:
        """Return this node's place among the registered ones: who registered last comes first.

        While all nodes restart in turn, those that started last are the last to stop again.
        """
        own = self._knowledge.revision_of(NODE_PREFIX + self._name)
        others = (self._knowledge.revision_of(NODE_PREFIX + name) for name in self.addresses())
        return sum(1 for revision in others if revision > own)


def _read_registration(value: bytes) -> ListenAddress | None:
    try:
        registration = msgspec.convert(cbor2.loads(value), Registration)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError):
        return None
    return ListenAddress(registration.host, registration.port)


class RegistrationTask:
    """Keeps this node's registration under a lease; `run` must be running.

    Args:
        name: This node.
        address: Where its datagrams arrive.
        store: The key-value service.
        event_log: Where losses are told.
    """

    def __init__(
        self, name: str, address: ListenAddress, store: KeyValuePort, event_log: EventLog
    ) -> None:
        self._key = NODE_PREFIX + name
        self._value: bytes = cbor2.dumps([address.host, address.port])
        self._store = store
        self._event_log = event_log
        self._lease_id = 0
        self._is_withdrawn = False

    async def run(self) -> None:
        """Register, and renew until withdrawn or cancelled."""
        while not self._is_withdrawn:
            is_registered = False
            with anyio.move_on_after(CALL_TIMEOUT_S):
                is_registered = await self._step()
            await anyio.sleep(RENEWAL_INTERVAL_S if is_registered else REGISTRATION_RETRY_S)

    async def withdraw(self) -> None:
        """End the registration; best effort."""
        self._is_withdrawn = True
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await self._store.revoke_lease(lease_id)

    async def _step(self) -> bool:
        if self._lease_id:
            return await self._renew()
        granted = await self._store.grant_lease(REGISTRATION_LIFE_S)
        if isinstance(granted, Err):
            return False
        if not await self._write(granted.ok_value):
            return False
        self._lease_id = granted.ok_value
        if self._is_withdrawn:
            await self.withdraw()
        return True

    async def _renew(self) -> bool:
        renewed = await self._store.keep_lease_alive(self._lease_id)
        if not isinstance(renewed, Err):
            return True
        if renewed.err_value.kind is KeyValueFailureKind.LEASE_LOST:
            self._event_log.event("registration_lost", key=self._key, lease=self._lease_id)
            self._lease_id = 0
        return False

    async def _write(self, lease_id: int) -> bool:
        """Write under the lease; an earlier run's registration is taken over."""
        expected_revision = 0
        for _ in range(3):
            swapped = await self._store.compare_and_swap(
                self._key, expected_revision, self._value, lease_id
            )
            if isinstance(swapped, Err):
                return False
            if swapped.ok_value.succeeded:
                return True
            current = swapped.ok_value.current
            expected_revision = current.mod_revision if current else 0
        return False


class MessageReceiver:
    """Takes what peers tell; the node implements it."""

    async def hear(self, message: PeerMessage, sender: ListenAddress) -> None:
        """Take over one message that came from an address."""
        raise NotImplementedError


class NewsOutbox:
    """Gathers what is to be told, until the next message."""

    def __init__(self, sender: str) -> None:
        self._sender = sender
        self._loads: dict[str, LoadNews] = {}
        self._sends: list[SendNews] = []
        self._loading: list[LoadingNews] = []
        self._named: list[NamedNews] = []
        self._suspects: dict[str, SuspectNews] = {}

    def add_load(self, news: LoadNews) -> None:
        """Tell a load; replaces an earlier one."""
        self._loads[news.instance] = news

    def add_send(self, news: SendNews) -> None:
        """Tell a send; the oldest are dropped when there are too many."""
        self._sends.append(news)
        del self._sends[:-MAX_SENDS_A_MESSAGE]

    def add_loading(self, news: LoadingNews) -> None:
        """Tell of a runner that loads weights."""
        self._loading.append(news)

    def add_named(self, news: NamedNews) -> None:
        """Tell how old a named version is."""
        self._named.append(news)

    def add_suspect(self, news: SuspectNews) -> None:
        """Tell of an unreachable back end."""
        self._suspects[news.instance] = news

    def take(self) -> PeerNews | None:
        """Return the message and begin the next; None if there is nothing to tell."""
        news = PeerNews(
            self._sender,
            tuple(self._loads.values()),
            tuple(self._sends),
            tuple(self._loading),
            tuple(self._named),
            tuple(self._suspects.values()),
        )
        if not (news.loads or news.sends or news.loading or news.named or news.suspects):
            return None
        self._loads = {}
        self._sends = []
        self._loading = []
        self._named = []
        self._suspects = {}
        return news


def flush_interval_s(num_nodes: int) -> float:
    """Return the time between a node's messages to all others."""
    return min(MAX_FLUSH_INTERVAL_S, max(MIN_FLUSH_INTERVAL_S, FLUSH_S_A_NODE * num_nodes))


class PeerTask:
    """Owns the datagram socket; `run` must be running.

    Args:
        address: Where to listen.
        directory: The other nodes.
        outbox: What is to be told.
        receiver: Who takes what others tell.
        gather: Puts what has changed into the outbox; told whether to refresh everything.
    """

    def __init__(
        self,
        address: ListenAddress,
        directory: PeerDirectory,
        outbox: NewsOutbox,
        receiver: MessageReceiver,
        gather: Callable[[bool], None],
    ) -> None:
        self._address = address
        self._directory = directory
        self._outbox = outbox
        self._receiver = receiver
        self._gather = gather
        self._socket: UDPSocket | None = None
        self._sending = anyio.Lock()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        async with await anyio.create_udp_socket(
            local_host=self._address.host, local_port=self._address.port
        ) as socket:
            self._socket = socket
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive, socket)
                await self._flush_regularly()

    async def _receive(self, socket: UDPSocket) -> None:
        async for datagram, (host, port) in socket:
            message = decode_message(datagram)
            if message is not None:
                await self._receiver.hear(message, ListenAddress(host, port))

    async def _flush_regularly(self) -> None:
        refreshed_at_s = 0.0
        while True:
            now_s = anyio.current_time()
            must_refresh = now_s - refreshed_at_s >= REFRESH_INTERVAL_S
            if must_refresh:
                refreshed_at_s = now_s
            self._gather(must_refresh)
            await self.flush()
            await anyio.sleep(flush_interval_s(self._directory.num_nodes()))

    async def flush(self) -> None:
        """Send what there is to tell, now."""
        news = self._outbox.take()
        if news is not None:
            await self._send_to_all(news, self._directory.addresses().values())

    async def send(self, message: PeerMessage, address: ListenAddress) -> None:
        """Send a message to one node; it may be lost."""
        await self._send_to_all(message, (address,))

    async def _send_to_all(self, message: PeerMessage, addresses: Iterable[ListenAddress]) -> None:
        socket = self._socket
        if socket is None:
            return
        datagram = encode_message(message)
        # Several tasks send; the socket takes one sender at a time.
        async with self._sending:
            for address in addresses:
                await _send_to(socket, datagram, address)


async def _send_to(socket: UDPSocket, datagram: bytes, address: ListenAddress) -> None:
    """Send a datagram; a peer that cannot be reached misses it."""
    with contextlib.suppress(OSError):
        await socket.sendto(datagram, address.host, address.port)
