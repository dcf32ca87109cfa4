"""UDP socket for messages between nodes.

A node receives about 50 datagrams a second and sends as many. With anyio's own socket, each of them
wakes the process and costs a lock, a guard and an iteration of the event loop. Here, received
datagrams are read in a batch at the next tick, and outgoing ones are sent immediately.
"""

import socket

from weirscale.gateway.settings import ListenAddress

MAX_DATAGRAM_BYTES = 65_535
"""Maximum size of a UDP datagram over IPv4."""

MAX_BATCH = 256
"""Maximum number of datagrams read at once; the kernel queues the rest until the next read."""

Datagram = tuple[bytes, ListenAddress]
"""A datagram's data and the address of its sender."""


class DatagramSocket:
    """Sends and receives datagrams.

    Args:
        address: Where to listen.

    Raises:
        OSError: The address cannot be bound.
    """

    def __init__(self, address: ListenAddress) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address.host, address.port))

    def send(self, data: bytes, address: ListenAddress) -> None:
        """Send a datagram; it is lost if the link is saturated or nothing listens there."""
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            # The datagram counts as lost in transit; senders that need an answer ask again.
            return

    def receive(self) -> list[Datagram]:
        """Return the datagrams that have arrived."""
        datagrams: list[Datagram] = []
        while len(datagrams) < MAX_BATCH:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # No datagram is left, or an earlier one could not be delivered.
                break
            datagrams.append((data, ListenAddress(host, port)))
        return datagrams

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
