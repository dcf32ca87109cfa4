"""Rendezvous (highest random weight) hashing: all nodes rank engines alike without talking."""

from functools import lru_cache

import xxhash

from weirscale.domain.identifiers import EngineName

_MAX_HASH = float(2**64)


def rendezvous_score(key: int, engine: EngineName) -> float:
    """Return the engine's score for a key, uniform in [0, 1); the highest score wins.

    Args:
        key: Any 64-bit key, such as a block hash.
        engine: The engine ranked.
    """
    return xxhash.xxh3_64_intdigest(_name_bytes(engine), key) / _MAX_HASH


@lru_cache(maxsize=8192)
def _name_bytes(engine: EngineName) -> bytes:
    return engine.encode()
