"""Refusals of routing alone; nothing was sent, so each says that the request did not run."""

from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal, RefusalCode

MIN_RETRY_AFTER_S = 0.1
"""Below this a retry would only meet the same state."""

MAX_RETRY_AFTER_S = 30.0
"""Beyond this the estimate says too little to make a caller wait."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Used where nothing is known: one round of probes."""


def bounded_retry_after_s(estimate_s: float | None) -> float:
    """Return an estimate within sensible bounds."""
    if estimate_s is None:
        return DEFAULT_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, estimate_s))


def no_backend(what: str, retry_after_s: float | None) -> Refusal:
    """Every back end is down, leaving, excluded or not ready."""
    return _refusal(
        RefusalCode.NO_BACKEND,
        f"no back end of {what} is ready",
        "try again after the time given",
        bounded_retry_after_s(retry_after_s),
    )


def all_full(what: str, retry_after_s: float | None) -> Refusal:
    """Every back end that is up has as many requests as it may."""
    return _refusal(
        RefusalCode.OVERLOADED,
        f"every back end of {what} is full",
        "try again after the time given",
        bounded_retry_after_s(retry_after_s),
    )


def router_overloaded() -> Refusal:
    """The routing task lags behind its mailbox."""
    return _refusal(
        RefusalCode.OVERLOADED,
        "this node has too many requests to route",
        "try again, or another node",
        DEFAULT_RETRY_AFTER_S,
    )


def _refusal(code: RefusalCode, message: str, remedy: str, retry_after_s: float) -> Refusal:
    return Refusal(code, 503, RunStatus.NOT_RUN, message, remedy, retry_after_s)
