"""The prefix-aware policy: least estimated time to first token plus weighted waste.

Beliefs about caches are late and sampled, and load reports lag. Three things keep many nodes from
spoiling each other's choices without talking:

- nodes tell one another of sends that make an engine compute, so first askers at different nodes
  meet at one engine and wait for one prefill; without such notes a prefix that nobody is believed
  to hold is drawn to its rendezvous engine;
- engines without a match are considered only if rendezvous or chance proposes them, so nodes do
  not all pick the one engine that looked idle in the last report;
- among estimates that differ by less than their error, the choice is random.
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
"""Engines that rendezvous proposes for a prefix; the later ones take over when it is hot."""

NUM_RANDOM_PROPOSALS = 2
"""Engines that chance proposes, as in the power of two choices."""

MAX_ALL_PROPOSED = 9
"""Up to so many candidates all are estimated."""

NUM_OF_EQUAL_DEPTH = 3
"""Of engines that hold equally much, the ones with the shortest queues are estimated; more than
one, so that nodes do not all pick the same."""

AFFINITY_SHARE = 0.7
"""The rendezvous key is the block at the highest power of two below this share of the prompt:
the tail is mostly the caller's own, and prompts of one page share the key."""

AFFINITY_TRUST = 0.5
"""Chance that another node has just sent the same cold prefix to its rendezvous engine; counted
only where other nodes tell nothing of their sends."""

TIE_S = 0.004
"""Estimates closer than this, for each second of the load report's age, count as equal."""

MIN_TIE_S = 0.001
MAX_REPORTED_ESTIMATES = 5
"""Estimates kept in a choice for `explain`."""

FAILED_BELIEF_SHARE = 0.5
"""Below this share of predicted tokens, own recent sends to the engine are forgotten."""


TellSend = Callable[[ChoiceRequest, EngineName, int], None]
"""Takes the request, the engine and the prompt tokens that the engine has to compute."""


