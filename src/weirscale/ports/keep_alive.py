"""Socket options that end connections to machines that have no power or are cut off.

Such a machine sends nothing: its connections end after 4 s. A process that is silent for 2 s keeps
them, whether bytes are on their way or not.
"""

import socket

from anyio.abc import SocketStream

from weirscale.ports.h11_connection import raw_socket

IDLE_S = 1
"""Seconds without traffic after which the kernel probes a connection."""

INTERVAL_S = 1
"""Seconds between two probes."""

NUM_PROBES = 3
"""Unanswered probes after which a connection ends."""

USER_TIMEOUT_MS = 1000 * (IDLE_S + NUM_PROBES * INTERVAL_S)
"""Milliseconds for which sent bytes may stay unacknowledged. Where this option is set, Linux also
ends a connection by it, whatever the number of probes, so it must not be shorter than these."""

KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, NUM_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
"""Arguments of `socket.setsockopt`."""


def keep_alive(stream: SocketStream) -> SocketStream:
    """Set the options on a connection, and return it.

    Raises:
        OSError: The connection has ended already.
    """
    raw = raw_socket(stream)
    for option in KEEP_ALIVE_OPTIONS:
        raw.setsockopt(*option)
    return stream
