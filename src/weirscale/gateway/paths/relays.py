"""What a node and its relay agree on, and the interface that opens connections."""

import enum
from typing import Protocol

from anyio.abc import ByteStream

from weirscale.gateway.model.identifiers import Address
from weirscale.gateway.peers.registrations import RelayPeer


class RelayOutcome(enum.StrEnum):
    """Answer of a relay to the request for a connection."""

    CONNECTED = "connected"
    REFUSED = "refused"
    """The back end refuses connections, and the relay reaches others."""
    UNREACHABLE = "unreachable"
    """The back end does not respond, and the relay reaches others."""
    NO_PATH = "no_path"
    """The relay does not reach the back end, and cannot prove that it reaches any."""
    UNKNOWN = "unknown"
    """The back end is not registered, or the token is wrong."""
    BUSY = "busy"
    """The relay has too many connections, or is stopping."""

    def proves_unreachable(self) -> bool:
        """Return whether the back end cannot be reached, whatever this node's own path."""
        return self in (RelayOutcome.REFUSED, RelayOutcome.UNREACHABLE)


class RelayFailedError(ConnectionError):
    """A relay opened no connection.

    Attributes:
        outcome: The relay's answer.
    """

    def __init__(self, outcome: RelayOutcome) -> None:
        super().__init__(f"the relay answered {outcome.value}; another relay may have a path")
        self.outcome = outcome

    def as_direct_error(self) -> OSError:
        """Return the error that a direct connection would have failed with."""
        if self.outcome is RelayOutcome.REFUSED:
            return ConnectionRefusedError("the back end refuses connections")
        return TimeoutError("the back end does not respond")


class NoRelayError(Exception):
    """No other node relays connections."""


class StreamOpener(Protocol):
    """Opens TCP connections; the caller must limit the time of each call."""

    async def open(self, address: Address) -> ByteStream:
        """Open a direct connection.

        Raises:
            OSError: The connection could not be opened.
        """
        ...

    async def open_through(self, relay: RelayPeer, address: Address) -> ByteStream:
        """Open a connection through another node.

        Raises:
            RelayFailedError: The relay opened no connection.
            OSError: The relay could not be reached.
        """
        ...
