"""The token bucket from which an issuer gives out its share of a back end's request limit."""

import msgspec

BURST = 1.5
"""Permits that a bucket gathers, whatever the limit. A bucket that held no more than one would lose
what gathers between the moment at which it is full and the next asker."""

BURST_S = 0.75
"""Seconds for which it gathers beyond that. The bursts of all issuers, and the permits that are
out, stay below what a back end bears beyond its limit for some seconds: half as much again and 5
requests."""

WAIT_FACTOR = 0.05
"""Multiple, without unit, of the time in which all who wait before an asker are served that the
asker is told to wait: some of them will not come back."""

MIN_WAIT_S = 0.02
"""Shortest time in seconds that an asker is told to wait: with none it would ask over and over for
a permit that is all but there."""

MAX_WAIT_S = 15.0
"""Longest time in seconds that an asker is told to wait."""


class PermitGrant(msgspec.Struct, frozen=True):
    """What an issuer answers.

    Attributes:
        num_permits: Requests that may be sent.
        wait_s: Where that is 0: seconds until asking again makes sense.
    """

    num_permits: int
    wait_s: float = 0.0


class PermitBucket:
    """Owns the permits of one run that this node may still issue.

    It begins empty: the node may have issued some before it started again, or another node may
    have, in whose place it issues now.

    Args:
        now_s: When it is made.
    """

    def __init__(self, now_s: float) -> None:
        self._level = 0.0
        self._at_s = now_s
        self._waiting_until_s: dict[str, float] = {}

    def take(self, asker: str, num_wanted: int, rate_per_s: float, now_s: float) -> PermitGrant:
        """Take permits for a node, as many as are there of those that it wants.

        Args:
            asker: Name of the node.
            num_wanted: How many it wants.
            rate_per_s: Permits that the bucket gathers in a second, above 0.
            now_s: The time.
        """
        if self.holds_one(rate_per_s, now_s):
            num = min(max(1, num_wanted), int(self._level))
            self._level -= num
            self._waiting_until_s.pop(asker, None)
            return PermitGrant(num)
        return PermitGrant(0, self._wait_s(asker, rate_per_s, now_s))

    def holds_one(self, rate_per_s: float, now_s: float) -> bool:
        """Whether a permit could be taken now."""
        self._fill(rate_per_s, now_s)
        return self._level >= 1.0

    def take_one(self, rate_per_s: float, now_s: float) -> bool:
        """Take a permit if there is one; `rate_per_s` may be 0."""
        if not self.holds_one(rate_per_s, now_s):
            return False
        self._level -= 1.0
        return True

    def _fill(self, rate_per_s: float, now_s: float) -> None:
        filled = self._level + rate_per_s * max(0.0, now_s - self._at_s)
        self._level = min(filled, BURST + BURST_S * rate_per_s)
        self._at_s = now_s

    def _wait_s(self, asker: str, rate_per_s: float, now_s: float) -> float:
        """Have an asker come back behind those that wait already, so that not all ask at once."""
        others = {
            name: until_s
            for name, until_s in self._waiting_until_s.items()
            if until_s > now_s and name != asker
        }
        next_s = (1.0 - self._level) / rate_per_s
        after_others_s = next_s + WAIT_FACTOR * len(others) / rate_per_s
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, after_others_s))
        self._waiting_until_s = others | {asker: now_s + wait_s}
        return wait_s
