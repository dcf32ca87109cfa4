"""The cost that the prefix-aware policy minimises: time to first token plus weighted waste."""

from collections.abc import Mapping, Sequence
from statistics import median_low

import msgspec

from weirscale.domain.choice.eligible import MIN_ADMISSION_WEIGHT, relative_load
from weirscale.domain.choice.kept_kv import ImportPlan
from weirscale.domain.choice.policy import CandidateEstimate, ChoiceRequest, EngineCandidate
from weirscale.domain.configuration.model import RoutingObjective
from weirscale.domain.identifiers import EngineName

EVICTION_SHARE = 0.1
"""Share of evicted blocks that would have been used again; a full engine evicts its least recently
used blocks, most of which would not."""

FULL_CACHE_SHARE = 0.95
"""Fill level of a cache from which new blocks cause evictions."""

CONGESTION_WEIGHT = 20.0
"""Relative increase of the waste weight per queued prompt. Repeated work delays all requests queued
behind it. If all queues are long, they never drain when prompts go to the shortest queue instead
of the engine that has their prefix cached."""

MIN_HOT_LOAD = 0.01
"""Lower bound of `hot_prefix_load`."""

BUSY_SLOT_S = 1.0
"""Wait in seconds charged for an engine without a free slot, times its outstanding requests per
slot."""


class CachedPrefix(msgspec.Struct, frozen=True):
    """Expected cached prefix of one prompt at one engine.

    Attributes:
        num_matched_blocks: Expected number of leading blocks that are cached or being computed.
        age_s: Age of the information.
    """

    num_matched_blocks: float
    age_s: float


NO_CACHED_PREFIX = CachedPrefix(0.0, 0.0)


class CostModel:
    """Estimates the costs of candidates for one request.

    Args:
        request: The request.
        objective: The deployment's weights.
        num_best_blocks: Leading blocks cached at the engine that has the most of them.
        replication_relief: Discount from 0 to 1 on the waste of computing a prefix that another
            engine has cached. At 1 the prefix is hot, and another copy does not count as waste.
        congestion: Median queue of the candidates, as a multiple of the prompt's tokens.
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

    def estimate(
        self, candidate: EngineCandidate, cached_prefix: CachedPrefix
    ) -> CandidateEstimate:
        """Return the estimate for one candidate."""
        request = self._request
        weight = max(candidate.admission_weight, MIN_ADMISSION_WEIGHT)
        tokens_per_s = candidate.prefill_tokens_per_s * weight
        matched_tokens = cached_prefix.num_matched_blocks * request.tokens_per_block
        missing_tokens = max(request.num_prompt_tokens - matched_tokens, 0.0)
        queue_s = candidate.num_waiting_prefill_tokens / tokens_per_s
        if candidate.num_outstanding >= candidate.max_concurrent_requests:
            queue_s += BUSY_SLOT_S * candidate.num_outstanding / candidate.max_concurrent_requests
        prefill_s = missing_tokens / tokens_per_s
        link_s = 2.0 * candidate.link_delay_s
        waste_s = self._waste_s(candidate, cached_prefix, missing_tokens)
        cost = self._objective.tail_weight * queue_s + prefill_s + link_s + waste_s
        return CandidateEstimate(
            engine=candidate.engine,
            cost=cost,
            num_matched_blocks=int(cached_prefix.num_matched_blocks),
            queue_s=queue_s,
            prefill_s=prefill_s,
            link_s=link_s,
            waste_s=waste_s,
            belief_age_s=cached_prefix.age_s,
        )

    def _waste_s(
        self, candidate: EngineCandidate, cached_prefix: CachedPrefix, missing_tokens: float
    ) -> float:
        """Return the weighted seconds of recomputing blocks that another engine has, and of
        evictions."""
        request = self._request
        tokens_per_s = candidate.prefill_tokens_per_s
        num_recomputed_blocks = max(self._num_best_blocks - cached_prefix.num_matched_blocks, 0.0)
        recompute_s = num_recomputed_blocks * request.tokens_per_block / tokens_per_s
        waste_s = self._recompute_weight * recompute_s
        is_full = candidate.num_cached_blocks >= FULL_CACHE_SHARE * candidate.num_total_blocks
        if is_full:
            evicted_s = EVICTION_SHARE * missing_tokens / tokens_per_s
            waste_s += self._waste_weight * evicted_s
        return waste_s


def with_import(estimate: CandidateEstimate, plan: ImportPlan | None) -> CandidateEstimate:
    """Return the estimate if a part of the prompt is imported instead of computed."""
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
    cached_prefixes: Mapping[EngineName, CachedPrefix],
) -> CostModel:
    """Return the cost model of a request.

    The relief grows with the load of the least loaded engine that has the longest cached prefix,
    and reaches 1 at `hot_prefix_load`.
    """
    num_best_blocks = 0.0
    least_load = 0.0
    for candidate in candidates:
        num_blocks = cached_prefixes.get(candidate.engine, NO_CACHED_PREFIX).num_matched_blocks
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
    """Return the lower median queue of the candidates, as a multiple of the prompt's tokens.

    With the median, a single long queue does not increase affinity: the request should go to
    another engine.
    """
    queued_tokens = [candidate.num_waiting_prefill_tokens for candidate in candidates]
    return median_low(queued_tokens) / max(request.num_prompt_tokens, 1)
