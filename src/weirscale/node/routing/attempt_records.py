"""Build the attempt records that the routing task keeps in its decision log."""

from weirscale.domain.choice.policy import Choice
from weirscale.domain.identifiers import Incarnation, WeightVersion
from weirscale.domain.request.refusal import Refusal
from weirscale.messages.explain import AttemptRecord, AttemptResult
from weirscale.node.interfaces import AttemptOutcome
from weirscale.node.routing.candidates import CandidateSet


def choice_record(
    attempt: int,
    candidate_set: CandidateSet,
    choice: Choice,
    address: str,
    incarnation: Incarnation,
    weight_version: WeightVersion,
    num_predicted_cached_tokens: int,
    now_s: float,
) -> AttemptRecord:
    """Return the record of an attempt that is sent."""
    return AttemptRecord(
        attempt=attempt,
        decided_at_s=now_s,
        engine=choice.engine,
        address=address,
        incarnation=incarnation,
        weight_version=weight_version,
        num_candidates=candidate_set.num_candidates,
        num_held_out=candidate_set.num_held_out,
        estimates=choice.estimates,
        num_predicted_cached_tokens=num_predicted_cached_tokens,
        estimated_ttft_s=choice.estimated_ttft_s,
    )


def refusal_record(
    attempt: int,
    candidate_set: CandidateSet,
    required_version: WeightVersion | None,
    refusal: Refusal,
    now_s: float,
) -> AttemptRecord:
    """Return the record of an attempt that was refused because no engine could take it."""
    return AttemptRecord(
        attempt=attempt,
        decided_at_s=now_s,
        engine=None,
        address="",
        incarnation=None,
        weight_version=required_version,
        num_candidates=candidate_set.num_candidates,
        num_held_out=candidate_set.num_held_out,
        estimates=(),
        num_predicted_cached_tokens=0,
        estimated_ttft_s=0.0,
        refusal=refusal.code.value,
    )


def attempt_result(outcome: AttemptOutcome) -> AttemptResult:
    """Return the result of an attempt for its record."""
    failure = outcome.failure
    return AttemptResult(
        failure=failure.kind.value if failure is not None else None,
        detail=failure.detail if failure is not None else "",
        num_prompt_tokens=outcome.num_prompt_tokens,
        num_cached_tokens=outcome.num_cached_tokens,
        ttft_s=outcome.ttft_s,
        duration_s=outcome.duration_s,
    )