class PrefixAware:
    """Chooses by estimated cost.

    Args:
        beliefs: What is believed of engines' caches.
        objective: The deployment's weights.
        noted: What other nodes tell of their sends, or None without notes.
        kept_kv: What stores of kept KV cache are believed to keep, or None without stores.
        tell: Tells other nodes of a send and the prompt tokens that it makes the engine compute.
    """

    def __init__(
        self,
        beliefs: CacheView,
        objective: RoutingObjective,
        noted: PeerSends | None = None,
        tell: TellSend | None = None,
        import_planner: ImportPlanner | None = None,
    ) -> None:
        self._kept_kv = import_planner or ImportPlanner()
        self._beliefs = beliefs
        self._tell = tell
        self._runs = EngineRuns()
        self._noted = noted
        self._objective = objective
        self._recent = RecentSends()
        self._trust = MatchAccuracy()

    def set_objective(self, objective: RoutingObjective) -> None:
        """Take over changed weights."""
        self._objective = objective

    def choose(
        self,
        request: ChoiceRequest,
        candidates: Sequence[EngineCandidate],
        now_s: float,
        random: Random,
    ) -> Choice | None:
        """Choose the candidate of least cost."""
        eligible = eligible_candidates(request, candidates)
        if not eligible:
            return None
        for engine in self._runs.note(candidates, now_s):
            self._recent.forget(engine)
            self._trust.forget(engine)
        beliefs = self._prompt_beliefs(request, now_s)
        ranked = self._ranked(request, eligible, random)
        proposals = self._proposals(eligible, ranked, beliefs, random)
        proposals = [self._with_noted_load(each, now_s) for each in proposals]
        model = cost_model(request, self._objective, proposals, beliefs)
        imports = self._imports(request, proposals, beliefs, now_s)
        expected = beliefs
        if self._noted is None and not imports:
            expected = self._with_affinity(request, ranked[0].engine, beliefs)
        estimates = [
            with_import(
                model.estimate(each, expected.get(each.engine, NO_CACHED_PREFIX)),
                imports.get(each.engine),
            )
            for each in proposals
        ]
        estimates.sort(key=_cost)
        chosen = _among_ties(estimates, proposals, random)
        num_matched_blocks = beliefs.get(chosen.engine, NO_CACHED_PREFIX).num_matched_blocks
        num_promised_blocks = num_matched_blocks / self._trust.trust(chosen.engine)
        self._trust.record_prediction(
            request.request_id, chosen.engine, num_promised_blocks * request.tokens_per_block
        )
        plan = imports.get(chosen.engine)
        if plan is not None:
            self._kept_kv.record_planned_import(
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
        """Count the prompt as cached there from now on, and tell other nodes."""
        if self._tell is not None:
            belief = self._prompt_beliefs(request, now_s).get(engine, NO_CACHED_PREFIX)
            num_cached_tokens = int(belief.num_matched_blocks * request.tokens_per_block)
            self._tell(request, engine, max(request.num_prompt_tokens - num_cached_tokens, 0))
        self._recent.record_send(request.block_hashes, engine, now_s)

    def record_completion(
        self, request: ChoiceRequest, engine: EngineName, num_cached_tokens: int, now_s: float
    ) -> None:
        """Compare the belief with what was real."""
        self._kept_kv.record_served_prompt(request.block_hashes)
        if self._kept_kv.record_completion(request.request_id, engine, num_cached_tokens):
            # The cached tokens tell of the store as much as of the engine.
            self._trust.forget_prediction(request.request_id, engine)
            return
        share = self._trust.compare_with_actual(request.request_id, engine, num_cached_tokens)
        if share is not None and share < FAILED_BELIEF_SHARE:
            self._recent.forget(engine)

    def _prompt_beliefs(
        self, request: ChoiceRequest, now_s: float
    ) -> dict[EngineName, CachedPrefix]:
        """Join digests with recent sends, own and noted, all scaled by trust."""
        beliefs: dict[EngineName, CachedPrefix] = {}
        for engine, match in self._beliefs.match(request.block_hashes, now_s).items():
            num_blocks = match.num_blocks * self._trust.trust(engine)
            beliefs[engine] = CachedPrefix(num_blocks, match.age_s)
        for engine, num_sent_blocks in self._recent_matches(request.block_hashes, now_s):
            num_blocks = num_sent_blocks * self._trust.trust(engine)
            known = beliefs.get(engine, NO_CACHED_PREFIX)
            if num_blocks > known.num_matched_blocks:
                beliefs[engine] = CachedPrefix(num_blocks, 0.0)
        return beliefs

    def _imports(
        self,
        request: ChoiceRequest,
        proposals: list[EngineCandidate],
        beliefs: Mapping[EngineName, CachedPrefix],
        now_s: float,
    ) -> dict[EngineName, ImportPlan]:
        """Return the candidates for which an import beats computing."""
        num_kept_blocks = self._kept_kv.kept_depth(request.block_hashes)
        if num_kept_blocks == 0:
            return {}
        plans: dict[EngineName, ImportPlan] = {}
        for each in proposals:
            num_matched_blocks = int(beliefs.get(each.engine, NO_CACHED_PREFIX).num_matched_blocks)
            plan = self._kept_kv.plan(
                request, each, num_matched_blocks, num_kept_blocks, self._objective, now_s
            )
            if plan is not None:
                plans[each.engine] = plan
        return plans

    def _recent_matches(
        self, block_hashes: Sequence[BlockHash], now_s: float
    ) -> Iterator[tuple[EngineName, int]]:
        """Yield engines with the leading blocks sent there lately, some maybe twice."""
        yield from self._recent.match(block_hashes, now_s)
        if self._noted is None:
            return
        for engine, match in self._noted.match(block_hashes, now_s).items():
            if not self._runs.is_new(engine, now_s):
                yield engine, match.num_blocks

    def _with_noted_load(self, candidate: EngineCandidate, now_s: float) -> EngineCandidate:
        """Add to a candidate's queue what other nodes sent since its load report."""
        if self._noted is None:
            return candidate
        reported_at_s = now_s - candidate.report_age_s
        num_tokens = self._noted.num_waiting_tokens(
            candidate.engine, reported_at_s, candidate.prefill_tokens_per_s, now_s
        )
        if num_tokens == 0:
            return candidate
        num_waiting = candidate.num_waiting_prefill_tokens + num_tokens
        return msgspec.structs.replace(candidate, num_waiting_prefill_tokens=num_waiting)

    def _ranked(
        self, request: ChoiceRequest, eligible: list[EngineCandidate], random: Random
    ) -> list[EngineCandidate]:
        """Return the first candidates by rendezvous hash of the prompt's prefix."""
        key = affinity_key(request, random)
        return nlargest(
            NUM_RANKED_PROPOSALS, eligible, lambda each: rendezvous_score(key, each.engine)
        )

    def _proposals(
        self,
        eligible: list[EngineCandidate],
        ranked: list[EngineCandidate],
        beliefs: Mapping[EngineName, CachedPrefix],
        random: Random,
    ) -> list[EngineCandidate]:
        """Return the candidates worth estimating."""
        if len(eligible) <= MAX_ALL_PROPOSED:
            return eligible
        proposals = {each.engine: each for each in ranked}
        for each in random.sample(eligible, NUM_RANDOM_PROPOSALS):
            proposals[each.engine] = each
        by_depth: dict[float, list[EngineCandidate]] = {}
        for each in eligible:
            belief = beliefs.get(each.engine)
            if belief is not None:
                by_depth.setdefault(belief.num_matched_blocks, []).append(each)
        for group in by_depth.values():
            for each in nsmallest(NUM_OF_EQUAL_DEPTH, group, _waiting_tokens):
                proposals[each.engine] = each
        return list(proposals.values())

    def _with_affinity(
        self,
        request: ChoiceRequest,
        first: EngineName,
        beliefs: dict[EngineName, CachedPrefix],
    ) -> dict[EngineName, CachedPrefix]:
        """Count a cold prefix as half cached at its first engine by rendezvous hash."""
        num_blocks = affinity_depth(len(request.block_hashes))
        if num_blocks == 0:
            return beliefs
        if any(each.num_matched_blocks >= num_blocks for each in beliefs.values()):
            return beliefs
        known = beliefs.get(first, NO_CACHED_PREFIX)
        num_expected = known.num_matched_blocks + AFFINITY_TRUST * (
            num_blocks - known.num_matched_blocks
        )
        return {**beliefs, first: CachedPrefix(num_expected, known.age_s)}


def affinity_depth(num_blocks: int) -> int:
    """Return the depth of the block whose hash is the rendezvous key, 0 without one."""
    most = int(num_blocks * AFFINITY_SHARE)
    return 1 << (most.bit_length() - 1) if most else min(num_blocks, 1)


def affinity_key(request: ChoiceRequest, random: Random) -> int:
    """Return the rendezvous key of a prompt, a random one for a prompt without a full block."""
    num_blocks = affinity_depth(len(request.block_hashes))
    if num_blocks == 0:
        return random.getrandbits(64)
    return request.block_hashes[num_blocks - 1]


def _waiting_tokens(candidate: EngineCandidate) -> int:
    return candidate.num_waiting_prefill_tokens


def _cost(estimate: CandidateEstimate) -> float:
    return estimate.cost


def _among_ties(
    estimates: list[CandidateEstimate], proposals: list[EngineCandidate], random: Random
) -> CandidateEstimate:
    """Choose at random, in favour of the best, among estimates within their error."""
    age_s = max(each.report_age_s for each in proposals)
    tie_s = max(TIE_S * age_s, MIN_TIE_S)
    best_cost = estimates[0].cost
    near = [each for each in estimates if each.cost - best_cost < 3 * tie_s]
    if len(near) == 1:
        return near[0]
    weights = [math.exp((best_cost - each.cost) / tie_s) for each in near]
    return random.choices(near, weights)[0]
