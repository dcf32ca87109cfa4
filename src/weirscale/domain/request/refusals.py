"""Constructors of refusals, the errors that callers receive, each with its remedy."""

import msgspec

from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal, RefusalCode

RETRY_SOON_S = 1.0
"""Retry-After for failures that another attempt may avoid."""

_RUN_STATUS_REMEDY = {
    RunStatus.NOT_RUN: "Send it again later; it did not run.",
    RunStatus.RAN: "Send it again only if a second run does no harm; it ran at least in part.",
    RunStatus.UNKNOWN: (
        "Find out whether it ran before sending it again, or send it again with the same "
        "Idempotency-Key."
    ),
}


def invalid_request(message: str, remedy: str, http_status: int = 400) -> Refusal:
    """Refuse input that can never be served."""
    return Refusal(RefusalCode.INVALID_REQUEST, http_status, RunStatus.NOT_RUN, message, remedy)


def body_too_large(limit_bytes: int) -> Refusal:
    """Refuse a body that exceeds the size limit."""
    return Refusal(
        RefusalCode.BODY_TOO_LARGE,
        413,
        RunStatus.NOT_RUN,
        f"The body is larger than {limit_bytes} bytes.",
        "Send a smaller body, or ask the operators to raise callers.max_body_bytes.",
    )


def headers_too_large(limit_bytes: int) -> Refusal:
    """Refuse headers that exceed the size limit."""
    return Refusal(
        RefusalCode.INVALID_REQUEST,
        431,
        RunStatus.NOT_RUN,
        f"The headers are larger than {limit_bytes} bytes.",
        "Send fewer or shorter headers.",
    )


def unauthenticated() -> Refusal:
    """Refuse a request with a missing or unknown API key."""
    return Refusal(
        RefusalCode.UNAUTHENTICATED,
        401,
        RunStatus.NOT_RUN,
        "The API key is missing or unknown.",
        "Send `Authorization: Bearer KEY` with a key of your tenant.",
    )


def unknown_model(name: str) -> Refusal:
    """Refuse a model or adapter that is not in the configuration."""
    return Refusal(
        RefusalCode.UNKNOWN_MODEL,
        404,
        RunStatus.NOT_RUN,
        f"The model {name[:100]!r} is not declared.",
        "Use a name from GET /v1/models.",
    )


def unknown_service(name: str) -> Refusal:
    """Refuse a service that is not in the configuration."""
    return Refusal(
        RefusalCode.UNKNOWN_SERVICE,
        404,
        RunStatus.NOT_RUN,
        f"The service {name[:100]!r} is not declared.",
        "Check the name after /services/ against the deployment's file.",
    )


def unknown_route(method: str, path: str) -> Refusal:
    """Refuse a path that is not served."""
    return Refusal(
        RefusalCode.UNKNOWN_ROUTE,
        404,
        RunStatus.NOT_RUN,
        f"Nothing is served at {method} {path[:200]!r}.",
        "Use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/PATH.",
    )


def method_not_allowed(method: str, allowed: str) -> Refusal:
    """Refuse a method that is not allowed for a known path."""
    return Refusal(
        RefusalCode.UNKNOWN_ROUTE,
        405,
        RunStatus.NOT_RUN,
        f"The method {method} is not allowed here.",
        f"Use {allowed}.",
    )


def body_timeout(timeout_s: float) -> Refusal:
    """Refuse a request whose body did not arrive in time."""
    return Refusal(
        RefusalCode.REQUEST_TIMEOUT,
        408,
        RunStatus.NOT_RUN,
        f"The body did not arrive within {timeout_s:g} s.",
        "Send the request again, over a better link or with a smaller body.",
    )


def draining() -> Refusal:
    """Refuse a request because the node is stopping."""
    return Refusal(
        RefusalCode.DRAINING,
        503,
        RunStatus.NOT_RUN,
        "This node is stopping and takes no new requests.",
        "Send the request to another node.",
        RETRY_SOON_S,
    )


def not_configured() -> Refusal:
    """Refuse a request because the node has no configuration yet."""
    return Refusal(
        RefusalCode.NOT_CONFIGURED,
        503,
        RunStatus.NOT_RUN,
        "This node has no configuration yet.",
        "Send the request to another node, or again in a few seconds.",
        RETRY_SOON_S,
    )


def deadline_exceeded(run_status: RunStatus) -> Refusal:
    """Refuse a request whose deadline has passed."""
    return Refusal(
        RefusalCode.DEADLINE_EXCEEDED,
        504,
        run_status,
        "The request's deadline passed before it was answered.",
        _RUN_STATUS_REMEDY[run_status] + " A longer x-deadline-ms leaves more time.",
        RETRY_SOON_S,
    )


def backend_failed(run_status: RunStatus, detail: str) -> Refusal:
    """Refuse a request that no back end answered and that may not be retried."""
    return Refusal(
        RefusalCode.BACKEND_FAILED,
        503 if run_status is RunStatus.NOT_RUN else 502,
        run_status,
        f"The back end failed: {detail}",
        _RUN_STATUS_REMEDY[run_status],
        RETRY_SOON_S,
    )


def rejected_by_engine(detail: str) -> Refusal:
    """Refuse a request that the engine rejected as invalid."""
    return Refusal(
        RefusalCode.INVALID_REQUEST,
        400,
        RunStatus.NOT_RUN,
        f"The engine rejected the request: {detail}",
        "Correct the request; sending it again unchanged fails again.",
    )


def stream_broken(detail: str) -> Refusal:
    """End an answer that was started and cannot be completed."""
    return Refusal(
        RefusalCode.STREAM_BROKEN,
        502,
        RunStatus.RAN,
        f"The answer broke off and could not be continued: {detail}",
        "Discard the partial answer. " + _RUN_STATUS_REMEDY[RunStatus.RAN],
        RETRY_SOON_S,
    )


def duplicate_completed(holder_request_id: str) -> Refusal:
    """Refuse a duplicate of a request that has run and whose answer is not stored."""
    return Refusal(
        RefusalCode.DUPLICATE_REQUEST,
        409,
        RunStatus.RAN,
        f"Request {holder_request_id} with this Idempotency-Key has run already.",
        "Do not send it again; read its outcome from the service.",
    )


def duplicate_in_progress(holder_request_id: str) -> Refusal:
    """Refuse a duplicate of a request that may still be running."""
    return Refusal(
        RefusalCode.DUPLICATE_REQUEST,
        409,
        RunStatus.UNKNOWN,
        f"Request {holder_request_id} with this Idempotency-Key may still be running.",
        "Send it again later with the same Idempotency-Key to learn its outcome.",
        RETRY_SOON_S,
    )


def duplicate_conflict() -> Refusal:
    """Refuse an idempotency key that was used with a different request."""
    return Refusal(
        RefusalCode.DUPLICATE_REQUEST,
        422,
        RunStatus.NOT_RUN,
        "This Idempotency-Key was used with a different request.",
        "Use a new Idempotency-Key for a new request.",
    )


def with_run_status(refusal: Refusal, run_status: RunStatus) -> Refusal:
    """Return the refusal with the run status of earlier attempts, unless it has its own."""
    if run_status is RunStatus.NOT_RUN or refusal.run_status is not RunStatus.NOT_RUN:
        return refusal
    return msgspec.structs.replace(
        refusal, run_status=run_status, remedy=_RUN_STATUS_REMEDY[run_status]
    )
