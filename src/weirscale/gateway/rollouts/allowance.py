"""How many attempts at a target one node may make, so that all nodes together stay within a share.

Each request that a node sends on for the first time earns a part of one attempt. A node begins with
a random part of one, so that rounding has no bias whatever the number of nodes, starts and kills;
docs/design/0019-version-rollouts.md bounds how far the sum may be off by that.
"""

import math

from weirscale.gateway.settings import CanaryLimits

SAFETY = 0.9
"""Share of the allowed share that is used: nodes see the same requests a little apart."""

MOST_SAVED = 3.0
"""Attempts that may be saved up: more at once would be no ordinary load of an engine."""

SPREAD_ERRORS = 5.0
"""A random start needs a tolerance of this many standard errors of the sum over all nodes."""

LARGEST_SPREAD = 0.5
"""Largest standard error that one node's random start can have."""

TOLERANCE_SHARE = 0.5
"""Share of the tolerance that is handed out at the start; the rest bears the rounding."""


def start_credit(bounds: CanaryLimits, num_nodes: int, has_seen_order: bool, drawn: float) -> float:
    """Return what a node begins with.

    Args:
        bounds: What is allowed.
        num_nodes: Nodes that may be running.
        has_seen_order: Whether this node ran when the order came. One that did not may follow on a
            run that has spent its part.
        drawn: Drawn evenly from 0 to 1.
    """
    spread = LARGEST_SPREAD * math.sqrt(max(1, num_nodes))
    if bounds.tolerance < SPREAD_ERRORS * spread:
        return 0.0
    extra = TOLERANCE_SHARE * bounds.tolerance / max(1, num_nodes)
    return drawn + (min(1.0, extra) if has_seen_order else 0.0)


class Allowance:
    """What this node may still try of one rollout.

    Args:
        share: Of the service's requests.
        credit: Attempts to begin with.
    """

    def __init__(self, share: float, credit: float) -> None:
        self._share = SAFETY * share
        self._credit = credit

    def earn(self) -> None:
        """A request is sent on for the first time."""
        self._credit = min(max(MOST_SAVED, self._credit), self._credit + self._share)

    def lose(self) -> None:
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

    def give_back(self) -> None:
        """An attempt was not made after all."""
        self._credit += 1.0
