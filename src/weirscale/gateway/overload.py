"""Which callers are told to come back under overload, and when.

A request that waits in a long queue is late and makes others late; one that is told at once to
come back finds the queue shorter. A caller that has come back is served, and so is one whose prompt
alone takes that long to read: it would not be sooner later.
"""

from weirscale.gateway.choice import Choice
from weirscale.gateway.model import Route

OVERLOAD_FACTOR = 0.8
"""A first event estimated later than this multiple of the objective is not waited for."""

FRESH_SHARE = 0.99
"""A caller that still has this share of its route's time, and no more than all of it, asks for the
first time. One that has more may have asked before: nothing tells."""

LEAST_SHARE = 0.02
"""Least share of its time that a caller is told to stay away, so that it is known when it comes."""

MOST_SHARE = 0.3
"""Largest share of its time that a caller is told to stay away."""


def should_come_back(choice: Choice, route: Route, timeout_s: float | None) -> bool:
    """Return whether the answer would be late here and the caller has time to come back.

    Args:
        choice: The best back end and what is expected of it.
        route: The request's route.
        timeout_s: How long the caller waits, or None if it did not say.
    """
    if choice.scope is None or timeout_s is None:
        return False
    asks_first = FRESH_SHARE <= timeout_s / route.timeout_s <= 1.0
    limit_s = OVERLOAD_FACTOR * route.objective_s
    return asks_first and choice.idle_s <= limit_s < choice.estimate_s


def come_back_s(choice: Choice, timeout_s: float | None, least_s: float) -> float:
    """Return how long a caller should stay away.

    Args:
        choice: The best back end and what is expected of it.
        timeout_s: How long the caller waits, or None if it did not say.
        least_s: Least time.
    """
    wait_s = max(least_s, choice.estimate_s / 2.0)
    if timeout_s is None:
        return wait_s
    return min(MOST_SHARE * timeout_s, max(LEAST_SHARE * timeout_s, wait_s))
