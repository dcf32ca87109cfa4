"""Baseline: an engine at random, in proportion to its admission weight."""

from collections.abc import Sequence
from random import Random

from weirscale.domain.choice.eligible import MIN_ADMISSION_WEIGHT, eligible_candidates
from weirscale.domain.choice.policy import Choice, ChoiceRequest, EngineCandidate
from weirscale.domain.choice.stateless import StatelessPolicy


class RandomChoice(StatelessPolicy):
    """Chooses at random and learns nothing."""

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose one of the eligible candidates at random."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        weights = [max(each.admission_weight, MIN_ADMISSION_WEIGHT) for each in eligible]
        chosen = random.choices(eligible, weights)[0]
        return Choice(engine=chosen.engine, estimates=())
