"""What this node believes every engine and kept-KV store keeps: the one owner of these beliefs.

Beliefs come from this node's sends and from gossip. What an engine has read is also believed to be
in the store of its region, since every node has engines save what they read.
"""

from weirscale.domain.identifiers import ZoneName
from weirscale.gateway.model.configuration import KeptKvStore
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.model.prompt import PromptBlock
from weirscale.gateway.model.topology import Topology
from weirscale.gateway.routing.cached_blocks import CachedBlocks
from weirscale.gateway.state.cluster_state import ClusterState

CACHE_SHARE = 0.8
"""Share of an engine's memory that is believed to keep blocks; running requests take the rest. Not
measured."""


class CacheIndex:
    """Beliefs about caches, by engine and by store.

    Args:
        cluster: Which engines and stores there are.
        topology: Which store is near to which engine.
    """

    def __init__(self, cluster: ClusterState, topology: Topology) -> None:
        self._cluster = cluster
        self._topology = topology
        self._engines: dict[InstanceId, CachedBlocks] = {}
        self._stores: dict[Address, CachedBlocks] = {}

    def at_engine(self, instance: InstanceId, capacity_tokens: int) -> CachedBlocks:
        """Return what is believed of an engine whose memory has a capacity."""
        belief = self._engines.get(instance)
        if belief is None:
            belief = CachedBlocks(int(capacity_tokens * CACHE_SHARE))
            self._engines[instance] = belief
        return belief

    def at_tracked_engine(self, instance: InstanceId) -> CachedBlocks | None:
        """Return what is believed of an engine; None if nothing was ever believed of it."""
        return self._engines.get(instance)

    def at_store(self, store: KeptKvStore) -> CachedBlocks:
        """Return what is believed of a store."""
        belief = self._stores.get(store.address)
        if belief is None:
            belief = self._stores[store.address] = CachedBlocks(store.capacity_tokens)
        return belief

    def stores(self) -> list[KeptKvStore]:
        """Return the kept-KV stores of the configuration."""
        table = self._cluster.table
        return table.kept_kv_stores() if table else []

    def is_store(self, address: Address) -> bool:
        """Whether a kept-KV store has an address."""
        return any(store.address == address for store in self.stores())

    def store_near(self, zone: ZoneName) -> KeptKvStore | None:
        """Return the store that the engines of a zone's region use: the same on all nodes."""
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
        """Record that a prompt goes to an engine, or (`is_ready`) has been read there.

        The last block of a prompt is its own alone: it is not saved in a store.
        """
        belief = self._at_declared_engine(instance)
        if belief is None:
            return
        belief.record(scope, blocks, is_ready)
        if is_ready:
            self._record_saved(instance, scope, blocks[:-1])

    def record_shared(
        self, instance: InstanceId, scope: str, shared: tuple[PromptBlock, ...]
    ) -> None:
        """Record the shared blocks of a prompt that an engine has read for another group."""
        belief = self._at_declared_engine(instance)
        if belief is not None:
            belief.record(scope, shared, is_ready=True)
            self._record_saved(instance, scope, shared)

    def forget_unread(
        self, instance: InstanceId, scope: str, blocks: tuple[PromptBlock, ...]
    ) -> None:
        """Forget blocks that were sent to an engine and not read there."""
        belief = self.at_tracked_engine(instance)
        if belief is not None:
            belief.forget(scope, blocks)

    def clear_engine(self, instance: InstanceId) -> None:
        """Forget all blocks of an engine that has taken new weights."""
        belief = self.at_tracked_engine(instance)
        if belief is not None:
            belief.clear()

    def forget_engine(self, instance: InstanceId) -> None:
        """Forget an engine that is gone."""
        self._engines.pop(instance, None)

    def _at_declared_engine(self, instance: InstanceId) -> CachedBlocks | None:
        """Return what is believed of an engine; None if the platform lists no such engine."""
        belief = self.at_tracked_engine(instance)
        if belief is not None:
            return belief
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
        store = None if back_end is None else self.store_near(back_end.zone)
        if store is not None:
            self.at_store(store).record(scope, shared, is_ready=True)
