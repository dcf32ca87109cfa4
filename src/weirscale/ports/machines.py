"""Interface to the platform's lagging list of machines. Adapter: `machines_http`."""

from typing import Protocol

import msgspec
from result import Result


class Machine(msgspec.Struct, frozen=True):
    """One machine of the list.

    Attributes:
        host: Its IP number, or host:port where several back ends share a host.
        is_leaving: Whether the platform is about to take it away.
    """

    host: str
    is_leaving: bool


class MachineListFailure(msgspec.Struct, frozen=True):
    """The list could not be read; go on with the last one and with own probes."""

    detail: str


class MachineListPort(Protocol):
    """What a node can ask of the machine list."""

    async def machines(self) -> Result[tuple[Machine, ...], MachineListFailure]:
        """Read the list; it may be seconds old."""
        ...
