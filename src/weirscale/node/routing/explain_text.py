"""Render a decision record as text or as JSON."""

import msgspec

from weirscale.domain.choice.policy import CandidateEstimate
from weirscale.messages.explain import AttemptRecord, DecisionRecord


def render_json(record: DecisionRecord) -> str:
    """Return the record as one JSON object."""
    return msgspec.json.encode(record).decode()


def render_text(record: DecisionRecord) -> str:
    """Return the record as lines: the request, each attempt, its candidates and its outcome."""
    lines = [
        f"request {record.request_id} of tenant {record.tenant} for model {record.model}, "
        f"served by node {record.node}"
    ]
    for attempt in record.attempts:
        lines.extend(_attempt_lines(attempt))
    return "\n".join(lines)


def _attempt_lines(attempt: AttemptRecord) -> list[str]:
    candidates = f"{attempt.num_candidates} candidates, {attempt.num_held_out} held out"
    if attempt.engine is None:
        return [f"attempt {attempt.attempt}: refused with {attempt.refusal} ({candidates})"]
    lines = [
        f"attempt {attempt.attempt}: {attempt.engine} at {attempt.address}, "
        f"run {attempt.incarnation}, version {attempt.weight_version} ({candidates})",
        f"  expected: {attempt.num_predicted_cached_tokens} prompt tokens cached, "
        f"first token after {attempt.estimated_ttft_s:.3f} s",
        f"  outcome: {_outcome(attempt)}",
    ]
    lines.extend(_estimate_line(estimate) for estimate in attempt.estimates)
    return lines


def _outcome(attempt: AttemptRecord) -> str:
    result = attempt.result
    if result is None:
        return "still running, or its end was never reported"
    first_token = "none" if result.ttft_s is None else f"{result.ttft_s:.3f} s"
    outcome = (
        "answered" if result.failure is None else f"failed: {result.failure} ({result.detail})"
    )
    return (
        f"{outcome}; {result.num_cached_tokens} of {result.num_prompt_tokens} "
        f"prompt tokens cached, first token {first_token}, end after {result.duration_s:.3f} s"
    )


def _estimate_line(estimate: CandidateEstimate) -> str:
    return (
        f"  {estimate.engine}: cost {estimate.cost:.4f} = queue {estimate.queue_s:.4f} s, "
        f"prefill {estimate.prefill_s:.4f} s, link {estimate.link_s:.4f} s, "
        f"import {estimate.import_s:.4f} s, waste {estimate.waste_s:.4f} s; "
        f"{estimate.num_matched_blocks} blocks matched, "
        f"cache state {estimate.belief_age_s:.2f} s old"
    )
