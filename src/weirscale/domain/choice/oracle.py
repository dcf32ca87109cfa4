"""The limit for experiments: exact cache contents of all engines, without lag.

No node can have this knowledge; the policy weighs it exactly as the prefix-aware policy weighs
its beliefs, so the difference between the two is what late and lost knowledge costs.
"""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from weirscale.domain.choice.beliefs import PrefixMatch
from weirscale.domain.choice.eligible import eligible_candidates
from weirscale.domain.choice.estimate import NO_BELIEF, PromptBelief, cost_model
from weirscale.domain.choice.policy import Choice, ChoiceRequest, EngineCandidate
from weirscale.domain.choice.stateless import StatelessPolicy
from weirscale.domain.configuration.model import RoutingObjective
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


class OraclePolicy(StatelessPolicy):
    """Weighs exact knowledge of all engines, without proposals, trust or ties.

    Args:
        beliefs: Exact beliefs.
        objective: The deployment's weights.
    """

    def __init__(self, beliefs: ExactBeliefs, objective: RoutingObjective) -> None:
        self._beliefs = beliefs
        self._objective = objective

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose the candidate of least cost; the candidates must carry exact loads."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        matches = self._beliefs.match(request.block_hashes, now_s)
        beliefs = {
            engine: PromptBelief(match.num_blocks, match.age_s) for engine, match in matches.items()
        }
        model = cost_model(request, self._objective, eligible, beliefs)
        estimates = [model.estimate(each, beliefs.get(each.engine, NO_BELIEF)) for each in eligible]
        best = min(estimates, key=lambda each: (each.cost, random.random()))
        return Choice(
            engine=best.engine,
            estimates=(best,),
            num_matched_blocks=best.num_matched_blocks,
            estimated_ttft_s=best.queue_s + best.prefill_s + best.link_s,
        )
