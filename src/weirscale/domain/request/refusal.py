"""The one error that callers see: a stable code, whether the request ran, and a remedy."""

import enum

import msgspec

from weirscale.domain.request.model import RunStatus


class RefusalCode(enum.Enum):
    """Stable codes of errors towards callers; the value is what callers read."""

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
        http_status: Status for HTTP callers.
        run_status: Whether the request ran; NOT_RUN only where that is proved.
        message: What happened, one sentence.
        remedy: What the caller can do.
        retry_after_s: When to come back, or None where waiting does not help.
    """

    code: RefusalCode
    http_status: int
    run_status: RunStatus
    message: str
    remedy: str
    retry_after_s: float | None = None
