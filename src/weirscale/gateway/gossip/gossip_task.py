"""Sends this node's gossip to its group, and receives what other nodes send.

Owns the datagram socket. Work is done on the ticks that all tasks share (`gateway.ticks`).
"""

from collections.abc import Callable, Iterable

import anyio

from weirscale.gateway.gossip.group_relay import GroupRelay
from weirscale.gateway.gossip.inbox import MessageReceiver
from weirscale.gateway.gossip.intervals import RefreshTimer
from weirscale.gateway.peers.datagrams import DatagramSocket
from weirscale.gateway.peers.heartbeat import HEARTBEAT_INTERVAL_S
from weirscale.gateway.peers.messages import PeerMessage, decode_message, encode_message
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.ticks import nearest_tick_s, next_tick_s

MIN_PAUSE_S = 0.01
"""Seconds between two messages, also hurried ones; what comes in between goes with the next regular
one. Bounds the datagrams of a burst; not measured."""

MIN_WAIT_S = 0.001
"""Seconds; a tick nearer than this counts as the present one, which a timer may miss by rounding.
Not measured."""


class GossipTask:
    """Owns the datagram socket; `run` must be running.

    Args:
        address: Where to listen.
        directory: The other nodes.
        relay: This node's group, and what goes beyond it.
        outbox: What is to be sent to the group.
        receiver: Takes the messages of other nodes.
        gather: Puts what has changed into the outbox, or everything if its argument is true.
    """

    def __init__(
        self,
        address: ListenAddress,
        directory: PeerDirectory,
        relay: GroupRelay,
        outbox: GossipOutbox,
        receiver: MessageReceiver,
        gather: Callable[[bool], None],
    ) -> None:
        self._address = address
        self._directory = directory
        self._relay = relay
        self._outbox = outbox
        self._receiver = receiver
        self._gather = gather
        self._socket: DatagramSocket | None = None
        self._hurried = anyio.Event()
        self._flush_due_s = float("-inf")
        self._flushed_at_s = float("-inf")

    async def run(self) -> None:
        """Send and receive until cancelled."""
        socket = self._socket = DatagramSocket(self._address)
        refresh, heartbeat = RefreshTimer(), RefreshTimer(HEARTBEAT_INTERVAL_S)
        try:
            while True:
                await self._receive(socket)
                if self._is_flush_due():
                    must_refresh = refresh.is_due(anyio.current_time())
                    self._gather(must_refresh)
                    await self.flush(
                        is_heartbeat=must_refresh or self._relay.is_heartbeat_due(heartbeat)
                    )
                with anyio.CancelScope(deadline=next_tick_s(anyio.current_time() + MIN_WAIT_S)):
                    await self._hurried.wait()
        finally:
            socket.close()

    async def _receive(self, socket: DatagramSocket) -> None:
        for datagram, sender in socket.receive():
            message = decode_message(datagram)
            if message is not None:
                await self._receiver.receive(message, sender)

    def _is_flush_due(self) -> bool:
        """Whether to send now: an interval has passed, or a hurried change waits."""
        now_s = anyio.current_time()
        if not self._hurried.is_set() and now_s + MIN_WAIT_S < self._flush_due_s:
            return False
        self._hurried = anyio.Event()
        self._flushed_at_s = now_s
        self._flush_due_s = nearest_tick_s(now_s + self._relay.interval_s())
        return True

    def request_flush(self) -> None:
        """Have the next message go out at once, unless one has just gone out."""
        if anyio.current_time() >= self._flushed_at_s + MIN_PAUSE_S:
            self._hurried.set()

    async def flush(self, is_heartbeat: bool = False) -> None:
        """Send this node's group what has gathered, now.

        Args:
            is_heartbeat: Whether to send a message also if it is empty.
        """
        gossip = self._outbox.take(with_empty=is_heartbeat)
        if gossip is None:
            return
        addresses = self._directory.group_addresses()
        await self.send(gossip, [addresses[name] for name in self._relay.group_peers()])
        await self._relay.forward_own(gossip)

    async def send(self, message: PeerMessage, addresses: Iterable[ListenAddress]) -> None:
        """Send a message to some nodes; any of them may miss it."""
        socket = self._socket
        if socket is None:
            return
        datagram = encode_message(message)
        for address in addresses:
            socket.send(datagram, address)
