"""Cache of prompts' hash chains, so that frequent prompts are not hashed block by block.

A prompt is split into strides of about 16 kB. The cache key of a stride's block hashes is the
128-bit digest of the prompt up to the end of the stride. Prompts with a common beginning share the
strides inside it. A cached stride costs one streaming digest instead of hundreds of chained ones.
"""

from array import array
from collections import OrderedDict
from collections.abc import Sequence
from typing import cast

import xxhash

from weirscale.domain.identifiers import BlockHash
from weirscale.domain.prefix.chain import extend_chain

STRIDE_BYTES = 16 * 1024
"""Prompt bytes that one cached entry covers; rounded down to full blocks."""

DEFAULT_MAX_BYTES = 2 * 1024 * 1024
"""Memory for cached hashes: with blocks of 64 bytes it covers 16 MB of distinct prompts."""

HASH_BYTES = 8
ENTRY_OVERHEAD_BYTES = 300
"""Memory of one entry besides its hashes: key, array object and table slot."""


class ChainCache:
    """Block hashes of prompts, by the digest of the bytes they cover.

    Two prompts with equal 128-bit digests count as equal. A collision would only cause a wrong
    estimate, because the engine keys its cache by its own full identity.

    Args:
        max_bytes: Bound on the memory; the least recently used strides are dropped.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._num_bytes = 0
        self._strides: OrderedDict[bytes, array[int]] = OrderedDict()

    @property
    def num_bytes(self) -> int:
        """Estimated memory in use."""
        return self._num_bytes

    def chain(self, seed: BlockHash, prompt: bytes, block_size_bytes: int) -> Sequence[BlockHash]:
        """Return the same hashes as `extend_chain` from the start of the prompt, as an array.

        Args:
            seed: Hash that the chain starts from.
            prompt: The complete prompt.
            block_size_bytes: Bytes per block.
        """
        stride_bytes = max(STRIDE_BYTES // block_size_bytes, 1) * block_size_bytes
        digest = xxhash.xxh3_128(block_size_bytes.to_bytes(8, "big"), seed=seed)
        view = memoryview(prompt)
        hashes: array[int] = array("Q")
        parent = seed
        start = 0
        while start + stride_bytes <= len(prompt):
            digest.update(view[start : start + stride_bytes])
            stride = self._stride(
                digest.digest(), parent, view, start, stride_bytes, block_size_bytes
            )
            hashes.extend(stride)
            parent = BlockHash(stride[-1])
            start += stride_bytes
        hashes.extend(extend_chain(parent, prompt, start, block_size_bytes))
        return cast(Sequence[BlockHash], hashes)

    def _stride(
        self,
        key: bytes,
        parent: BlockHash,
        prompt: memoryview,
        start: int,
        stride_bytes: int,
        block_size_bytes: int,
    ) -> "array[int]":
        """Return one stride's hashes; compute and cache them if they are not cached."""
        cached = self._strides.get(key)
        if cached is not None:
            self._strides.move_to_end(key)
            return cached
        piece = bytes(prompt[start : start + stride_bytes])
        stride = array("Q", extend_chain(parent, piece, 0, block_size_bytes))
        self._strides[key] = stride
        self._num_bytes += _entry_bytes(stride)
        while self._num_bytes > self._max_bytes and len(self._strides) > 1:
            _, dropped = self._strides.popitem(last=False)
            self._num_bytes -= _entry_bytes(dropped)
        return stride


def _entry_bytes(stride: "array[int]") -> int:
    return len(stride) * HASH_BYTES + ENTRY_OVERHEAD_BYTES
