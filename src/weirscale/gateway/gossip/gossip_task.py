"""Sends this node's gossip to its group, and receives the messages of other nodes.

Owns the datagram socket. Runs on the ticks that all tasks share (`gateway.ticks`).
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
from weirscale.ports.unexpected_errors import UnexpectedErrors

MIN_FLUSH_INTERVAL_S = 0.01
"""Seconds between two messages, at least, including requested ones. Later changes wait for the next
regular message. Limits the number of datagrams in a burst."""

TICK_TOLERANCE_S = 0.001
"""Seconds. A tick that is due within this time counts as due now, since a timer may fire slightly
early by rounding."""


class GossipTask:
    """Owns the datagram socket; requires `run` to be running.

    Args:
        address: Address to listen on.
        directory: The registered nodes.
        relay: Provides this node's group and forwards gossip to other groups.
        outbox: Next message to the group.
        receiver: Handles the messages of other nodes.
        gather: Adds the changed values to the outbox, or all values if its argument is true.
        errors: Reports unexpected errors of single messages.
    """

    def __init__(
        self,
        address: ListenAddress,
        directory: PeerDirectory,
        relay: GroupRelay,
        outbox: GossipOutbox,
        receiver: MessageReceiver,
        gather: Callable[[bool], None],
        errors: UnexpectedErrors,
    ) -> None:
        self._address = address
        self._directory = directory
        self._relay = relay
        self._outbox = outbox
        self._receiver = receiver
        self._gather = gather
        self._errors = errors
        self._socket: DatagramSocket | None = None
        self._flush_requested = anyio.Event()
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
                with anyio.CancelScope(
                    deadline=next_tick_s(anyio.current_time() + TICK_TOLERANCE_S)
                ):
                    await self._flush_requested.wait()
        finally:
            socket.close()

    async def _receive(self, socket: DatagramSocket) -> None:
        for datagram, sender in socket.receive():
            try:
                message = decode_message(datagram)
                if message is not None:
                    await self._receiver.receive(message, sender)
            except Exception as error:
                self._errors.report("peer_message", sender.host, error)

    def _is_flush_due(self) -> bool:
        """Return whether to send now: the interval has passed, or a flush was requested.

        If so, start the next interval.
        """
        now_s = anyio.current_time()
        if not self._flush_requested.is_set() and now_s + TICK_TOLERANCE_S < self._flush_due_s:
            return False
        self._flush_requested = anyio.Event()
        self._flushed_at_s = now_s
        self._flush_due_s = nearest_tick_s(now_s + self._relay.interval_s())
        return True

    def request_flush(self) -> None:
        """Send the next message immediately, unless one was sent within `MIN_FLUSH_INTERVAL_S`."""
        if anyio.current_time() >= self._flushed_at_s + MIN_FLUSH_INTERVAL_S:
            self._flush_requested.set()

    async def flush(self, is_heartbeat: bool = False) -> None:
        """Send the contents of the outbox to this node's group now.

        Args:
            is_heartbeat: Whether to send the message even if it is empty.
        """
        gossip = self._outbox.take(with_empty=is_heartbeat)
        if gossip is None:
            return
        addresses = self._directory.group_addresses()
        await self.send(gossip, [addresses[name] for name in self._relay.group_peers()])
        await self._relay.forward_own(gossip)

    async def send(self, message: PeerMessage, addresses: Iterable[ListenAddress]) -> None:
        """Send a message to some nodes; delivery is not guaranteed."""
        socket = self._socket
        if socket is None:
            return
        datagram = encode_message(message)
        for address in addresses:
            socket.send(datagram, address)
