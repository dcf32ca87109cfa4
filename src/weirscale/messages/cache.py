"""Cache events that engines publish, modelled on vLLM's KV cache event batches."""

import msgspec

from weirscale.domain.identifiers import (
    AdapterName,
    BlockHash,
    EngineName,
    Incarnation,
    ModelName,
    WeightVersion,
)


class BlockStored(msgspec.Struct, frozen=True, tag="stored", array_like=True):
    """Blocks that the engine has stored, in chain order.

    Attributes:
        block_hashes: Chained hashes; each block is the child of the previous one.
        parent_block_hash: Parent of the first block, or None at the start of a chain.
    """

    block_hashes: tuple[BlockHash, ...]
    parent_block_hash: BlockHash | None


class BlockRemoved(msgspec.Struct, frozen=True, tag="removed", array_like=True):
    """Blocks that the engine has evicted."""

    block_hashes: tuple[BlockHash, ...]


class AllBlocksCleared(msgspec.Struct, frozen=True, tag="cleared", array_like=True):
    """The engine has emptied its cache."""


CacheEvent = BlockStored | BlockRemoved | AllBlocksCleared


class CacheEventBatch(msgspec.Struct, frozen=True):
    """Events of one engine, in order.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run; events of a lower incarnation are void.
        model: The loaded model.
        weight_version: Version of the weights with which the blocks were computed.
        sequence: Number of the batch; starts at 1 in each incarnation and grows by 1.
        events: The changes.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    sequence: int
    events: tuple[CacheEvent, ...]


class CacheDump(msgspec.Struct, frozen=True):
    """Snapshot of all blocks of one engine.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run.
        model: The loaded model.
        weight_version: Version of the weights.
        sequence: Number of the last batch that the snapshot includes.
        block_hashes: All cached blocks, least recently used first.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    sequence: int
    block_hashes: tuple[BlockHash, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """State that an engine reports; it lags by up to about a second.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run.
        model: The loaded model, or None.
        weight_version: The loaded weight version, or None.
        adapters: The loaded adapters.
        num_running: Requests in the running batch.
        num_waiting: Requests waiting for the batch.
        num_waiting_prefill_tokens: Prompt tokens still to compute for waiting and running requests.
        num_cached_blocks: Blocks in the prefix cache.
        num_total_blocks: Capacity of the prefix cache in blocks.
        is_leaving: Whether the engine is about to stop.
        order_token: Fencing token of the last executed order; 0 before the first.
        role: The engine's role, or None if the engine does not report one.
        loading_token: Fencing token of the load in progress; 0 without one.
        failed_load_token: Fencing token of the last failed load of this run; 0 without one.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName | None
    weight_version: WeightVersion | None
    adapters: tuple[AdapterName, ...]
    num_running: int
    num_waiting: int
    num_waiting_prefill_tokens: int
    num_cached_blocks: int
    num_total_blocks: int
    is_leaving: bool
    order_token: int
    role: str | None = None
    loading_token: int = 0
    failed_load_token: int = 0
