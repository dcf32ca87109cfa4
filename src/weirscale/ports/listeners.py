"""Listening sockets; imports only `socket`, so that a process can listen right after its start."""

import socket

LISTEN_BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket; port 0 binds any free port, which `port_of` returns.

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
    """Return the port to which a listener is bound."""
    port: int = listener.getsockname()[1]
    return port
