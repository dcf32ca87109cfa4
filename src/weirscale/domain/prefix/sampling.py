"""Content-based sampling of blocks: the hash decides, so all nodes sample the same blocks."""

from weirscale.messages.digest import KEY_SHIFT

MAX_SAMPLE_BITS = 12
"""One block in 4096 at the coarsest: with fewer, most prompts would have no sampled block."""


def block_key(block_hash: int) -> int:
    """Return the key of a block, the upper bits of its hash."""
    return block_hash >> KEY_SHIFT


def is_sampled(key: int, sample_bits: int) -> bool:
    """Return whether the key travels at a sampling level."""
    return key & ((1 << sample_bits) - 1) == 0
