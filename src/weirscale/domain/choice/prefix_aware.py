"""The prefix-aware policy: least estimated time to first token plus weighted waste.

Information on caches is delayed and sampled, and load reports lag. Three rules keep the independent
choices of many nodes from conflicting:

- Nodes announce sends that make an engine compute. So the first requests for a prefix, at different
  nodes, go to the same engine and wait for a single prefill. Without such announcements, a prefix
  that is presumably cached nowhere is attracted to its rendezvous engine.
- An engine without a match is considered only if it is proposed by rendezvous hashing or at random.
  So the nodes do not all choose the one engine that was idle in the last report.
- Among estimates that differ by less than their error, the choice is random.
"""

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from heapq import nlargest, nsmallest
from random import Random

import msgspec

from weirscale.domain.choice.eligible import eligible_candidates
from weirscale.domain.choice.engine_runs import EngineRuns
from weirscale.domain.choice.estimate import NO_CACHED_PREFIX, CachedPrefix, cost_model, with_import
from weirscale.domain.choice.kept_kv import ImportPlan, ImportPlanner
from weirscale.domain.choice.match_accuracy import MatchAccuracy
from weirscale.domain.choice.peer_sends import PeerSends
from weirscale.domain.choice.policy import (
    CandidateEstimate,
    Choice,
    ChoiceRequest,
    EngineCandidate,
)
from weirscale.domain.choice.recent_sends import RecentSends
from weirscale.domain.configuration.model import RoutingObjective
from weirscale.domain.identifiers import BlockHash, EngineName
from weirscale.domain.prefix.cache_view import CacheView
from weirscale.domain.rendezvous import rendezvous_score

NUM_RANKED_PROPOSALS = 3
"""Engines that rendezvous hashing proposes for a prefix; the second and third share the load of a
hot prefix."""

NUM_RANDOM_PROPOSALS = 2
"""Engines that are proposed at random, as in the power of two choices."""

MAX_UNSAMPLED_CANDIDATES = 9
"""Up to this number of candidates, all are estimated."""

NUM_PROPOSALS_PER_DEPTH = 3
"""Among engines with an equally long cached prefix, this number with the shortest queues is
estimated. It is more than one, so that the nodes do not all choose the same engine."""

AFFINITY_SHARE = 0.7
"""The rendezvous key is the block at the highest power of two within this share of the prompt. The
end of a prompt is mostly specific to the caller, while prompts for the same page share the key."""

AFFINITY_PROBABILITY = 0.5
"""Assumed probability that another node has just sent the same uncached prefix to its rendezvous
engine; used only if nodes do not announce their sends."""

TIE_S_PER_REPORT_AGE_S = 0.004
"""Estimates that differ by less than this, per second of the load report's age, count as equal."""

MIN_TIE_S = 0.001
MAX_REPORTED_ESTIMATES = 5
"""Maximum number of estimates in a choice, for `explain`."""

MIN_CACHED_SHARE = 0.5
"""If a smaller share of the predicted tokens was cached, this node's recent sends to the engine are
dropped."""


AnnounceSend = Callable[[ChoiceRequest, EngineName, int], None]
"""Announces a send, given the request, the engine and the prompt tokens that it has to compute."""


