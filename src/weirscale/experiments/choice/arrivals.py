"""Makes the arrivals of a shape from a seed: the same for every policy compared."""

from array import array
from random import Random

import msgspec

from weirscale.experiments.choice.shape import ChoiceShape

MIN_TAIL_BLOCKS = 1


class Arrival(msgspec.Struct, frozen=True):
    """One request.

    Attributes:
        number: Its number in order of arrival.
        at_s: When it reaches its node.
        node: Number of the node.
        tenant: Number of the tenant.
        chain: Block hashes of the whole prompt.
        answer_s: Time of decoding its answer.
    """

    number: int
    at_s: float
    node: int
    tenant: int
    chain: "array[int]"
    answer_s: float


class ArrivalMaker:
    """Draws arrivals.

    Args:
        shape: The workload.
        seed: Determines everything.
    """

    def __init__(self, shape: ChoiceShape, seed: int) -> None:
        self._shape = shape
        self._random = Random(seed)
        self._sections: dict[tuple[int, ...], array[int]] = {}
        self._ranks: dict[tuple[int, int], list[int]] = {}

    def make(self, duration_s: float) -> list[Arrival]:
        """Return the arrivals of a duration, in order."""
        arrivals: list[Arrival] = []
        at_s = 0.0
        while True:
            at_s += self._random.expovariate(self._shape.requests_per_s)
            if at_s >= duration_s:
                return arrivals
            arrivals.append(self._arrival(len(arrivals), at_s))

    def _arrival(self, number: int, at_s: float) -> Arrival:
        shape = self._shape
        random = self._random
        epoch = int(at_s / shape.hot_shift_s)
        path: tuple[int, ...] = (self._ranked(epoch, 0, shape.num_tenants, shape.tenant_skew),)
        chain: array[int] = array("Q")
        for level, section in enumerate(shape.sections, start=1):
            child = self._ranked(epoch, level, section.num_children, shape.section_skew)
            path = (*path, child)
            chain.extend(self._section(path, section.num_tokens))
        mean_blocks = shape.num_tail_tokens / shape.tokens_per_block
        num_tail_blocks = max(int(random.expovariate(1 / mean_blocks)), MIN_TAIL_BLOCKS)
        chain.extend(random.getrandbits(64) for _ in range(num_tail_blocks))
        return Arrival(
            number=number,
            at_s=at_s,
            node=random.randrange(shape.num_zones * shape.nodes_per_zone),
            tenant=path[0],
            chain=chain,
            answer_s=random.expovariate(1 / shape.answer_s),
        )

    def _ranked(self, epoch: int, level: int, num_items: int, skew: float) -> int:
        """Draw an item by Zipf rank; which item has which rank changes with the epoch."""
        ranks = self._ranks.get((epoch, level))
        if ranks is None:
            ranks = list(range(num_items))
            Random(epoch * 1009 + level).shuffle(ranks)
            self._ranks[(epoch, level)] = ranks
        weights = [1.0 / (rank + 1) ** skew for rank in range(num_items)]
        return ranks[self._random.choices(range(num_items), weights)[0]]

    def _section(self, path: tuple[int, ...], num_tokens: int) -> "array[int]":
        """Return the block hashes of one section, always the same for a path."""
        known = self._sections.get(path)
        if known is None:
            random = Random(repr(path))
            num_blocks = num_tokens // self._shape.tokens_per_block
            known = array("Q", [random.getrandbits(64) for _ in range(num_blocks)])
            self._sections[path] = known
        return known
