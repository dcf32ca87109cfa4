"""Rendezvous (highest random weight) hashing: all nodes rank names alike without talking.

When a name joins or goes, only the keys that it takes or held move.
"""

from functools import lru_cache

import xxhash

_MAX_HASH = float(2**64)
_NUM_CACHED_NAMES = 8192
"""Above the engines and nodes of the size designed for."""


def rendezvous_weight(name: str, key: int) -> int:
    """Return the 64-bit weight of a name for a key; the highest weight wins.

    Args:
        name: What is ranked: a node, an engine, an address.
        key: What it is ranked for: any 64-bit number, such as a block hash or a group's number.
    """
    return xxhash.xxh3_64_intdigest(_name_bytes(name), key)


def rendezvous_score(key: int, name: str) -> float:
    """Return the weight as a score, uniform in [0, 1)."""
    return rendezvous_weight(name, key) / _MAX_HASH


def rendezvous_key(text: str) -> int:
    """Return a 64-bit key for a text."""
    return rendezvous_weight(text, 0)


@lru_cache(maxsize=_NUM_CACHED_NAMES)
def _name_bytes(name: str) -> bytes:
    return name.encode()
