"""What the processes of the control-cost measurement share."""

import enum
import resource
import sys

import anyio.to_thread
import msgspec

from bench.setup import ServerAddress, announce

__all__ = [
    "FleetPlan",
    "NodeFigures",
    "NodeRole",
    "ServerAddress",
    "announce",
    "node_address",
    "resident_bytes",
    "wait_for_end_of_input",
]

FIRST_PORT = 11_000


class NodeRole(enum.Enum):
    """What a process runs."""

    PLATFORM = "platform"
    WHOLE = "whole"
    MEMBERS = "members"


class FleetPlan(msgspec.Struct, frozen=True):
    """One measurement.

    Attributes:
        num_engines: Declared engines.
        num_blocks: Blocks of each engine's cache.
        apply_after_s: Time until the deployment is applied, for the fleet to form.
        settle_s: Time from a configuration to the measurement.
        quiet_s: Length of the measurement.
        key_value: Address of the key-value stand-in.
    """

    num_engines: int
    num_blocks: int
    apply_after_s: float
    settle_s: float
    quiet_s: float
    key_value: str = ""


class NodeFigures(msgspec.Struct, frozen=True):
    """What one whole node in a process of its own cost.

    Attributes:
        resident_at_start: Resident bytes after imports, before the node was made.
        resident_bytes: The same when it had settled.
        cpu_share: Processor time it took a second.
        bytes_per_s_by_type: Sent and received, with UDP and IP headers.
        num_peers: Nodes that it saw.
        num_homes: Engines that it was home of.
        load_polls_per_s: Load reports that it asked for; not over HTTP here.
    """

    resident_at_start: int
    resident_bytes: int
    cpu_share: float
    bytes_per_s_by_type: dict[str, float]
    num_peers: int
    num_homes: int
    load_polls_per_s: float


def node_address(plan: FleetPlan, number: int) -> tuple[str, int]:
    """Return host and peer port of a node of the fleet."""
    return "127.0.0.1", FIRST_PORT + number


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


async def wait_for_end_of_input() -> None:
    """Wait until the parent closes the pipe."""
    await anyio.to_thread.run_sync(sys.stdin.read)
