"""How long connections of clients may be unused."""

import msgspec

KEEP_ALIVE_S = 75.0
"""Longer than clients keep idle connections, so that the client closes them."""

HEAD_S = 75.0
"""Longest that the head of a request may take where nothing else is configured."""

SILENCE_S = 3660.0
"""A minute more than the longest deadline of a caller. The only limit for a client that opens
HTTP/2 and then sends nothing: the server counts such a connection as busy."""


class ConnectionLimits(msgspec.Struct):
    """How long connections may be unused; may be changed while the server runs.

    A longer time holds for connections that are unused already, a shorter one from their next use
    on: a client that counts on the longer one is not cut off.

    Attributes:
        keep_alive_s: Time without a whole request head while nothing else runs.
        silence_s: Time without a byte from the client, also while it waits for an answer.
        head_s: Time from the first byte of a request's head to its last one.
    """

    keep_alive_s: float = KEEP_ALIVE_S
    silence_s: float = SILENCE_S
    head_s: float = HEAD_S
