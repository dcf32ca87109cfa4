"""Registers this node in the store, and finds the other nodes by their registrations."""

from collections.abc import Callable

import anyio
import cbor2
import msgspec
from result import Err

from weirscale.domain.identifiers import ZoneName
from weirscale.gateway.peers.groups import Division, Member, divide
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

NODE_PREFIX = "weirscale/nodes/"
REGISTRATION_LIFE_S = 6.0
"""Seconds that a registration lasts without renewal: some renewals may fail. Not measured."""

RENEWAL_INTERVAL_S = 2.0
"""Seconds between two renewals. Not measured."""

REGISTRATION_RETRY_S = 0.5
"""Seconds until a failed registration or renewal is tried again. Not measured."""

CALL_TIMEOUT_S = 1.5
"""Seconds that a registration, a renewal or its end may take. Not measured."""

NUM_SWAPS = 3
"""Attempts to write over an earlier run's registration, which may change meanwhile. Not
measured."""

DIVISION_MEMORY_S = 20.0
"""Seconds for which a node that left the registrations keeps its place in the groups: most come
back. Nodes learn of a change at different times, and while their divisions differ they don't
receive each other's gossip; so a fleet of which a third is cut off must not be divided anew. Who
is head goes by received gossip, not by registrations. Not measured apart (docs/DECISIONS.md,
T3)."""

REMEMBERED_PEER_S = 60.0
"""Seconds for which a node that left the registrations still counts for shared budgets. Not
measured."""


class Registration(msgspec.Struct, frozen=True, array_like=True):
    """What a node writes into the store about itself: an array, so the order of fields counts."""

    host: str
    port: int
    zone: str = ""
    capacity: int = 0


class PeerDirectory:
    """The registered nodes.

    Args:
        name: This node.
        cluster: Where registrations are read.
        clock: Monotonic seconds.
        zone: This node's zone.
        capacity: This node's capacity, as it registers it.
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
        """Nodes that left the registrations and still have a place in the groups."""
        self._next_given_up_s = 0.0
        self._group_addresses: dict[str, ListenAddress] = {}
        self._division = divide((self._own,))

    def addresses(self) -> dict[str, ListenAddress]:
        """Return the other registered nodes' addresses."""
        self._read_changes()
        return self._addresses

    def group_addresses(self) -> dict[str, ListenAddress]:
        """Return the addresses of all nodes that have a place in the groups."""
        self._read_changes()
        return self._group_addresses

    def division(self) -> Division:
        """Return the groups of all nodes that are registered, or were of late, and this one."""
        self._read_changes()
        return self._division

    def members(self) -> list[Member]:
        """Return all registered nodes and this one."""
        self._read_changes()
        return [self._own, *self._others()]

    def _others(self) -> list[Member]:
        return [_member(name, one) for name, one in self._registrations.items()]

    def _read_changes(self) -> None:
        """Read the registrations anew if any record has changed."""
        if self._cluster.records.num_changes == self._read_at_change:
            self._forget_departed()
            return
        self._read_at_change = self._cluster.records.num_changes
        found: dict[str, Registration] = {}
        for key, value in self._cluster.records.under(NODE_PREFIX):
            registration = _read_registration(value)
            if registration is not None:
                found[key.removeprefix(NODE_PREFIX)] = registration
        found.pop(self._own.name, None)
        if found == self._registrations:
            return
        now_s = self._clock()
        left = {name: one for name, one in self._registrations.items() if name not in found}
        self._left_at_s.update(dict.fromkeys(left, now_s))
        self._departed.update(left)
        for name in found:
            self._left_at_s.pop(name, None)
            self._departed.pop(name, None)
        self._registrations = found
        self._addresses = _addresses(found)
        self._divide()

    def _forget_departed(self) -> None:
        """Give up the places of nodes that have not registered again in time."""
        if not self._departed or self._clock() < self._next_given_up_s:
            return
        since_s = self._clock() - DIVISION_MEMORY_S
        for name in [one for one in self._departed if self._left_at_s[one] <= since_s]:
            del self._departed[name]
        self._divide()

    def _divide(self) -> None:
        placed = self._registrations | self._departed
        first_left_s = min((self._left_at_s[name] for name in self._departed), default=0.0)
        self._next_given_up_s = first_left_s + DIVISION_MEMORY_S
        self._group_addresses = _addresses(placed)
        division = divide([self._own, *(_member(name, one) for name, one in placed.items())])
        if division != self._division:
            self._division = division

    def num_nodes(self, remembered_s: float = REMEMBERED_PEER_S) -> int:
        """Return how many nodes may share a budget: all seen lately, this one included.

        Args:
            remembered_s: How long one that left the registrations still counts.
        """
        self._read_changes()
        since_s = self._clock() - remembered_s
        num_left = sum(1 for left_at_s in self._left_at_s.values() if left_at_s >= since_s)
        return 1 + len(self._registrations) + num_left

    def rank(self) -> int:
        """Return this node's place among the registered ones: who registered last comes first.

        While all nodes restart in turn, those that started last are the last to stop again.
        """
        own = self._cluster.revision_of(NODE_PREFIX + self._own.name)
        others = (self._cluster.revision_of(NODE_PREFIX + name) for name in self.addresses())
        return sum(1 for revision in others if revision > own)


def _member(name: str, registration: Registration) -> Member:
    return Member(name, ZoneName(registration.zone), registration.capacity)


def _addresses(registrations: dict[str, Registration]) -> dict[str, ListenAddress]:
    return {name: ListenAddress(one.host, one.port) for name, one in registrations.items()}


def _read_registration(value: bytes) -> Registration | None:
    try:
        return msgspec.convert(cbor2.loads(value), Registration)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError):
        # A node whose registration cannot be read is left out, as if it were not registered: this
        # runs at each change of the records, so a log line each time would flood the log.
        return None


class RegistrationTask:
    """Keeps this node's registration under a lease; `run` must be running.

    Args:
        name: This node.
        registration: What is written of it.
        store: The key-value service.
        event_log: Where losses are logged.
    """

    def __init__(
        self, name: str, registration: Registration, store: KeyValuePort, event_log: EventLog
    ) -> None:
        self._key = NODE_PREFIX + name
        self._value: bytes = cbor2.dumps(msgspec.to_builtins(registration))
        self._store = store
        self._event_log = event_log
        self._lease_id = 0
        self._is_withdrawn = False

    async def run(self) -> None:
        """Register, and renew until withdrawn or cancelled."""
        while not self._is_withdrawn:
            is_registered = False
            with anyio.move_on_after(CALL_TIMEOUT_S):
                is_registered = await self._step()
            await sleep_to_tick(RENEWAL_INTERVAL_S if is_registered else REGISTRATION_RETRY_S)

    async def withdraw(self) -> None:
        """End the registration; best effort."""
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
            # No lease was granted: `run` tries again.
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
            return True
        if renewed.err_value.kind is KeyValueFailureKind.LEASE_LOST:
            self._event_log.event("registration_lost", key=self._key, lease=self._lease_id)
            self._lease_id = 0
        return False

    async def _write(self, lease_id: int) -> bool:
        """Write under the lease; an earlier run's registration is taken over."""
        expected_revision = 0
        for _ in range(NUM_SWAPS):
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
