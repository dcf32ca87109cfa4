"""Which candidates a request may go to, and how loaded they are; shared by all policies."""

from collections.abc import Sequence

from weirscale.domain.choice.policy import ChoiceRequest, EngineCandidate

MIN_ADMISSION_WEIGHT = 0.01
"""Lower weights count as this one, so that a returning engine is never divided by zero."""


def eligible_candidates(
    request: ChoiceRequest, candidates: Sequence[EngineCandidate]
) -> list[EngineCandidate]:
    """Return the candidates that have not failed this request.

    Engines that are full are left out as long as one is not, because they would refuse.
    """
    excluded = request.excluded
    left = [candidate for candidate in candidates if candidate.engine not in excluded]
    with_room = [
        candidate
        for candidate in left
        if candidate.num_outstanding < candidate.max_concurrent_requests
    ]
    return with_room or left


def relative_load(candidate: EngineCandidate) -> float:
    """Return outstanding requests as a share of what the engine may take now."""
    capacity = candidate.max_concurrent_requests
    weight = max(candidate.admission_weight, MIN_ADMISSION_WEIGHT)
    return candidate.num_outstanding / (capacity * weight)
