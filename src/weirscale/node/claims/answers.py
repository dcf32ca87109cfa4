"""Conversions between the claim ledger's values and those of request handling."""

from weirscale.domain.claims.model import StoredAnswer
from weirscale.domain.request.model import RunStatus, ServiceResponse
from weirscale.domain.request.refusal import Refusal, RefusalCode

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After when no quorum answers: about the duration of one epoch change."""
SERVICE_UNAVAILABLE = 503


def to_stored_answer(answer: ServiceResponse | None) -> StoredAnswer | None:
    """Convert an answer to the form that is stored with its claim."""
    if answer is None:
        return None
    return StoredAnswer(answer.status, tuple(answer.headers.items()), answer.body)


def to_service_response(answer: StoredAnswer | None) -> ServiceResponse | None:
    """Convert a stored answer to the response for the caller."""
    if answer is None:
        return None
    return ServiceResponse(answer.status, dict(answer.headers), answer.body)


def claim_unavailable(detail: str, retry_after_s: float = DEFAULT_RETRY_AFTER_S) -> Refusal:
    """Return the refusal for a key that may or may not have been claimed before."""
    return Refusal(
        RefusalCode.CLAIM_UNAVAILABLE,
        SERVICE_UNAVAILABLE,
        RunStatus.NOT_RUN,
        f"The idempotency key could not be claimed: {detail}.",
        "Send again with the same key after Retry-After; the request has not run.",
        retry_after_s,
    )
