"""The rule of how many canary attempts a node may make; all nodes together stay within a share.

Input: `CanaryLimits`, the share of a service's requests and the tolerance in attempts. Each request
that a node sends on for the first time earns `SAFETY` times the share of one attempt, and each
attempt at the target costs one. A node begins with a random part of one, so that rounding has no
bias whatever the number of nodes, starts and kills; docs/design/0019-version-rollouts.md bounds
how far the sum may be off by that.
"""

import math

from weirscale.gateway.settings import CanaryLimits

SAFETY = 0.9
"""Part of the allowed share that is used: nodes see the same requests a little apart. Not
measured."""

MOST_SAVED = 3.0
"""Attempts that may be saved up: more at once would be no ordinary load of an engine. Not
measured."""

SPREAD_ERRORS = 5.0
"""Standard errors of the sum over all nodes that the tolerance must cover for a random start. The
sum is then off by more with a probability below 1e-10 (docs/design/0019-version-rollouts.md)."""

LARGEST_SPREAD = 0.5
"""Largest standard error, in attempts, that one node's random start can have: of two values one
apart."""

TOLERANCE_SHARE = 0.5
"""Part of the tolerance that is handed out at the start; the rest bears the rounding. Not
measured."""


def start_credit(limits: CanaryLimits, num_nodes: int, has_seen_order: bool, drawn: float) -> float:
    """Return how many attempts a node begins with.

    Args:
        limits: What is allowed.
        num_nodes: Nodes that may be running.
        has_seen_order: Whether this node ran when the order came. One that did not may follow on a
            run that has spent its part.
        drawn: Drawn evenly from 0 to 1.
    """
    spread = LARGEST_SPREAD * math.sqrt(max(1, num_nodes))
    if limits.tolerance < SPREAD_ERRORS * spread:
        return 0.0
    extra = TOLERANCE_SHARE * limits.tolerance / max(1, num_nodes)
    return drawn + (min(1.0, extra) if has_seen_order else 0.0)


class Allowance:
    """How many attempts at one rollout's target this node may make.

    Args:
        share: Of the service's requests.
        credit: Attempts to begin with.
    """

    def __init__(self, share: float, credit: float) -> None:
        self._share = SAFETY * share
        self._credit = credit

    def accrue(self) -> None:
        """A request is sent on for the first time."""
        self._credit = min(max(MOST_SAVED, self._credit), self._credit + self._share)

    def cancel_accrual(self) -> None:
        """A request that was sent on reached nobody."""
        self._credit -= self._share

    def try_take(self) -> bool:
        """Spend one attempt; False if there is none."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def is_full(self) -> bool:
        """Whether as much is saved up as an attempt can wait for."""
        return self._credit >= MOST_SAVED - 1.0

    def refund(self) -> None:
        """An attempt was not made after all."""
        self._credit += 1.0
