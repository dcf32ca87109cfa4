"""Refusals by the routing tasks; nothing was sent, so each states that the request did not run."""

from weirscale.domain.request.model import RunStatus
from weirscale.domain.request.refusal import Refusal, RefusalCode

MIN_RETRY_AFTER_S = 0.1
"""A retry after a shorter time would find the same state."""

MAX_RETRY_AFTER_S = 30.0
"""Longer estimates are too uncertain to make a caller wait for them."""

DEFAULT_RETRY_AFTER_S = 1.0
"""Used without an estimate; one round of probes."""


def bounded_retry_after_s(estimate_s: float | None) -> float:
    """Return the estimate limited to the bounds above, or the default if there is none."""
    if estimate_s is None:
        return DEFAULT_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, estimate_s))


def no_backend(target: str, retry_after_s: float | None) -> Refusal:
    """Return the refusal for when every back end is down, leaving, excluded or not ready."""
    return _refusal(
        RefusalCode.NO_BACKEND,
        f"no back end of {target} is ready",
        "try again after the time given",
        bounded_retry_after_s(retry_after_s),
    )


def all_full(target: str, retry_after_s: float | None) -> Refusal:
    """Return the refusal for when every back end that is up has reached its request limit."""
    return _refusal(
        RefusalCode.OVERLOADED,
        f"every back end of {target} is full",
        "try again after the time given",
        bounded_retry_after_s(retry_after_s),
    )


def router_overloaded() -> Refusal:
    """Return the refusal for when the mailbox of the routing task is full."""
    return _refusal(
        RefusalCode.OVERLOADED,
        "this node has too many requests to route",
        "try again, or another node",
        DEFAULT_RETRY_AFTER_S,
    )


def _refusal(code: RefusalCode, message: str, remedy: str, retry_after_s: float) -> Refusal:
    return Refusal(code, 503, RunStatus.NOT_RUN, message, remedy, retry_after_s)
