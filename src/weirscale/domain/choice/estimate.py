"""The estimate that the prefix-aware policy minimises: time to first token plus weighted waste."""

from collections.abc import Mapping, Sequence
from statistics import median_low

import msgspec

from weirscale.domain.choice.eligible import MIN_ADMISSION_WEIGHT, relative_load
from weirscale.domain.choice.kept_kv import ImportPlan
from weirscale.domain.choice.policy import CandidateEstimate, ChoiceRequest, EngineCandidate
from weirscale.domain.configuration.model import RoutingObjective
from weirscale.domain.identifiers import EngineName

EVICTION_SHARE = 0.1
"""Share of evicted blocks that would have been asked for again; a full engine drops its least
recently used ones, most of which are not."""

FULL_CACHE_SHARE = 0.95
"""An engine evicts for new blocks when its cache is filled to this share."""

CONGESTION_WEIGHT = 20.0
"""How much dearer waste gets with each prompt that waits: work that is repeated while queues are
long delays everybody behind it, and queues that are long everywhere never drain if affinity is
given up for the shortest of them."""

MIN_HOT_LOAD = 0.01
"""Lower settings count as this one."""

BUSY_SLOT_S = 1.0
"""Wait charged for a request on an engine that has no free slot, for each multiple of its slots."""


class CachedPrefix(msgspec.Struct, frozen=True):
    """What is believed of one prompt on one engine.

    Attributes:
        num_matched_blocks: Leading blocks believed to be there or on the way.
        age_s: Age of that knowledge.
    """

    num_matched_blocks: float
    age_s: float


NO_CACHED_PREFIX = CachedPrefix(0.0, 0.0)


class CostModel:
    """Estimates candidates for one request.

    Args:
        request: The request.
        objective: The deployment's weights.
        num_best_blocks: Leading blocks on the engine that holds most.
        replication_relief: 0 where an engine without the prefix is charged in full for computing
            it again, up to 1 where the prefix is hot and another copy is wanted.
        congestion: Median queue of the candidates, in multiples of computing the whole prompt.
    """

    def __init__(
        self,
        request: ChoiceRequest,
        objective: RoutingObjective,
        num_best_blocks: float,
        replication_relief: float,
        congestion: float,
    ) -> None:
        self._request = request
        self._objective = objective
        self._num_best_blocks = num_best_blocks
        self._waste_weight = objective.waste_weight * (1.0 + CONGESTION_WEIGHT * congestion)
        self._recompute_weight = self._waste_weight * (1.0 - replication_relief)

    def estimate(self, candidate: EngineCandidate, belief: CachedPrefix) -> CandidateEstimate:
        """Estimate one candidate."""
        request = self._request
        weight = max(candidate.admission_weight, MIN_ADMISSION_WEIGHT)
        tokens_per_s = candidate.prefill_tokens_per_s * weight
        matched_tokens = belief.num_matched_blocks * request.tokens_per_block
        missing_tokens = max(request.num_prompt_tokens - matched_tokens, 0.0)
        queue_s = candidate.num_waiting_prefill_tokens / tokens_per_s
        if candidate.num_outstanding >= candidate.max_concurrent_requests:
            queue_s += BUSY_SLOT_S * candidate.num_outstanding / candidate.max_concurrent_requests
        prefill_s = missing_tokens / tokens_per_s
        link_s = 2.0 * candidate.link_delay_s
        waste_s = self._waste_s(candidate, belief, missing_tokens)
        cost = self._objective.tail_weight * queue_s + prefill_s + link_s + waste_s
        return CandidateEstimate(
            engine=candidate.engine,
            cost=cost,
            num_matched_blocks=int(belief.num_matched_blocks),
            queue_s=queue_s,
            prefill_s=prefill_s,
            link_s=link_s,
            waste_s=waste_s,
            belief_age_s=belief.age_s,
        )

    def _waste_s(
        self, candidate: EngineCandidate, belief: CachedPrefix, missing_tokens: float
    ) -> float:
        """Return weighted seconds of computing what another engine holds, and of evictions."""
        request = self._request
        tokens_per_s = candidate.prefill_tokens_per_s
        num_again_blocks = max(self._num_best_blocks - belief.num_matched_blocks, 0.0)
        again_s = num_again_blocks * request.tokens_per_block / tokens_per_s
        waste_s = self._recompute_weight * again_s
        is_full = candidate.num_cached_blocks >= FULL_CACHE_SHARE * candidate.num_total_blocks
        if is_full:
            evicted_s = EVICTION_SHARE * missing_tokens / tokens_per_s
            waste_s += self._waste_weight * evicted_s
        return waste_s


def with_import(estimate: CandidateEstimate, plan: ImportPlan | None) -> CandidateEstimate:
    """Return the estimate when a part of the prompt is imported instead of computed."""
    if plan is None:
        return estimate
    return msgspec.structs.replace(
        estimate,
        cost=estimate.cost - plan.gain_s,
        prefill_s=max(estimate.prefill_s - plan.gain_s - plan.import_s, 0.0),
        import_s=plan.import_s,
    )


def cost_model(
    request: ChoiceRequest,
    objective: RoutingObjective,
    candidates: Sequence[EngineCandidate],
    beliefs: Mapping[EngineName, CachedPrefix],
) -> CostModel:
    """Prepare the estimates of a request: who holds most, and how near to saturation they are."""
    num_best_blocks = 0.0
    least_load = 0.0
    for candidate in candidates:
        num_blocks = beliefs.get(candidate.engine, NO_CACHED_PREFIX).num_matched_blocks
        load = relative_load(candidate)
        if num_blocks > num_best_blocks:
            num_best_blocks = num_blocks
            least_load = load
        elif num_blocks == num_best_blocks:
            least_load = min(least_load, load)
    hot_load = max(objective.hot_prefix_load, MIN_HOT_LOAD)
    relief = min(least_load / hot_load, 1.0)
    congestion = _congestion(request, candidates)
    return CostModel(request, objective, num_best_blocks, relief, congestion)


def _congestion(request: ChoiceRequest, candidates: Sequence[EngineCandidate]) -> float:
    """Return the lower median queue of the candidates, in multiples of the prompt.

    The median, because one long queue among short ones calls for another engine, not for more
    affinity.
    """
    queues = [each.num_waiting_prefill_tokens for each in candidates]
    return median_low(queues) / max(request.num_prompt_tokens, 1)
