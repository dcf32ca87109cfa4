"""Interface of what a policy may ask about cached prefixes."""

from collections.abc import Mapping, Sequence
from typing import Protocol

import msgspec

from weirscale.domain.identifiers import BlockHash, EngineName


class PrefixMatch(msgspec.Struct, frozen=True):
    """What is believed of one engine and one prompt.

    Attributes:
        num_blocks: Leading blocks of the prompt believed to be cached.
        age_s: Age of the knowledge.
    """

    num_blocks: int
    age_s: float


class CacheBeliefs(Protocol):
    """Who caches how much of a prompt; a hint, never a promise."""

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Mapping[EngineName, PrefixMatch]:
        """Return the engines believed to hold a prefix of the chain, absent ones hold none."""
        ...
