"""Cache events that engines publish, shaped after vLLM's KV cache event batches."""

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
    """Blocks that the engine now holds, in chain order.

    Attributes:
        block_hashes: Chained hashes, each the child of the one before.
        parent_block_hash: The block that the first one follows, or None at a chain's start.
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
        incarnation: The engine's run; events of a lower one are void.
        model: The model loaded.
        weight_version: Version of the weights that the blocks were computed with.
        sequence: One more than that of the batch before; starts at 1 in each incarnation.
        events: What changed.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    sequence: int
    events: tuple[CacheEvent, ...]


class CacheDump(msgspec.Struct, frozen=True):
    """All blocks of one engine at one moment.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run.
        model: The model loaded.
        weight_version: Version of the weights.
        sequence: The last batch that the dump includes.
        block_hashes: Every block held, least recently used first.
    """

    engine: EngineName
    incarnation: Incarnation
    model: ModelName
    weight_version: WeightVersion
    sequence: int
    block_hashes: tuple[BlockHash, ...]


class LoadReport(msgspec.Struct, frozen=True):
    """What an engine says of itself; it lags by up to a second or so.

    Attributes:
        engine: The engine's name.
        incarnation: The engine's run.
        model: The model loaded, or None while none is.
        weight_version: Version loaded, or None.
        adapters: Adapters loaded.
        num_running: Requests in the running batch.
        num_waiting: Requests waiting for the batch.
        num_waiting_prefill_tokens: Prompt tokens still to compute for waiting and running ones.
        num_cached_blocks: Blocks in the prefix cache.
        num_total_blocks: Most blocks that fit.
        is_leaving: Whether the engine is about to stop.
        order_token: Fencing token of the last order carried out, 0 before any.
        role: The role that it serves, or None if it does not say.
        loading_token: Token of the load that it has accepted and not ended, 0 while none.
        failed_load_token: Token of the last load that failed in this run, 0 if none has.
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
