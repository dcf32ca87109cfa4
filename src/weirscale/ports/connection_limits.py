"""Time limits on the connections of clients."""

import msgspec

KEEP_ALIVE_S = 75.0
"""Longer than clients keep idle connections, so that the client closes the connection first."""

HEAD_TIMEOUT_S = 75.0
"""Default time limit for receiving the head of a request."""

RECEIVE_TIMEOUT_S = 3660.0
"""One minute more than the longest deadline of a caller. This is the only limit for a client that
opens an HTTP/2 connection and then sends nothing: the server counts the connection as busy."""


class ConnectionLimits(msgspec.Struct):
    """Time limits on connections; they may be changed while the server runs.

    A longer `keep_alive_s` also applies to connections that are already idle. A shorter one applies
    from their next use on, so that a client that relies on the longer time is not cut off.

    Attributes:
        keep_alive_s: Time without a complete request head while no request runs.
        silence_s: Time without a byte from the client, even while it waits for an answer.
        head_s: Time from the first byte of a request's head to its last byte.
        finish_s: How long open requests may continue after a stop; None for the time with which the
            server was started.
    """

    keep_alive_s: float = KEEP_ALIVE_S
    silence_s: float = RECEIVE_TIMEOUT_S
    head_s: float = HEAD_TIMEOUT_S
    finish_s: float | None = None
