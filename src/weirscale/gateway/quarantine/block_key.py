"""Keys of prompt blocks, and of groups of them, which are the same on all nodes."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NewType

BlockKey = NewType("BlockKey", str)
"""Identifies a block in messages and records: its id if that is short, otherwise a digest of it."""

BlockGroup = frozenset[BlockKey]
"""Blocks that a request must all have to be refused."""

MAX_ID_CHARS = 20
"""Longer ids are replaced by a digest, so that the size of messages and records is bounded."""

DIGEST_BYTES = 16

MAX_GROUP_BLOCKS = 4
"""Maximum number of blocks of a group, so that its record's key keeps within 200 bytes."""

SEPARATOR = "+"


def block_key(block_id: str) -> BlockKey:
    """Return the key of a block."""
    if 0 < len(block_id) <= MAX_ID_CHARS and block_id.isascii() and block_id.isalnum():
        return BlockKey(block_id)
    return BlockKey(blake2b(block_id.encode(), digest_size=DIGEST_BYTES).hexdigest())


def make_group(blocks: Iterable[BlockKey]) -> BlockGroup:
    """Return a group; of too many blocks, the first in order of their keys are taken."""
    return frozenset(sorted(set(blocks))[:MAX_GROUP_BLOCKS])


def group_text(group: BlockGroup) -> str:
    """Return a group as text for logs and records."""
    return SEPARATOR.join(sorted(group))


def read_group(text: str) -> BlockGroup | None:
    """Return the group in a text; None if the text is not a group."""
    blocks = text.split(SEPARATOR)
    are_keys = all(block.isascii() and block.isalnum() for block in blocks)
    are_keys = are_keys and all(len(block) <= 2 * DIGEST_BYTES for block in blocks)
    if not are_keys or len(blocks) > MAX_GROUP_BLOCKS:
        return None
    return frozenset(BlockKey(block) for block in blocks)
