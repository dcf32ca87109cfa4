"""Chained block hashes: the identity of a prompt prefix.

A block's hash covers its bytes and the hash of the previous block. The chain is seeded with tenant,
model, weight version and adapter, so blocks of different tenants or weights never compare equal.
The exception is a 64-bit collision, which only causes a wrong estimate: the engine keys its cache
by its own full identity.
"""

import xxhash

from weirscale.domain.identifiers import (
    AdapterName,
    BlockHash,
    ModelName,
    TenantName,
    WeightVersion,
)

SEED_SEPARATOR = "\x1f"
"""Separates the fields of the seed."""

BYTES_PER_TOKEN = 4.0
"""Approximate number of bytes per token of Latin text; only for estimates."""


def chain_seed(
    tenant: TenantName | str,
    model: ModelName,
    weight_version: WeightVersion,
    adapter: AdapterName | None,
) -> BlockHash:
    """Return the hash that a chain starts with; the tenant is also called the cache salt."""
    identity = SEED_SEPARATOR.join((tenant, model, weight_version, adapter or ""))
    return BlockHash(xxhash.xxh3_64_intdigest(identity.encode()))


def extend_chain(
    parent: BlockHash, prompt: bytes, start_byte: int, block_size_bytes: int
) -> list[BlockHash]:
    """Return the hashes of a prompt's full blocks from a byte offset on.

    Args:
        parent: Hash of the block that ends at `start_byte`, or the seed.
        prompt: The complete prompt.
        start_byte: Multiple of the block size.
        block_size_bytes: Bytes per block.

    Returns:
        One hash for each full block after `start_byte`, in order.
    """
    hashes: list[BlockHash] = []
    digest = xxhash.xxh3_64_intdigest
    view = memoryview(prompt)
    current = parent
    last_start = len(prompt) - block_size_bytes
    for offset in range(start_byte, last_start + 1, block_size_bytes):
        current = BlockHash(digest(view[offset : offset + block_size_bytes], current))
        hashes.append(current)
    return hashes
