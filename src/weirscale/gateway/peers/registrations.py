"""Registers this node in the store, and discovers the other nodes from their registrations."""

from collections.abc import Awaitable, Callable
from typing import Annotated

import anyio
import cbor2
import msgspec
from result import Err

from weirscale.domain.identifiers import ZoneName
from weirscale.gateway.model.addresses import MAX_PORT, read_ipv4_host
from weirscale.gateway.peers.groups import Division, Member, divide
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

NODE_PREFIX = "weirscale/nodes/"
REGISTRATION_LIFE_S = 6.0
"""Lease duration of a registration in seconds; long enough for some renewals to fail."""

RENEWAL_INTERVAL_S = 2.0
"""Seconds between two renewals."""

REGISTRATION_RETRY_S = 0.5
"""Seconds until a failed registration or renewal is retried."""

CALL_TIMEOUT_S = 1.5
"""Timeout in seconds of registering, renewing or withdrawing."""

MAX_SWAP_ATTEMPTS = 3
"""Number of attempts to overwrite a registration of an earlier run, which may change in the
meantime."""

GROUP_RETENTION_S = 20.0
"""Seconds for which a node whose registration ended keeps its place in the groups, because most
such nodes return. Nodes receive a change at different times, and while their divisions differ, they
do not receive each other's gossip. A partition that cuts off a third of the fleet must therefore
not change the division. The head of a group is determined by received gossip, not by registrations
(docs/DECISIONS.md, T3)."""

MAX_CAPACITY = 2**31
"""Higher capacities are no node's; sums of them still fit into 64 bits."""

BUDGET_RETENTION_S = 60.0
"""Seconds for which a node whose registration ended still counts for shared budgets."""


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """A node's entry in the store: an array, whose order of fields is part of the format."""

    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    zone: str = ""
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)] = 0
    relay_token: str = ""
    """Must accompany requests to relay connections; empty if the node relays none."""


class RelayPeer(msgspec.Struct, frozen=True):
    """Another node that relays connections.

    Attributes:
        name: Name of the node.
        address: Where it accepts connections of other nodes.
        zone: Its zone.
        token: The token in its registration.
    """

    name: str
    address: ListenAddress
    zone: ZoneName
    token: str


class PeerDirectory:
    """Lists the registered nodes and their division into groups.

    Args:
        name: Name of this node.
        cluster: The state that contains the registrations.
        clock: Monotonic seconds.
        zone: This node's zone.
        capacity: This node's capacity, as registered.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterState,
        clock: Callable[[], float],
        zone: ZoneName | None = None,
        capacity: int = 0,
    ) -> None:
        self._own = Member(name, zone or ZoneName(""), capacity)
        self._cluster = cluster
        self._clock = clock
        self._left_at_s: dict[str, float] = {}
        self._read_at_change = -1
        self._registrations: dict[str, Registration] = {}
        self._addresses: dict[str, ListenAddress] = {}
        self._departed: dict[str, Registration] = {}
        """Nodes whose registrations ended and that still have a place in the groups."""
        self._next_expiry_s = 0.0
        self._group_addresses: dict[str, ListenAddress] = {}
        self._division = divide((self._own,))

    def addresses(self) -> dict[str, ListenAddress]:
        """Return the other registered nodes' addresses."""
        self._read_changes()
        return self._addresses

    def relays(self) -> list[RelayPeer]:
        """Return the other registered nodes that relay connections."""
        self._read_changes()
        return [
            RelayPeer(
                name,
                ListenAddress(registration.host, registration.port),
                ZoneName(registration.zone),
                registration.relay_token,
            )
            for name, registration in self._registrations.items()
            if registration.relay_token
        ]

    def group_addresses(self) -> dict[str, ListenAddress]:
        """Return the addresses of all nodes that have a place in the groups."""
        self._read_changes()
        return self._group_addresses

    def division(self) -> Division:
        """Return the groups of all nodes registered now or recently, including this one."""
        self._read_changes()
        return self._division

    def members(self) -> list[Member]:
        """Return all registered nodes, including this one."""
        self._read_changes()
        return [self._own, *self._others()]

    def _others(self) -> list[Member]:
        return [_member(name, registration) for name, registration in self._registrations.items()]

    def _read_changes(self) -> None:
        """Read the registrations again if any record has changed."""
        if self._cluster.records.num_changes == self._read_at_change:
            self._forget_departed()
            return
        self._read_at_change = self._cluster.records.num_changes
        current: dict[str, Registration] = {}
        for key, value in self._cluster.records.under(NODE_PREFIX):
            registration = _read_registration(value)
            if registration is not None:
                current[key.removeprefix(NODE_PREFIX)] = registration
        current.pop(self._own.name, None)
        if current == self._registrations:
            return
        now_s = self._clock()
        ended = {
            name: registration
            for name, registration in self._registrations.items()
            if name not in current
        }
        self._left_at_s.update(dict.fromkeys(ended, now_s))
        self._departed.update(ended)
        for name in current:
            self._left_at_s.pop(name, None)
            self._departed.pop(name, None)
        self._registrations = current
        self._addresses = _addresses(current)
        self._divide()

    def _forget_departed(self) -> None:
        """Remove nodes from the groups that have not registered again in time."""
        if not self._departed or self._clock() < self._next_expiry_s:
            return
        since_s = self._clock() - GROUP_RETENTION_S
        for name in [name for name in self._departed if self._left_at_s[name] <= since_s]:
            del self._departed[name]
        self._divide()

    def _divide(self) -> None:
        grouped = self._registrations | self._departed
        first_left_s = min((self._left_at_s[name] for name in self._departed), default=0.0)
        self._next_expiry_s = first_left_s + GROUP_RETENTION_S
        self._group_addresses = _addresses(grouped)
        division = divide(
            [self._own, *(_member(name, registration) for name, registration in grouped.items())]
        )
        if division != self._division:
            self._division = division

    def num_nodes(self, retention_s: float = BUDGET_RETENTION_S) -> int:
        """Return how many nodes may share a budget: all seen recently, including this one.

        Args:
            retention_s: Seconds for which a node still counts after its registration ended.
        """
        self._read_changes()
        since_s = self._clock() - retention_s
        num_left = sum(1 for left_at_s in self._left_at_s.values() if left_at_s >= since_s)
        return 1 + len(self._registrations) + num_left

    def rank(self) -> int:
        """Return this node's rank among the registered nodes; the latest registration has rank 0.

        During a rolling restart, the nodes that started last are the last to stop again.
        """
        own = self._cluster.revision_of(NODE_PREFIX + self._own.name)
        others = (self._cluster.revision_of(NODE_PREFIX + name) for name in self.addresses())
        return sum(1 for revision in others if revision > own)


