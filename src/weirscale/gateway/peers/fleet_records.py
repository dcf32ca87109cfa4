"""Writes the records in the store that one node writes for all."""

from collections.abc import Callable

from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.first_start import STARTED_KEY
from weirscale.gateway.state.restored_start import SETTLED_KEY, is_era_settled, settled_value
from weirscale.ports.key_value import KeyValuePort


class FleetRecords:
    """Writes the records that are due, if this node is the one that does.

    A write that is lost is repeated later, by this node or the next one.

    Args:
        cluster: The records as they are.
        directory: Ranks the nodes; the one with rank 0 writes.
        store: The key-value service.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        directory: PeerDirectory,
        store: KeyValuePort,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._directory = directory
        self._store = store
        self._clock = clock

    async def write_due(self) -> None:
        """Write what is due now."""
        if self._directory.rank() > 0:
            return
        if STARTED_KEY not in self._cluster.records:
            await self._store.compare_and_swap(STARTED_KEY, 0, b"")
        if self._is_settling_due():
            await self._settle()

    async def _settle(self) -> None:
        """Write that the current era is settled."""
        cluster = self._cluster
        # The record of an earlier era may have been lost, and its revision with it.
        is_there = SETTLED_KEY in cluster.records
        revision = cluster.revision_of(SETTLED_KEY) if is_there else 0
        await self._store.compare_and_swap(SETTLED_KEY, revision, settled_value(cluster.era()))

    def _is_settling_due(self) -> bool:
        """Return whether what earlier eras lost has been written again, and no record says so."""
        cluster = self._cluster
        is_complete = self._clock() >= cluster.incomplete_until_s
        return is_complete and not is_era_settled(cluster.records, cluster.era())
