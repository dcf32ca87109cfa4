"""Keeps the orders of two holders apart by a record that outlives the last order of the first."""

from collections.abc import Callable

import anyio
from result import Err

from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

RENEWAL_LIFE_S = 0.4
"""How long a renewal counts before the next one is needed."""

TURN_KEY = "weirscale/orders"


class OrderTurn:
    """Keeps two holders' orders apart.

    A holder renews a record before it gives orders; the record outlives its last order by the
    least time between two holders' orders. Another holder waits until the record is gone.

    Args:
        holder: Name of this node.
        store: The key-value service.
        knowledge: Where the record is seen.
        apart_s: Least time between orders of two holders.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        holder: str,
        store: KeyValuePort,
        cluster: ClusterState,
        apart_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._holder = holder
        self._store = store
        self._cluster = cluster
        self._life_s = 0.0
        self.set_apart(apart_s)
        self._clock = clock
        self._lease_id = 0
        self._is_written = False
        self._renewed_at_s = float("-inf")
        self._taking = anyio.Lock()

    def set_apart(self, apart_s: float) -> None:
        """Change the least time between two holders' orders; counts from the next record on."""
        self._life_s = apart_s + 2 * RENEWAL_LIFE_S

    async def take(self) -> bool:
        """Whether an order may be given within the next `RENEWAL_LIFE_S`.

        Loads that begin together ask together: one of them writes the record for all.
        """
        async with self._taking:
            return self._is_renewed() or await self._take_anew()

    async def _take_anew(self) -> bool:
        sent_at_s = self._clock()
        if self._lease_id:
            is_taken = await self._renew() and await self._write()
        else:
            is_taken = await self._begin()
        if is_taken:
            self._renewed_at_s = sent_at_s
        return self._is_renewed()

    async def _begin(self) -> bool:
        if TURN_KEY in self._cluster.records:
            return False
        granted = await self._store.grant_lease(self._life_s)
        if isinstance(granted, Err):
            return False
        self._lease_id = granted.ok_value
        self._is_written = False
        return await self._write()

    async def _renew(self) -> bool:
        renewed = await self._store.keep_lease_alive(self._lease_id)
        if not isinstance(renewed, Err):
            return True
        if renewed.err_value.kind is KeyValueFailureKind.LEASE_LOST:
            self._lease_id = 0
        return False

    async def _write(self) -> bool:
        """Write the record under the lease; an answer that was lost shows as our own record."""
        if self._is_written:
            return True
        value = f"{self._holder}/{self._lease_id}".encode()
        if self._cluster.records.get(TURN_KEY) == value:
            self._is_written = True
            return True
        swapped = await self._store.compare_and_swap(TURN_KEY, 0, value, self._lease_id)
        if isinstance(swapped, Err):
            return False
        current = swapped.ok_value.current
        self._is_written = current is not None and current.value == value
        return self._is_written

    def _is_renewed(self) -> bool:
        return self._clock() - self._renewed_at_s <= RENEWAL_LIFE_S
