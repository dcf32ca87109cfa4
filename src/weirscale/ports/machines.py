"""Interface to the platform's list of machines, which may lag. Adapter: `machines_http`."""

from typing import Protocol

import msgspec
from result import Result


class Machine(msgspec.Struct, frozen=True):
    """One machine of the list.

    Attributes:
        host: IP address, or host:port if several back ends share a host.
        is_leaving: Whether the platform will remove the machine soon.
    """

    host: str
    is_leaving: bool


class MachineListFailure(msgspec.Struct, frozen=True):
    """The list could not be read; the caller continues with the last list and its own probes."""

    detail: str


class MachineListPort(Protocol):
    """Operations of the machine list."""

    async def machines(self) -> Result[tuple[Machine, ...], MachineListFailure]:
        """Read the list, which may be several seconds old."""
        ...
