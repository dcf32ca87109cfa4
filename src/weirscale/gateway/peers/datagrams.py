"""The socket for datagrams between nodes.

A node receives some fifty datagrams a second and sends as many. Through anyio's own socket each of
them wakes the process and costs a lock, a guard and a turn of the event loop; here what has arrived
is read at the next tick, and what is sent goes out at once.
"""

import socket

from weirscale.gateway.settings import ListenAddress

MAX_DATAGRAM_BYTES = 65_535
"""Largest datagram of UDP over IPv4."""

MAX_BATCH = 256
"""Datagrams read in one turn; the kernel keeps the rest until the next. Not measured."""

Datagram = tuple[bytes, ListenAddress]
"""What arrived, and from where."""


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
        """Send a datagram; one that does not fit the link now, or reaches nobody, is lost."""
        try:
            self._socket.sendto(data, (address.host, address.port))
        except OSError:
            # As lost as any datagram on the way: whoever needs an answer asks again.
            return

    def receive(self) -> list[Datagram]:
        """Return the datagrams that have arrived."""
        datagrams: list[Datagram] = []
        while len(datagrams) < MAX_BATCH:
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                # Nothing waits any more, or an earlier datagram reached nobody.
                break
            datagrams.append((data, ListenAddress(host, port)))
        return datagrams

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
