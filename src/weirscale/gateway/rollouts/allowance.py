"""How many canary attempts a node may make, so that all nodes together stay within a share.

Works as a token bucket. `CanaryLimits` gives the share of a service's requests and the tolerance in
attempts. Each request that a node forwards for the first time adds `SHARE_SAFETY_FACTOR` times the
share as credit, and each attempt at the target costs 1. A node starts with a random credit below 1,
so that rounding has no bias whatever the number of nodes, starts and kills;
docs/design/0019-version-rollouts.md bounds the resulting deviation of the sum.
"""

import math

from weirscale.gateway.settings import CanaryLimits

SHARE_SAFETY_FACTOR = 0.9
"""Fraction of the allowed share that is used, since nodes see the same requests at slightly
different times."""

MAX_SAVED_ATTEMPTS = 3.0
"""Attempts that may be saved up. A larger burst would not be an ordinary load for an engine."""

TOLERANCE_STANDARD_ERRORS = 5.0
"""Standard errors of the sum over all nodes that the tolerance must cover for a random start. The
probability of a larger deviation is below 1e-10 (docs/design/0019-version-rollouts.md)."""

MAX_START_STANDARD_ERROR = 0.5
"""Largest standard error, in attempts, of one node's random start: that of a choice between two
values that differ by 1."""

START_TOLERANCE_SHARE = 0.5
"""Fraction of the tolerance that is handed out at the start. The rest absorbs the rounding."""


def start_credit(
    limits: CanaryLimits, num_nodes: int, has_seen_order: bool, random_fraction: float
) -> float:
    """Return how many attempts a node starts with.

    Args:
        limits: Allowed share and tolerance.
        num_nodes: Number of nodes that may be running.
        has_seen_order: Whether this node was running when the order arrived. Otherwise it may be
            the restart of a process that has already spent its part of the tolerance.
        random_fraction: Drawn uniformly from 0 to 1.
    """
    standard_error = MAX_START_STANDARD_ERROR * math.sqrt(max(1, num_nodes))
    if limits.tolerance < TOLERANCE_STANDARD_ERRORS * standard_error:
        return 0.0
    extra = START_TOLERANCE_SHARE * limits.tolerance / max(1, num_nodes)
    return random_fraction + (min(1.0, extra) if has_seen_order else 0.0)


class Allowance:
    """Credit of this node for attempts at one rollout's target.

    Args:
        share: Allowed share of the service's requests.
        credit: Attempts to start with.
    """

    def __init__(self, share: float, credit: float) -> None:
        self._share = SHARE_SAFETY_FACTOR * share
        self._credit = credit

    def accrue(self) -> None:
        """Add the credit for a request that is forwarded for the first time."""
        self._credit = min(max(MAX_SAVED_ATTEMPTS, self._credit), self._credit + self._share)

    def cancel_accrual(self) -> None:
        """Remove the credit of a forwarded request that reached no back end."""
        self._credit -= self._share

    def try_take(self) -> bool:
        """Spend one attempt and return True; return False if the credit is below 1."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def is_full(self) -> bool:
        """Return whether at most one more attempt can be saved up."""
        return self._credit >= MAX_SAVED_ATTEMPTS - 1.0

    def refund(self) -> None:
        """Return the credit of an attempt that was not made."""
        self._credit += 1.0
