"""Eligible candidates of a request and their relative load; shared by all policies."""

from collections.abc import Sequence

from weirscale.domain.choice.policy import ChoiceRequest, EngineCandidate

MIN_ADMISSION_WEIGHT = 0.01
"""Lower bound of the admission weight, which prevents division by zero for recovering engines."""


def eligible_candidates(
    request: ChoiceRequest, candidates: Sequence[EngineCandidate]
) -> list[EngineCandidate]:
    """Return the candidates that have not failed this request.

    Full engines would refuse the request, so they are left out unless all candidates are full.
    """
    excluded = request.excluded
    remaining = [candidate for candidate in candidates if candidate.engine not in excluded]
    with_room = [
        candidate
        for candidate in remaining
        if candidate.num_outstanding < candidate.max_concurrent_requests
    ]
    return with_room or remaining


def relative_load(candidate: EngineCandidate) -> float:
    """Return the outstanding requests as a share of the engine's currently allowed concurrency."""
    capacity = candidate.max_concurrent_requests
    weight = max(candidate.admission_weight, MIN_ADMISSION_WEIGHT)
    return candidate.num_outstanding / (capacity * weight)
