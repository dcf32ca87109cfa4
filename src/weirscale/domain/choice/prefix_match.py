"""Match of a prompt against the cached prefixes of an engine."""

import msgspec


class PrefixMatch(msgspec.Struct, frozen=True):
    """Leading blocks of one prompt that are presumably cached at one engine.

    Attributes:
        num_blocks: Number of these blocks.
        age_s: Age of the information.
    """

    num_blocks: int
    age_s: float