def _member(name: str, registration: Registration) -> Member:
    return Member(name, ZoneName(registration.zone), registration.capacity)


def _addresses(registrations: dict[str, Registration]) -> dict[str, ListenAddress]:
    return {
        name: ListenAddress(registration.host, registration.port)
        for name, registration in registrations.items()
    }


def _read_registration(value: bytes) -> Registration | None:
    try:
        registration = msgspec.convert(cbor2.loads(value), Registration)
        # Sockets between nodes are IPv4. A name would be looked up while everything waits.
        read_ipv4_host(registration.host)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError):
        # A node with an unreadable registration is ignored, as if it were not registered. This runs
        # at each change of the records, so logging it each time would flood the log.
        return None
    return registration


class RegistrationTask:
    """Maintains this node's registration under a lease, while `run` is running.

    Args:
        name: Name of this node.
        registration: The entry to write.
        store: The key-value service.
        event_log: Receives an event when the registration is lost.
        write_records: Writes what else is due; called after each renewal.
    """

    def __init__(
        self,
        name: str,
        registration: Registration,
        store: KeyValuePort,
        event_log: EventLog,
        write_records: Callable[[], Awaitable[None]],
    ) -> None:
        self._key = NODE_PREFIX + name
        self._value: bytes = cbor2.dumps(msgspec.to_builtins(registration))
        self._store = store
        self._event_log = event_log
        self._write_records = write_records
        self._lease_id = 0
        self._is_withdrawn = False

    async def run(self) -> None:
        """Register, and renew the registration until it is withdrawn or the task is cancelled."""
        while not self._is_withdrawn:
            is_registered = False
            with anyio.move_on_after(CALL_TIMEOUT_S):
                is_registered = await self._step()
            await sleep_to_tick(RENEWAL_INTERVAL_S if is_registered else REGISTRATION_RETRY_S)

    async def withdraw(self) -> None:
        """End the registration, without a guarantee that the store receives it."""
        self._is_withdrawn = True
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            with anyio.move_on_after(CALL_TIMEOUT_S):
                await self._store.revoke_lease(lease_id)

    async def _step(self) -> bool:
        if self._lease_id:
            return await self._renew()
        granted = await self._store.grant_lease(REGISTRATION_LIFE_S)
        if isinstance(granted, Err):
            # No lease was granted; `run` retries.
            return False
        if not await self._write(granted.ok_value):
            return False
        self._lease_id = granted.ok_value
        if self._is_withdrawn:
            await self.withdraw()
        return True

    async def _renew(self) -> bool:
        renewed = await self._store.keep_lease_alive(self._lease_id)
        if not isinstance(renewed, Err):
            await self._write_records()
            return True
        if renewed.err_value.kind is KeyValueFailureKind.LEASE_LOST:
            self._event_log.event("registration_lost", key=self._key, lease=self._lease_id)
            self._lease_id = 0
        return False

    async def _write(self, lease_id: int) -> bool:
        """Write the registration under the lease, replacing that of an earlier run."""
        expected_revision = 0
        for _ in range(MAX_SWAP_ATTEMPTS):
            swapped = await self._store.compare_and_swap(
                self._key, expected_revision, self._value, lease_id
            )
            if isinstance(swapped, Err):
                return False
            if swapped.ok_value.succeeded:
                return True
            current = swapped.ok_value.current
            expected_revision = current.mod_revision if current else 0
        return False
