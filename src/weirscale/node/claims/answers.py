"""Conversions between the ledger's values and those that request handling uses."""

from weirscale.domain.claims.model import StoredAnswer
from weirscale.domain.request.model import RunStatus, ServiceResponse
from weirscale.domain.request.refusal import Refusal, RefusalCode

DEFAULT_RETRY_AFTER_S = 1.0
"""Advice to callers when no quorum answers: about the time of one change of epoch."""
SERVICE_UNAVAILABLE = 503


def stored_answer(answer: ServiceResponse | None) -> StoredAnswer | None:
    """The kept form of an answer."""
    if answer is None:
        return None
    return StoredAnswer(answer.status, tuple(answer.headers.items()), answer.body)


def service_response(answer: StoredAnswer | None) -> ServiceResponse | None:
    """The answer in the form that callers get."""
    if answer is None:
        return None
    return ServiceResponse(answer.status, dict(answer.headers), answer.body)


def claim_unavailable(detail: str, retry_after_s: float = DEFAULT_RETRY_AFTER_S) -> Refusal:
    """The refusal when the ledger cannot tell whether a key is new."""
    return Refusal(
        RefusalCode.CLAIM_UNAVAILABLE,
        SERVICE_UNAVAILABLE,
        RunStatus.NOT_RUN,
        f"The idempotency key could not be claimed: {detail}.",
        "Send again with the same key after Retry-After; the request has not run.",
        retry_after_s,
    )
