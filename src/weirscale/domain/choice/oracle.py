"""The limit for experiments: exact cache contents of all engines, without lag.

No node can have this knowledge; the policy weighs it exactly as the prefix-aware policy weighs
its beliefs, so the difference between the two is what late and lost knowledge costs.
"""

from collections.abc import Callable, Mapping, Sequence

from weirscale.domain.choice.beliefs import PrefixMatch
from weirscale.domain.identifiers import BlockHash, EngineName

CountLeadingBlocks = Callable[[Sequence[BlockHash]], int]
"""Returns how many leading blocks of a chain an engine holds or is computing now."""


class ExactBeliefs:
    """Cache beliefs that read every engine directly.

    Args:
        engines: For each engine, a reader of its true contents.
    """

    def __init__(self, engines: Mapping[EngineName, CountLeadingBlocks]) -> None:
        self._engines = engines

    def match(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Mapping[EngineName, PrefixMatch]:
        """Return the true matches."""
        return {
            engine: PrefixMatch(num_blocks=count(block_hashes), age_s=0.0)
            for engine, count in self._engines.items()
        }