class PrefixAware:
    """Chooses the engine with the lowest estimated cost.

    Args:
        cache_view: Presumed contents of the engines' caches.
        objective: The deployment's weights.
        peer_sends: Sends announced by other nodes, or None if nodes do not announce sends.
        announce: Announces a send to the other nodes, or None.
        import_planner: Plans imports from kept-KV stores, or None without stores.
    """

    def __init__(
        self,
        cache_view: CacheView,
        objective: RoutingObjective,
        peer_sends: PeerSends | None = None,
        announce: AnnounceSend | None = None,
        import_planner: ImportPlanner | None = None,
    ) -> None:
        self._import_planner = import_planner or ImportPlanner()
        self._cache_view = cache_view
        self._announce = announce
        self._engine_runs = EngineRuns()
        self._peer_sends = peer_sends
        self._objective = objective
        self._recent_sends = RecentSends()
        self._match_accuracy = MatchAccuracy()

    def set_objective(self, objective: RoutingObjective) -> None:
        """Replace the deployment's weights."""
        self._objective = objective

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Return the candidate with the lowest cost, or None if no candidate is eligible."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        for engine in self._engine_runs.record(candidates, now_s):
            self._recent_sends.forget(engine)
            self._match_accuracy.reset(engine)
        cached_prefixes = self._cached_prefixes(request, now_s)
        ranked = self._rank_by_affinity(request, eligible, random)
        proposals = self._propose(eligible, ranked, cached_prefixes, random)
        proposals = [self._with_peer_load(candidate, now_s) for candidate in proposals]
        model = cost_model(request, self._objective, proposals, cached_prefixes)
        imports = self._plan_imports(request, proposals, cached_prefixes, now_s)
        expected = cached_prefixes
        if self._peer_sends is None and not imports:
            expected = self._with_affinity(request, ranked[0].engine, cached_prefixes)
        estimates = [
            with_import(
                model.estimate(candidate, expected.get(candidate.engine, NO_CACHED_PREFIX)),
                imports.get(candidate.engine),
            )
            for candidate in proposals
        ]
        estimates.sort(key=_cost)
        chosen = _choose_among_ties(estimates, proposals, random)
        num_matched_blocks = cached_prefixes.get(chosen.engine, NO_CACHED_PREFIX).num_matched_blocks
        num_predicted_blocks = num_matched_blocks / self._match_accuracy.accuracy(chosen.engine)
        self._match_accuracy.record_prediction(
            request.request_id, chosen.engine, num_predicted_blocks * request.tokens_per_block
        )
        plan = imports.get(chosen.engine)
        if plan is not None:
            self._import_planner.record_planned_import(
                request, chosen.engine, plan, int(num_matched_blocks), now_s
            )
        return Choice(
            engine=chosen.engine,
            estimates=tuple(estimates[:MAX_REPORTED_ESTIMATES]),
            num_matched_blocks=int(num_matched_blocks),
            estimated_ttft_s=chosen.queue_s + chosen.prefill_s + chosen.link_s + chosen.import_s,
            import_from=plan.store if plan is not None else None,
            import_block_hash=plan.block_hash if plan is not None else None,
        )

    def record_send(self, request: ChoiceRequest, engine: EngineName, now_s: float) -> None:
        """Count the prompt as cached at the engine from now on, and announce the send."""
        if self._announce is not None:
            cached_prefix = self._cached_prefixes(request, now_s).get(engine, NO_CACHED_PREFIX)
            num_cached_tokens = int(cached_prefix.num_matched_blocks * request.tokens_per_block)
            self._announce(request, engine, max(request.num_prompt_tokens - num_cached_tokens, 0))
        self._recent_sends.record_send(request.block_hashes, engine, now_s)

    def record_completion(
        self, request: ChoiceRequest, engine: EngineName, num_cached_tokens: int, now_s: float
    ) -> None:
        """Compare the predicted with the actual cached tokens of a completed request."""
        self._import_planner.record_served_prompt(request.block_hashes)
        if self._import_planner.record_completion(request.request_id, engine, num_cached_tokens):
            # Imported tokens count as cached too, so they cannot confirm the prediction.
            self._match_accuracy.discard_prediction(request.request_id, engine)
            return
        share = self._match_accuracy.compare_with_actual(
            request.request_id, engine, num_cached_tokens
        )
        if share is not None and share < MIN_CACHED_SHARE:
            self._recent_sends.forget(engine)

    def _cached_prefixes(
        self, request: ChoiceRequest, now_s: float
    ) -> dict[EngineName, CachedPrefix]:
        """Return expected cached prefixes from digests, own recent sends and announced sends.

        The numbers of blocks are scaled by the accuracy of earlier predictions for the engine.
        """
        cached_prefixes: dict[EngineName, CachedPrefix] = {}
        for engine, match in self._cache_view.match(request.block_hashes, now_s).items():
            num_blocks = match.num_blocks * self._match_accuracy.accuracy(engine)
            cached_prefixes[engine] = CachedPrefix(num_blocks, match.age_s)
        for engine, num_sent_blocks in self._recent_matches(request.block_hashes, now_s):
            num_blocks = num_sent_blocks * self._match_accuracy.accuracy(engine)
            longest = cached_prefixes.get(engine, NO_CACHED_PREFIX)
            if num_blocks > longest.num_matched_blocks:
                cached_prefixes[engine] = CachedPrefix(num_blocks, 0.0)
        return cached_prefixes

    def _plan_imports(
        self,
        request: ChoiceRequest,
        proposals: list[EngineCandidate],
        cached_prefixes: Mapping[EngineName, CachedPrefix],
        now_s: float,
    ) -> dict[EngineName, ImportPlan]:
        """Return the planned imports of the candidates for which an import saves time."""
        num_kept_blocks = self._import_planner.kept_depth(request.block_hashes)
        if num_kept_blocks == 0:
            return {}
        plans: dict[EngineName, ImportPlan] = {}
        for candidate in proposals:
            num_matched_blocks = int(
                cached_prefixes.get(candidate.engine, NO_CACHED_PREFIX).num_matched_blocks
            )
            plan = self._import_planner.plan(
                request, candidate, num_matched_blocks, num_kept_blocks, self._objective, now_s
            )
            if plan is not None:
                plans[candidate.engine] = plan
        return plans

    def _recent_matches(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Iterator[tuple[EngineName, int]]:
        """Yield engines with the leading blocks recently sent there; an engine may occur twice."""
        yield from self._recent_sends.match(block_hashes, now_s)
        if self._peer_sends is None:
            return
        for engine, match in self._peer_sends.match(block_hashes, now_s).items():
            if not self._engine_runs.is_new(engine, now_s):
                yield engine, match.num_blocks

    def _with_peer_load(self, candidate: EngineCandidate, now_s: float) -> EngineCandidate:
        """Return the candidate with other nodes' sends since its load report added to its queue."""
        if self._peer_sends is None:
            return candidate
        reported_at_s = now_s - candidate.report_age_s
        num_tokens = self._peer_sends.num_waiting_tokens(
            candidate.engine, reported_at_s, candidate.prefill_tokens_per_s, now_s
        )
        if num_tokens == 0:
            return candidate
        num_waiting = candidate.num_waiting_prefill_tokens + num_tokens
        return msgspec.structs.replace(candidate, num_waiting_prefill_tokens=num_waiting)

    def _rank_by_affinity(
        self, request: ChoiceRequest, eligible: list[EngineCandidate], random: Random
    ) -> list[EngineCandidate]:
        """Return the candidates that rank highest by rendezvous hash of the prompt's prefix."""
        key = affinity_key(request, random)
        return nlargest(
            NUM_RANKED_PROPOSALS,
            eligible,
            lambda candidate: rendezvous_score(key, candidate.engine),
        )

    def _propose(
        self,
        eligible: list[EngineCandidate],
        ranked: list[EngineCandidate],
        cached_prefixes: Mapping[EngineName, CachedPrefix],
        random: Random,
    ) -> list[EngineCandidate]:
        """Return the candidates to estimate."""
        if len(eligible) <= MAX_UNSAMPLED_CANDIDATES:
            return eligible
        proposals = {candidate.engine: candidate for candidate in ranked}
        for candidate in random.sample(eligible, NUM_RANDOM_PROPOSALS):
            proposals[candidate.engine] = candidate
        by_depth: dict[float, list[EngineCandidate]] = {}
        for candidate in eligible:
            cached_prefix = cached_prefixes.get(candidate.engine)
            if cached_prefix is not None:
                by_depth.setdefault(cached_prefix.num_matched_blocks, []).append(candidate)
        for group in by_depth.values():
            for candidate in nsmallest(NUM_PROPOSALS_PER_DEPTH, group, _waiting_tokens):
                proposals[candidate.engine] = candidate
        return list(proposals.values())

    def _with_affinity(
        self,
        request: ChoiceRequest,
        first_ranked: EngineName,
        cached_prefixes: dict[EngineName, CachedPrefix],
    ) -> dict[EngineName, CachedPrefix]:
        """Count an uncached prefix as half cached at the engine that ranks first for it."""
        num_blocks = affinity_depth(len(request.block_hashes))
        if num_blocks == 0:
            return cached_prefixes
        if any(prefix.num_matched_blocks >= num_blocks for prefix in cached_prefixes.values()):
            return cached_prefixes
        cached = cached_prefixes.get(first_ranked, NO_CACHED_PREFIX)
        num_expected = cached.num_matched_blocks + AFFINITY_PROBABILITY * (
            num_blocks - cached.num_matched_blocks
        )
        return {**cached_prefixes, first_ranked: CachedPrefix(num_expected, cached.age_s)}


def affinity_depth(num_blocks: int) -> int:
    """Return the depth of the block whose hash is the rendezvous key; 0 if there is no block."""
    max_depth = int(num_blocks * AFFINITY_SHARE)
    return 1 << (max_depth.bit_length() - 1) if max_depth else min(num_blocks, 1)


def affinity_key(request: ChoiceRequest, random: Random) -> int:
    """Return the rendezvous key of a prompt; a random key for a prompt without a full block."""
    num_blocks = affinity_depth(len(request.block_hashes))
    if num_blocks == 0:
        return random.getrandbits(64)
    return request.block_hashes[num_blocks - 1]


def _waiting_tokens(candidate: EngineCandidate) -> int:
    return candidate.num_waiting_prefill_tokens


def _cost(estimate: CandidateEstimate) -> float:
    return estimate.cost


def _choose_among_ties(
    estimates: list[CandidateEstimate], proposals: list[EngineCandidate], random: Random
) -> CandidateEstimate:
    """Choose at random among the estimates that differ by less than their error.

    Estimates with a lower cost have a higher probability.
    """
    age_s = max(candidate.report_age_s for candidate in proposals)
    tie_s = max(TIE_S_PER_REPORT_AGE_S * age_s, MIN_TIE_S)
    best_cost = estimates[0].cost
    tied = [estimate for estimate in estimates if estimate.cost - best_cost < 3 * tie_s]
    if len(tied) == 1:
        return tied[0]
    weights = [math.exp((best_cost - estimate.cost) / tie_s) for estimate in tied]
    return random.choices(tied, weights)[0]
