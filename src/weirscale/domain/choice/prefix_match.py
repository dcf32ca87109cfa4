"""What is believed of cached prefixes."""

import msgspec


class PrefixMatch(msgspec.Struct, frozen=True):
    """What is believed of one engine and one prompt.

    Attributes:
        num_blocks: Leading blocks of the prompt believed to be cached.
        age_s: Age of the knowledge.
    """

    num_blocks: int
    age_s: float
