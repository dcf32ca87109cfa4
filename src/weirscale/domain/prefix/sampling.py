"""Sampling of blocks by their hashes, so that all nodes sample the same blocks."""

from weirscale.messages.digest import KEY_SHIFT

MAX_SAMPLE_BITS = 12
"""The coarsest sample is one block in 4096: with fewer, most prompts would have none."""


def block_key(block_hash: int) -> int:
    """Return the key of a block, the upper bits of its hash."""
    return block_hash >> KEY_SHIFT


def is_sampled(key: int, sample_bits: int) -> bool:
    """Return whether the key belongs to the sample of a sampling level."""
    return key & ((1 << sample_bits) - 1) == 0
