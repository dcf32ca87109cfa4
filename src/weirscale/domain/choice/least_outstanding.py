"""Baseline: the engine with the fewest outstanding requests for its capacity."""

from collections.abc import Sequence
from random import Random

from weirscale.domain.choice.eligible import eligible_candidates, relative_load
from weirscale.domain.choice.policy import Choice, ChoiceRequest, EngineCandidate
from weirscale.domain.choice.stateless import StatelessPolicy


class LeastOutstanding(StatelessPolicy):
    """Chooses the least loaded engine; ties are broken at random."""

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose the eligible candidate with the least relative load."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        chosen = min(eligible, key=lambda each: (relative_load(each), random.random()))
        return Choice(engine=chosen.engine, estimates=())
