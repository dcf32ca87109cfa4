"""Baseline: affinity of a prompt's root to engines by rendezvous hash, with bounded load."""

import math
from collections.abc import Sequence
from random import Random

from weirscale.domain.choice.eligible import eligible_candidates
from weirscale.domain.choice.policy import Choice, ChoiceRequest, EngineCandidate
from weirscale.domain.choice.stateless import StatelessPolicy
from weirscale.domain.rendezvous import rendezvous_score

DEFAULT_LOAD_BOUND = 1.25
"""An engine takes at most this multiple of the mean load, as in published bounded-load hashing."""


class RendezvousBounded(StatelessPolicy):
    """Sends prompts with one root to one engine until that is loaded above the bound.

    Args:
        num_root_blocks: Depth of the block whose hash is the key.
        load_bound: Multiple of the mean load that an engine may have.
    """

    def __init__(self, num_root_blocks: int = 1, load_bound: float = DEFAULT_LOAD_BOUND) -> None:
        self._num_root_blocks = num_root_blocks
        self._load_bound = load_bound

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose the best-ranked eligible candidate whose load is within the bound."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        key = self._key(request, random)
        num_outstanding = sum(each.num_outstanding for each in eligible) + 1
        most = math.ceil(self._load_bound * num_outstanding / len(eligible))
        within = [each for each in eligible if each.num_outstanding < most] or eligible
        chosen = max(within, key=lambda each: rendezvous_score(key, each.engine))
        return Choice(engine=chosen.engine, estimates=())

    def _key(self, request: ChoiceRequest, random: Random) -> int:
        """Return the root block's hash, or a random key for a prompt without a full block."""
        num_blocks = len(request.block_hashes)
        if num_blocks == 0:
            return random.getrandbits(64)
        return request.block_hashes[min(self._num_root_blocks, num_blocks) - 1]
