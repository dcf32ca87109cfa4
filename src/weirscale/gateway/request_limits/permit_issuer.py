"""Issues permits for the back ends whose request limits this node has a share of."""

from collections.abc import Callable

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.recent_runs import RecentRuns
from weirscale.gateway.request_limits.issuers import PermitIssuers
from weirscale.gateway.request_limits.permit_bucket import PermitBucket, PermitGrant
from weirscale.gateway.request_limits.stated_limits import StatedLimits

MIN_LIMIT_PER_S = 0.1
"""Least requests a second that are sent, whatever is stated: a back end that takes none could not
say that it takes some again."""

NO_ISSUER_WAIT_S = 1.0
"""Seconds that an asker waits which takes this node for an issuer and is wrong: by then both have
read the same registrations."""


class PermitIssuer:
    """Owns the buckets.

    Args:
        limits: The limits.
        issuers: Tells whether this node issues permits for a run.
        clock: Monotonic seconds.
    """

    def __init__(
        self, limits: StatedLimits, issuers: PermitIssuers, clock: Callable[[], float]
    ) -> None:
        self._limits = limits
        self._issuers = issuers
        self._clock = clock
        self._buckets: RecentRuns[PermitBucket] = RecentRuns()

    def issue(self, run: RunId, asker: str, num_wanted: int) -> PermitGrant:
        """Return the permits that a node gets for a run; none are needed where it has no limit."""
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            self._buckets.pop(run)
            return PermitGrant(0)
        if not self._issuers.issues(run):
            return PermitGrant(0, NO_ISSUER_WAIT_S)
        rate_per_s = self._issuers.rate_per_s(max(MIN_LIMIT_PER_S, limit_per_s))
        return self._bucket(run).take(asker, num_wanted, rate_per_s, self._clock())

    def _bucket(self, run: RunId) -> PermitBucket:
        bucket = self._buckets.get(run)
        if bucket is None:
            bucket = PermitBucket(self._clock())
            self._buckets.put(run, bucket)
        return bucket
