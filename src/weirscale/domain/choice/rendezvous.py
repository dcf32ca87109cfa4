"""Rendezvous (highest random weight) hashing: all nodes rank engines alike without talking."""

import xxhash

from weirscale.domain.identifiers import EngineName

_MAX_HASH = float(2**64)


def rendezvous_score(key: int, engine: EngineName) -> float:
    """Return the engine's score for a key, uniform in [0, 1); the highest score wins.

    Args:
        key: Any 64-bit key, such as a block hash.
        engine: The engine ranked.
    """
    return xxhash.xxh3_64_intdigest(engine.encode(), key) / _MAX_HASH
