"""Rendezvous (highest random weight) hashing: all nodes rank names alike without communication.

When a name is added or removed, only the keys assigned to that name move.
"""

import heapq
from collections.abc import Iterable
from functools import lru_cache

import xxhash

_MAX_HASH = float(2**64)
_NUM_CACHED_NAMES = 8192
"""More than the engines and nodes of the largest supported deployment."""


def rendezvous_weight(name: str, key: int) -> int:
    """Return the 64-bit weight of a name for a key; the highest weight wins.

    Args:
        name: Name to rank: a node, an engine, an address.
        key: Any 64-bit number to rank the name for, such as a block hash or a group number.
    """
    return xxhash.xxh3_64_intdigest(_name_bytes(name), key)


def rendezvous_ranking(names: Iterable[str], key: int, num: int) -> list[str]:
    """Return the `num` names with the highest weights for a key, the highest first."""
    return heapq.nlargest(num, names, lambda name: rendezvous_weight(name, key))


def rendezvous_score(key: int, name: str) -> float:
    """Return the weight as a score, uniform in [0, 1)."""
    return rendezvous_weight(name, key) / _MAX_HASH


def rendezvous_key(text: str) -> int:
    """Return a 64-bit key for a text."""
    return rendezvous_weight(text, 0)


@lru_cache(maxsize=_NUM_CACHED_NAMES)
def _name_bytes(name: str) -> bytes:
    return name.encode()
