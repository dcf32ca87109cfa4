"""Who a node is, and everything outside it as ports."""

import time
from collections.abc import Callable

import msgspec

from weirscale.domain.configuration.model import Engine, ServiceBackend
from weirscale.domain.identifiers import NodeAddress, NodeId, ZoneName
from weirscale.ports.engine import EnginePort
from weirscale.ports.key_value import KeyValuePort
from weirscale.ports.machines import MachineListPort
from weirscale.ports.peers import PeerNetwork
from weirscale.ports.service import ServicePort

NANOSECONDS_PER_MS = 1_000_000


def _wall_clock_ms() -> int:
    return time.time_ns() // NANOSECONDS_PER_MS


class NodeIdentity(msgspec.Struct, frozen=True):
    """Who a node is.

    Attributes:
        node: Name and incarnation of this run.
        zone: Its zone.
        address: Its peer address, as others reach it.
        seeds: Peer addresses to join by.
    """

    node: NodeId
    zone: ZoneName
    address: NodeAddress
    seeds: tuple[NodeAddress, ...] = ()


class NodePorts(msgspec.Struct, frozen=True):
    """Everything outside a node.

    Attributes:
        network: Reaches other nodes; run by whoever made it.
        key_value: The platform's key-value service.
        machines: The platform's machine list, or None.
        make_engine_port: Makes the port of a declared engine.
        make_service_port: Makes the port of a declared service back end.
        epoch_ms: Milliseconds since the epoch, never falling from one run to the next.
    """

    network: PeerNetwork
    key_value: KeyValuePort
    machines: MachineListPort | None
    make_engine_port: Callable[[Engine], EnginePort]
    make_service_port: Callable[[ServiceBackend], ServicePort]
    epoch_ms: Callable[[], int] = _wall_clock_ms
