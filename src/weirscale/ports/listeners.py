"""Listening sockets; imports nothing but `socket`, so that a process can listen before all else."""

import socket

LISTEN_BACKLOG = 1024
"""Connections that wait for the process to accept them."""


def open_listener(host: str, port: int) -> socket.socket:
    """Bind a TCP port (0: any free one) and listen, so that its number is known at once.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a listener is bound to."""
    port: int = listener.getsockname()[1]
    return port
