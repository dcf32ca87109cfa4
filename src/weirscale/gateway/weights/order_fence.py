"""The order fence: a record in the store that separates the weight orders of two holders.

A holder renews the record before it sends orders, and the record outlasts its last order by the
minimum time between the orders of two holders. The next holder waits until the record is gone. This
module owns the record and its lease. It relies on the store's leases, and on `ClusterState` to
observe the record.

A store that was restored from a backup has lost the record. So no node sends orders until the lost
records no longer count. By then the previous holder has stopped, and enough time has passed since
its last order. One node then writes that the store's era is settled (`peers/fleet_records.py`), so
nodes that start later need not wait.
"""

from collections.abc import Callable

import anyio
from result import Err

from weirscale.gateway.model.store_positions import era_of
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.restored_start import is_era_settled
from weirscale.ports.key_value import KeyValueFailureKind, KeyValuePort

RENEWAL_VALIDITY_S = 0.4
"""Seconds for which one renewal permits orders; it serves all loads of a wave."""

FENCE_KEY = "weirscale/orders"


class OrderFence:
    """Permits this node's orders while no order of another holder can be in flight.

    Args:
        holder: Name of this node.
        store: The key-value service.
        cluster: Provides the record in the store.
        least_gap_s: Minimum seconds between the orders of two holders, from the deployment's
            settings.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        holder: str,
        store: KeyValuePort,
        cluster: ClusterState,
        least_gap_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._holder = holder
        self._store = store
        self._cluster = cluster
        self._life_s = 0.0
        self.set_least_gap(least_gap_s)
        self._clock = clock
        self._lease_id = 0
        self._is_written = False
        self._renewed_at_s = float("-inf")
        self._renewal_lock = anyio.Lock()

    def set_least_gap(self, least_gap_s: float) -> None:
        """Change the minimum seconds between two holders' orders, from the next lease on."""
        # An order may be sent up to RENEWAL_VALIDITY_S after a renewal, and its call may still be
        # in flight then.
        self._life_s = least_gap_s + 2 * RENEWAL_VALIDITY_S

    async def acquire(self) -> bool:
        """Renew the record if necessary; return whether an order may be sent now.

        Loads that begin together call this concurrently, and one of them renews the record for
        all. Without the lock, each would create a lease, and the record would be attached to
        another lease than the one that is renewed.
        """
        async with self._renewal_lock:
            return self._is_renewed() or await self._renew()

    async def _renew(self) -> bool:
        sent_at_s = self._clock()
        if self._lease_id:
            is_held = await self._keep_lease() and await self._write()
        else:
            is_held = await self._create()
        if is_held:
            self._renewed_at_s = sent_at_s
        return self._is_renewed()

    async def _create(self) -> bool:
        if FENCE_KEY in self._cluster.records or self._may_be_lost():
            return False
        granted = await self._store.grant_lease(self._life_s)
        if isinstance(granted, Err):
            return False
        self._lease_id = granted.ok_value
        self._is_written = False
        return await self._write()

    def _may_be_lost(self) -> bool:
        """Return whether the store may have lost a record of another holder."""
        return self._clock() < self._cluster.incomplete_until_s and not self.is_era_settled()

    def is_era_settled(self) -> bool:
        """Return whether the holders of all earlier eras have stopped."""
        return is_era_settled(self._cluster.records, self._cluster.era())

    async def _keep_lease(self) -> bool:
        renewed = await self._store.keep_lease_alive(self._lease_id)
        if not isinstance(renewed, Err):
            return True
        if renewed.err_value.kind is KeyValueFailureKind.LEASE_LOST:
            self._lease_id = 0
        return False

    async def _write(self) -> bool:
        """Write the record under the lease.

        The value contains the lease, so the node recognizes its own write if the answer was lost.
        Otherwise the holder would take the record for another holder's, and send no orders until
        the record expired.
        """
        if self._is_written:
            return True
        value = f"{self._holder}/{self._lease_id}".encode()
        if self._cluster.records.get(FENCE_KEY) == value:
            self._is_written = True
            return True
        swapped = await self._store.compare_and_swap(FENCE_KEY, 0, value, self._lease_id)
        if isinstance(swapped, Err):
            return False
        if era_of(swapped.ok_value.revision) > self._cluster.era():
            # The store was restored from a backup, and this node has not seen yet what it lost.
            self._lease_id = 0
            return False
        current = swapped.ok_value.current
        self._is_written = current is not None and current.value == value
        return self._is_written

    def _is_renewed(self) -> bool:
        return self._clock() - self._renewed_at_s <= RENEWAL_VALIDITY_S
