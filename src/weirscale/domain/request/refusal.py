"""The error type that callers receive: a stable code, whether the request ran, and a remedy."""

import enum

import msgspec

from weirscale.domain.request.model import RunStatus


class RefusalCode(enum.Enum):
    """Stable error codes; callers receive the value."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    TENANT_LIMIT = "tenant_limit"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND = "no_backend"
    BACKEND_FAILED = "backend_failed"
    STREAM_BROKEN = "stream_broken"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    DUPLICATE_REQUEST = "duplicate_request"
    DRAINING = "draining"
    NOT_CONFIGURED = "not_configured"
    REQUEST_TIMEOUT = "request_timeout"


class Refusal(msgspec.Struct, frozen=True):
    """A final error answer.

    Attributes:
        code: Stable code.
        http_status: HTTP status code.
        run_status: Whether the request ran; NOT_RUN only if that is proved.
        message: Description of the error in one sentence.
        remedy: What the caller can do.
        retry_after_s: Seconds after which to retry, or None if waiting does not help.
    """

    code: RefusalCode
    http_status: int
    run_status: RunStatus
    message: str
    remedy: str
    retry_after_s: float | None = None
