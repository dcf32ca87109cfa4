"""Lost network paths between nodes and back ends, while everything else is reached."""

import enum

import anyio
import httpx

DEAD_CONNECTION_S = 4.0
"""Seconds until the kernel ends a connection whose other end is silent."""


class PathLoss(enum.Enum):
    """How a lost path shows."""

    SILENT = "silent"
    """Nothing arrives any more, and no connection opens."""
    RESET = "reset"
    """Open connections are reset, and new ones are refused."""
    REFUSED = "refused"
    """Open connections live on, and new ones are refused."""


class LostPaths:
    """The paths that are lost now, by node and address of the back end."""

    def __init__(self):
        self._losses = {}

    def lose(self, node, address, loss):
        self._losses[node, address] = loss

    def restore(self, node, address):
        self._losses.pop((node, address), None)

    def loss(self, node, address):
        """Return how the path is lost; None if it is not."""
        return self._losses.get((node, address))

    async def check_new(self, node, address):
        """Raise the error with which a new connection fails if the path is lost."""
        loss = self.loss(node, address)
        if loss is PathLoss.SILENT:
            await anyio.sleep_forever()
        if loss is not None:
            raise ConnectionRefusedError

    async def check_open(self, node, address):
        """Raise the error with which an open connection ends if the path is lost."""
        loss = self.loss(node, address)
        if loss is PathLoss.SILENT:
            await anyio.sleep(DEAD_CONNECTION_S)
            raise httpx.ReadError("no path")
        if loss is PathLoss.RESET:
            raise httpx.ReadError("reset")
