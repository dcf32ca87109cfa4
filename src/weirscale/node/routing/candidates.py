"""Find the engines that may take an attempt, from the directory and this node's own sends."""

from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

import msgspec

from weirscale.domain.choice.policy import EngineCandidate
from weirscale.domain.configuration.model import EngineRole
from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.health.pool import admission_weights
from weirscale.domain.health.rules import HealthRules
from weirscale.domain.identifiers import EngineName, WeightVersion, ZoneName
from weirscale.domain.request.model import GenerationRequest
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts
from weirscale.node.routing.load_estimate import LoadEstimate

FULL_WEIGHT = 1.0
"""Admission weight of an engine that is considered for every attempt."""


class GroupKey(NamedTuple):
    """Identity of block hashes: engines with equal keys hash a prompt to the same blocks.

    A tuple, because it is used as a dictionary key.
    """

    weight_version: WeightVersion
    block_size_bytes: int


class CandidateSet(msgspec.Struct):
    """Candidates of one attempt.

    Attributes:
        groups: Candidates by the identity of their block hashes.
        num_held_out: Engines of the model that are not candidates.
        num_full: Engines among `num_held_out` that are up, but full or busy.
        retry_after_s: Shortest expected time until a full engine has room or the circuit of a
            held out engine allows a trial.
    """

    groups: dict[GroupKey, list[EngineCandidate]]
    num_held_out: int = 0
    num_full: int = 0
    retry_after_s: float | None = None

    @property
    def num_candidates(self) -> int:
        """Number of candidates in all groups."""
        return sum(len(group) for group in self.groups.values())

    def add(self, block_size_bytes: int, candidate: EngineCandidate) -> None:
        """Add a candidate to the group that its block hashes belong to."""
        key = GroupKey(candidate.weight_version, block_size_bytes)
        self.groups.setdefault(key, []).append(candidate)

    def record_retry_after(self, delay_s: float) -> None:
        """Record a delay after which an engine may take work; the shortest is kept."""
        if self.retry_after_s is None or delay_s < self.retry_after_s:
            self.retry_after_s = delay_s


class LoadEstimates:
    """Load estimates by engine; owned by the routing task."""

    def __init__(self) -> None:
        self._estimates: dict[EngineName, LoadEstimate] = {}

    def of(self, facts: EngineFacts) -> LoadEstimate:
        """Return the estimate of an engine, updated from its latest report."""
        name = facts.engine.name
        estimate = self._estimates.get(name)
        if estimate is None:
            estimate = self._estimates[name] = LoadEstimate()
        if facts.report is not None and estimate.num_reports != facts.num_reports:
            estimate.record_report(
                facts.num_reports,
                facts.reported_at_s,
                facts.report.num_running + facts.report.num_waiting,
                facts.report.num_waiting_prefill_tokens,
                facts.engine.prefill_tokens_per_s,
            )
        return estimate

    def find(self, engine: EngineName) -> LoadEstimate | None:
        """Return the estimate of an engine, or None if it has none."""
        return self._estimates.get(engine)

    def retain_only(self, engines: Mapping[EngineName, EngineFacts]) -> None:
        """Drop the estimates of engines that are no longer declared."""
        for name in self._estimates.keys() - engines.keys():
            del self._estimates[name]


