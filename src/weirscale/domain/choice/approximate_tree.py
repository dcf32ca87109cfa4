"""Baseline: a tree of the node's own past choices, balanced when loads differ much.

The published idea of SGLang's router: follow the longest prefix sent before as long as loads are
balanced, else take the least loaded engine. Chained hashes make the tree a plain table: a block's
hash stands for its whole path.
"""

from collections import OrderedDict
from collections.abc import Sequence
from random import Random

from weirscale.domain.choice.eligible import eligible_candidates, relative_load
from weirscale.domain.choice.policy import Choice, ChoiceRequest, EngineCandidate
from weirscale.domain.identifiers import BlockHash, EngineName

MAX_TREE_BLOCKS = 200_000
"""Blocks remembered, least recently sent dropped first; bounds memory to some 30 MB."""

MIN_MATCH_SHARE = 0.5
"""Below this share of matched blocks the smallest tree is chosen, as published."""

IMBALANCE_REQUESTS = 8
"""Loads count as unbalanced when they differ by more requests than this ..."""

IMBALANCE_RATIO = 1.5
"""... and by more than this factor."""


class ApproximateTree:
    """Follows its own past choices; knows nothing of evictions or of other nodes."""

    def __init__(self, max_blocks: int = MAX_TREE_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._engines_by_block: OrderedDict[BlockHash, set[EngineName]] = OrderedDict()
        self._num_blocks_sent: dict[EngineName, int] = {}

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose by longest own prefix, or by load when unbalanced."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        if self._is_unbalanced(eligible):
            chosen = min(eligible, key=lambda each: (relative_load(each), random.random()))
            return Choice(engine=chosen.engine, estimates=())
        matched = self._matched_blocks(request, {each.engine for each in eligible})
        best_engine, num_matched = max(matched.items(), key=lambda item: item[1], default=(None, 0))
        if best_engine is not None and num_matched >= MIN_MATCH_SHARE * len(request.block_hashes):
            return Choice(engine=best_engine, estimates=(), num_matched_blocks=num_matched)
        smallest = min(
            eligible,
            key=lambda each: (self._num_blocks_sent.get(each.engine, 0), random.random()),
        )
        return Choice(engine=smallest.engine, estimates=())

    def _is_unbalanced(self, eligible: list[EngineCandidate]) -> bool:
        """Return whether loads differ by both thresholds."""
        loads = [each.num_outstanding for each in eligible]
        most = max(loads)
        least = min(loads)
        return most - least > IMBALANCE_REQUESTS and most > IMBALANCE_RATIO * least

    def _matched_blocks(
        self, request: ChoiceRequest, engines: set[EngineName]
    ) -> dict[EngineName, int]:
        """Return for each engine with a match how many leading blocks were sent to it."""
        matched: dict[EngineName, int] = {}
        remaining = engines
        for depth, block_hash in enumerate(request.block_hashes, start=1):
            holders = self._engines_by_block.get(block_hash)
            if holders is None:
                break
            remaining = remaining & holders
            if not remaining:
                break
            for engine in remaining:
                matched[engine] = depth
        return matched

    def note_sent(self, request: ChoiceRequest, engine: EngineName, now_s: float) -> None:
        """Add the prompt's blocks to the engine's tree."""
        table = self._engines_by_block
        num_blocks = len(request.block_hashes)
        self._num_blocks_sent[engine] = self._num_blocks_sent.get(engine, 0) + num_blocks
        for block_hash in request.block_hashes:
            holders = table.get(block_hash)
            if holders is None:
                table[block_hash] = {engine}
                continue
            holders.add(engine)
            table.move_to_end(block_hash)
        while len(table) > self._max_blocks:
            table.popitem(last=False)

    def note_finished(
        self, request: ChoiceRequest, engine: EngineName, num_cached_tokens: int, now_s: float
    ) -> None:
        """Nothing to learn: the published idea ignores outcomes."""
