"""Remembers which prompt blocks were lately answered at this node."""

from collections import OrderedDict
from collections.abc import Iterable

from weirscale.gateway.quarantine.block_key import BlockKey

MAX_ANSWERED = 4096
"""Maximum number of blocks that are remembered; the one answered longest ago is forgotten first."""


class AnsweredBlocks:
    """The blocks of the latest answered requests."""

    def __init__(self) -> None:
        self._blocks: OrderedDict[BlockKey, None] = OrderedDict()

    def __contains__(self, block: object) -> bool:
        return block in self._blocks

    def add(self, blocks: Iterable[BlockKey]) -> None:
        """Record that a request with these blocks was answered."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_ANSWERED:
            self._blocks.popitem(last=False)