class CandidateFinder:
    """Finds the candidates of an attempt; owned by the routing task.

    Args:
        estimates: This node's load estimates.
        link_delay_s: One-way delay from this node to a zone.
        health_rules: Thresholds of circuits.
        random: Decides for which attempts an engine of reduced admission weight is considered.
    """

    def __init__(
        self,
        estimates: LoadEstimates,
        link_delay_s: Callable[[ZoneName], float],
        health_rules: HealthRules,
        random: Random,
    ) -> None:
        self._estimates = estimates
        self._link_delay_s = link_delay_s
        self._health_rules = health_rules
        self._random = random

    def find(
        self,
        snapshot: DirectorySnapshot,
        request: GenerationRequest,
        excluded: frozenset[EngineName],
        required_version: WeightVersion | None,
        now_s: float,
    ) -> CandidateSet:
        """Return the engines that may take an attempt.

        Engines that recover from failures are considered only for a share of the attempts, so they
        return to load slowly under every policy; they are always considered if no other engine can
        take the attempt. An engine on trial (half-open circuit) is the only candidate of its
        attempt: a policy that prefers others would otherwise never complete the trial. Trials use
        only requests that may be repeated.
        """
        names = snapshot.engines_of.get(request.model, ())
        members = [snapshot.engines[name] for name in names]
        weights = admission_weights(members, self._health_rules, now_s)
        candidate_set = CandidateSet({})
        held_back: list[tuple[int, EngineCandidate]] = []
        for facts, weight in zip(members, weights, strict=True):
            if not _can_serve(facts, request, excluded, required_version):
                candidate_set.num_held_out += 1
                continue
            estimate = self._estimates.of(facts)
            candidate = self._candidate(facts, estimate, weight, now_s, candidate_set)
            if candidate is None:
                candidate_set.num_held_out += 1
            elif weight >= FULL_WEIGHT:
                candidate_set.add(facts.engine.block_size_bytes, candidate)
            elif self._is_admitted(facts, estimate, weight, now_s):
                if request.repeatable and _is_on_trial(facts, now_s):
                    return _single_candidate_set(facts, candidate, len(members))
                candidate_set.add(facts.engine.block_size_bytes, candidate)
            else:
                held_back.append((facts.engine.block_size_bytes, candidate))
        if candidate_set.groups:
            candidate_set.num_held_out += len(held_back)
        else:
            for block_size_bytes, candidate in held_back:
                candidate_set.add(block_size_bytes, candidate)
        return candidate_set

    def _is_admitted(
        self, facts: EngineFacts, estimate: LoadEstimate, weight: float, now_s: float
    ) -> bool:
        """Return whether an engine of reduced weight is considered; one trial at a time."""
        if _is_on_trial(facts, now_s) and estimate.num_own_outstanding > 0:
            return False
        return self._random.random() < weight

    def _candidate(
        self,
        facts: EngineFacts,
        estimate: LoadEstimate,
        weight: float,
        now_s: float,
        candidate_set: CandidateSet,
    ) -> EngineCandidate | None:
        """Return a candidate, or None for an engine that is held out or full."""
        report = facts.report
        if report is None or report.weight_version is None:
            return None
        if weight == 0.0:
            _record_trial_delay(facts, now_s, candidate_set)
            return None
        num_outstanding = estimate.num_outstanding()
        if not _has_room(facts, estimate, num_outstanding, now_s, candidate_set):
            return None
        engine = facts.engine
        tokens_per_s = engine.prefill_tokens_per_s
        return EngineCandidate(
            engine=engine.name,
            zone=engine.zone,
            role=engine.role,
            incarnation=report.incarnation,
            weight_version=report.weight_version,
            link_delay_s=self._link_delay_s(engine.zone),
            num_outstanding=num_outstanding,
            num_waiting_prefill_tokens=estimate.num_waiting_prefill_tokens(now_s, tokens_per_s),
            prefill_tokens_per_s=tokens_per_s,
            max_concurrent_requests=engine.max_concurrent_requests,
            num_total_blocks=report.num_total_blocks,
            num_cached_blocks=report.num_cached_blocks,
            report_age_s=max(0.0, now_s - facts.reported_at_s),
            admission_weight=weight,
        )


def _is_on_trial(facts: EngineFacts, now_s: float) -> bool:
    return state_at(facts.circuit, now_s) is CircuitState.HALF_OPEN


def _single_candidate_set(
    facts: EngineFacts, candidate: EngineCandidate, num_members: int
) -> CandidateSet:
    """Return a set with the engine on trial as its only candidate."""
    candidate_set = CandidateSet({}, num_held_out=num_members - 1)
    candidate_set.add(facts.engine.block_size_bytes, candidate)
    return candidate_set


def _record_trial_delay(facts: EngineFacts, now_s: float, candidate_set: CandidateSet) -> None:
    """Record when the circuit of an engine that is held out allows a trial."""
    if facts.circuit.is_open and not facts.leaving.is_leaving_at(now_s):
        candidate_set.record_retry_after(facts.circuit.open_until_s - now_s)


def _can_serve(
    facts: EngineFacts,
    request: GenerationRequest,
    excluded: frozenset[EngineName],
    required_version: WeightVersion | None,
) -> bool:
    """Return whether an engine could serve the request, regardless of its health and load."""
    report = facts.report
    if report is None or facts.engine.name in excluded or facts.mismatch_since_s is not None:
        return False
    if facts.engine.role is EngineRole.PREFILL:
        return False
    if required_version is not None and report.weight_version != required_version:
        return False
    return request.adapter is None or request.adapter in report.adapters


def _has_room(
    facts: EngineFacts,
    estimate: LoadEstimate,
    num_outstanding: int,
    now_s: float,
    candidate_set: CandidateSet,
) -> bool:
    """Return whether an engine has room; if not, record when it is expected to have some."""
    if now_s < facts.busy_until_s:
        candidate_set.num_full += 1
        candidate_set.record_retry_after(facts.busy_until_s - now_s)
        return False
    if num_outstanding < facts.engine.max_concurrent_requests:
        return True
    candidate_set.num_full += 1
    if estimate.mean_duration_s > 0.0:
        candidate_set.record_retry_after(estimate.mean_duration_s / num_outstanding)
    return False
