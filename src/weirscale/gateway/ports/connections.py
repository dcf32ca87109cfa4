"""Interface that opens the network connections of back ends' clients."""

from typing import Protocol

from anyio.abc import ByteStream

from weirscale.gateway.model.identifiers import Address


class PathUnknownError(ConnectionError):
    """No connection was opened, and nothing proves whether the back end or its path failed."""


class BackEndDialer(Protocol):
    """Opens connections to back ends."""

    async def open(self, address: Address) -> ByteStream:
        """Open a connection, through another node if the direct path is lost.

        Raises:
            OSError: No connection was opened.
        """
        ...

    async def open_directly(self, address: Address) -> ByteStream:
        """Open a direct connection, or none.

        Raises:
            OSError: No connection was opened.
        """
        ...

    def generation(self, address: Address) -> int:
        """Return a number that changes when idle connections must not be used any more."""
        ...
