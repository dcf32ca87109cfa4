"""The token bucket from which an issuer grants its share of a back end's request limit."""

import msgspec

BASE_BURST = 1.5
"""Permits that a bucket can accumulate, whatever the limit. A bucket that held at most one would
lose the permits that accrue between the moment it is full and the next query."""

BURST_S = 0.75
"""Seconds of the rate that a bucket can accumulate in addition. The bursts of all issuers, plus the
permits already granted, stay below what a back end tolerates beyond its limit for some seconds:
half of the limit plus 5 requests."""

WAIT_FACTOR = 0.05
"""Share of the time needed to serve all requesters that already wait. A new requester is asked to
wait for this share of it, since some of the others will not query again."""

MIN_WAIT_S = 0.02
"""Minimum wait in seconds in a reply without permits. Without it, a requester would repeat its
query in a tight loop when the next permit is almost available."""

MAX_WAIT_S = 15.0
"""Maximum wait in seconds in a reply without permits."""


class PermitGrant(msgspec.Struct, frozen=True):
    """An issuer's response to a node that needs permits.

    Attributes:
        num_permits: Number of requests that the node may send.
        wait_s: Seconds until the node should query again; 0 if `num_permits` is above 0.
    """

    num_permits: int
    wait_s: float = 0.0


class PermitBucket:
    """Owns the permits that this node may issue for one run of a back end.

    A bucket begins empty, because this node may have issued permits before a restart, or another
    node may have done so before this node became an issuer.

    Args:
        now_s: Current time.
    """

    def __init__(self, now_s: float) -> None:
        self._level = 0.0
        self._updated_at_s = now_s
        self._waiting_until_s: dict[str, float] = {}

    def take(
        self, requester: str, num_requested: int, rate_per_s: float, now_s: float
    ) -> PermitGrant:
        """Grant a node the permits that it requested, as far as they are available.

        Args:
            requester: Name of the requesting node.
            num_requested: Number of permits requested.
            rate_per_s: Permits per second that the bucket gains; must be above 0.
            now_s: Current time.
        """
        if self.has_permit(rate_per_s, now_s):
            num_granted = min(max(1, num_requested), int(self._level))
            self._level -= num_granted
            self._waiting_until_s.pop(requester, None)
            return PermitGrant(num_granted)
        return PermitGrant(0, self._wait_s(requester, rate_per_s, now_s))

    def has_permit(self, rate_per_s: float, now_s: float) -> bool:
        """Return whether the bucket holds at least one permit now."""
        self._fill(rate_per_s, now_s)
        return self._level >= 1.0

    def take_one(self, rate_per_s: float, now_s: float) -> bool:
        """Take a permit if there is one, and return whether there was; `rate_per_s` may be 0."""
        if not self.has_permit(rate_per_s, now_s):
            return False
        self._level -= 1.0
        return True

    def _fill(self, rate_per_s: float, now_s: float) -> None:
        filled = self._level + rate_per_s * max(0.0, now_s - self._updated_at_s)
        self._level = min(filled, BASE_BURST + BURST_S * rate_per_s)
        self._updated_at_s = now_s

    def _wait_s(self, requester: str, rate_per_s: float, now_s: float) -> float:
        """Return a wait that places a requester after those already waiting.

        This keeps them from all sending their queries at once.
        """
        other_waits = {
            name: until_s
            for name, until_s in self._waiting_until_s.items()
            if until_s > now_s and name != requester
        }
        next_permit_s = (1.0 - self._level) / rate_per_s
        queue_wait_s = next_permit_s + WAIT_FACTOR * len(other_waits) / rate_per_s
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, queue_wait_s))
        self._waiting_until_s = other_waits | {requester: now_s + wait_s}
        return wait_s
