"""Index of the prompt blocks that are presumably cached at each engine and kept-KV store.

The index is built from this node's sends and from gossip. Blocks that an engine has prefilled are
also recorded for the store of its region, since every node has engines save what they prefill.
"""

from weirscale.domain.identifiers import ZoneName
from weirscale.gateway.model.configuration import KeptKvStore
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import PromptBlock
from weirscale.gateway.model.topology import Topology
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.state.cluster_state import ClusterState

CACHE_SHARE = 0.8
"""Share of an engine's memory that is assumed to hold cached blocks. Running requests use the
rest."""


class CacheIndex:
    """Owns the estimated cache contents of engines and stores.

    Args:
        cluster: Engines and stores.
        topology: Region of each zone.
    """

    def __init__(self, cluster: ClusterState, topology: Topology) -> None:
        self._cluster = cluster
        self._topology = topology
        self._engines: dict[InstanceId, CachedBlocks] = {}
        self._stores: dict[Address, CachedBlocks] = {}

    def at_engine(self, instance: InstanceId, capacity_tokens: int) -> CachedBlocks:
        """Return the cached blocks of an engine.

        Args:
            instance: The engine.
            capacity_tokens: Capacity of its memory in tokens; used at the first call.
        """
        cached = self._engines.get(instance)
        if cached is None:
            cached = CachedBlocks(int(capacity_tokens * CACHE_SHARE))
            self._engines[instance] = cached
        return cached

    def at_tracked_engine(self, instance: InstanceId) -> CachedBlocks | None:
        """Return the cached blocks of an engine; None if nothing has been recorded for it."""
        return self._engines.get(instance)

    def at_store(self, store: KeptKvStore) -> CachedBlocks:
        """Return the cached blocks of a store."""
        cached = self._stores.get(store.address)
        if cached is None:
            cached = self._stores[store.address] = CachedBlocks(store.capacity_tokens)
        return cached

    def stores(self) -> list[KeptKvStore]:
        """Return the kept-KV stores of the configuration."""
        table = self._cluster.table
        return table.kept_kv_stores() if table else []

    def is_store(self, address: Address) -> bool:
        """Return whether an address is that of a kept-KV store."""
        return any(store.address == address for store in self.stores())

    def regional_store(self, zone: ZoneName) -> KeptKvStore | None:
        """Return the store used by the engines of a zone's region; it is the same on all nodes."""
        for store in self.stores():
            if not self._topology.is_cross_region(zone, store.zone):
                return store
        return None

    def record(
        self,
        instance: InstanceId,
        scope: str,
        blocks: tuple[PromptBlock, ...],
        is_ready: bool,
    ) -> None:
        """Record that a prompt was sent to an engine, or (`is_ready`) prefilled there.

        The last block belongs to this prompt alone and is not saved in a store.
        """
        cached = self._at_declared_engine(instance)
        if cached is None:
            return
        cached.record(scope, blocks, is_ready)
        if is_ready:
            self._record_saved(instance, scope, blocks[:-1])

    def record_shared(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        """Record shared blocks of a prompt that an engine prefilled for another group of nodes."""
        cached = self._at_declared_engine(instance)
        if cached is not None:
            cached.record(scope, shared, is_ready=True)
            self._record_saved(instance, scope, shared)

    def forget_unread(
        self, instance: InstanceId, scope: str, blocks: tuple[PromptBlock, ...]
    ) -> None:
        """Remove blocks that were recorded as sent to an engine and were not prefilled."""
        cached = self.at_tracked_engine(instance)
        if cached is not None:
            cached.forget(scope, blocks)

    def clear_engine(self, instance: InstanceId) -> None:
        """Remove all blocks of an engine that has loaded new weights."""
        cached = self.at_tracked_engine(instance)
        if cached is not None:
            cached.clear()

    def forget_engine(self, instance: InstanceId) -> None:
        """Drop the state of an engine that was removed."""
        self._engines.pop(instance, None)

    def _at_declared_engine(self, instance: InstanceId) -> CachedBlocks | None:
        """Return the cached blocks of an engine; None if the platform lists no such engine."""
        cached = self.at_tracked_engine(instance)
        if cached is not None:
            return cached
        back_end = self._cluster.directory.get(instance)
        table = self._cluster.table
        service = table.service(back_end.service) if table and back_end else None
        if service is None or service.engine is None:
            return None
        return self.at_engine(instance, service.engine.cache_tokens)

    def _record_saved(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        back_end = self._cluster.directory.get(instance)
        store = None if back_end is None else self.regional_store(back_end.zone)
        if store is not None:
            self.at_store(store).record(scope, shared, is_ready=True)
