"""A node's identity, and the ports to everything outside the node."""

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
    """Identity of a node.

    Attributes:
        node: Name and incarnation of this run.
        zone: Zone of the node.
        address: Peer address at which other nodes reach it.
        seeds: Peer addresses of the nodes through which it joins.
    """

    node: NodeId
    zone: ZoneName
    address: NodeAddress
    seeds: tuple[NodeAddress, ...] = ()


class NodePorts(msgspec.Struct, frozen=True):
    """Ports to everything outside a node.

    Attributes:
        network: Connects to other nodes; its creator must run it.
        key_value: The platform's key-value service.
        machines: The platform's machine list, or None if there is none.
        make_engine_port: Creates the port of a declared engine.
        make_service_port: Creates the port of a declared service back end.
        epoch_ms: Returns the milliseconds since the epoch; never decreases between runs.
    """

    network: PeerNetwork
    key_value: KeyValuePort
    machines: MachineListPort | None
    make_engine_port: Callable[[Engine], EnginePort]
    make_service_port: Callable[[ServiceBackend], ServicePort]
    epoch_ms: Callable[[], int] = _wall_clock_ms
