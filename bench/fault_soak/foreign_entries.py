"""Entries of another writer in the store, of back ends and nodes that nothing can be sent to."""

from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import cbor2

from features.support.platform_words import RUNNERS_KEY

NUM_ENTRIES = 3
ADDRESSES = (
    *("[::1:9", "[::1]]:9", "[]::1:9", "127.0.0.1]:9"),
    *("127.0.0.1:0", "here", "[::]:9"),
)
NAMES = ("foreign-{}", "foreign {}", "foreign-\u00e9-{}")
NODE_PREFIX = "weirscale/nodes/"
HOSTS = ("127.0.0.1\0", "", "0.0.0.0", "[::1]")
PORTS = (0, -1, 99_999, 9)
NAME_BITS = 32


def write_foreign_entries(
    store: Any, entries: Sequence[Mapping[str, object]], random: Random
) -> list[str]:
    """Write some entries of back ends and one of a node; return their keys.

    Args:
        store: The stand-in of the store.
        entries: Valid entries of back ends, which the foreign ones resemble.
        random: Chooses what is wrong.
    """
    keys = []
    for address in random.sample(ADDRESSES, NUM_ENTRIES):
        name = random.choice(NAMES).format(random.getrandbits(NAME_BITS))
        keys.append(f"{RUNNERS_KEY}{name}")
        store.put(keys[-1], {**random.choice(entries), "address": address})
    keys.append(f"{NODE_PREFIX}foreign-{random.getrandbits(NAME_BITS)}")
    store.put(keys[-1], cbor2.dumps((random.choice(HOSTS), random.choice(PORTS), "", 1, "x")))
    return keys
