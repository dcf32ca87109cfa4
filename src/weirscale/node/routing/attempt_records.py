"""Makes the records of decisions that the routing task remembers."""

from weirscale.domain.choice.policy import Choice
from weirscale.domain.identifiers import Incarnation, WeightVersion
from weirscale.domain.request.refusal import Refusal
from weirscale.messages.explain import AttemptRecord, AttemptResult
from weirscale.node.interfaces import AttemptOutcome
from weirscale.node.routing.candidates import CandidateSet


def record_of_choice(
    attempt: int,
    found: CandidateSet,
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
        num_candidates=found.num_candidates,
        num_held_out=found.num_held_out,
        estimates=choice.estimates,
        num_predicted_cached_tokens=num_predicted_cached_tokens,
        estimated_ttft_s=choice.estimated_ttft_s,
    )


def record_of_refusal(
    attempt: int,
    found: CandidateSet,
    required_version: WeightVersion | None,
    refusal: Refusal,
    now_s: float,
) -> AttemptRecord:
    """Return the record of an attempt that found no engine."""
    return AttemptRecord(
        attempt=attempt,
        decided_at_s=now_s,
        engine=None,
        address="",
        incarnation=None,
        weight_version=required_version,
        num_candidates=found.num_candidates,
        num_held_out=found.num_held_out,
        estimates=(),
        num_predicted_cached_tokens=0,
        estimated_ttft_s=0.0,
        refusal=refusal.code.value,
    )


def result_of(outcome: AttemptOutcome) -> AttemptResult:
    """Return what became of an attempt."""
    failure = outcome.failure
    return AttemptResult(
        failure=failure.kind.value if failure is not None else None,
        detail=failure.detail if failure is not None else "",
        num_prompt_tokens=outcome.num_prompt_tokens,
        num_cached_tokens=outcome.num_cached_tokens,
        ttft_s=outcome.ttft_s,
        duration_s=outcome.duration_s,
    )
