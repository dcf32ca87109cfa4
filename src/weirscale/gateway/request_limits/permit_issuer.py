"""Issues this node's share of the permits for back ends that state a request limit."""

from collections.abc import Callable

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.recent_runs import RecentRuns
from weirscale.gateway.request_limits.issuers import PermitIssuers
from weirscale.gateway.request_limits.permit_bucket import PermitBucket, PermitGrant
from weirscale.gateway.request_limits.stated_limits import StatedLimits

MIN_LIMIT_PER_S = 0.1
"""Minimum limit in requests per second, whatever a back end states. A back end that gets no
requests could not state a higher limit in an answer."""

NOT_ISSUER_WAIT_S = 1.0
"""Wait in seconds for a requester that wrongly considers this node an issuer. By then both nodes
have read the same registrations."""


class PermitIssuer:
    """Owns a permit bucket for each limited run of a back end that this node issues permits for.

    Args:
        limits: The limits that back ends state.
        issuers: Decides whether this node issues permits for a run.
        clock: Monotonic seconds.
    """

    def __init__(
        self, limits: StatedLimits, issuers: PermitIssuers, clock: Callable[[], float]
    ) -> None:
        self._limits = limits
        self._issuers = issuers
        self._clock = clock
        self._buckets: RecentRuns[PermitBucket] = RecentRuns()

    def issue(self, run: RunId, requester: str, num_requested: int) -> PermitGrant:
        """Return the permits granted to a node for a run; 0 without a wait if it has no limit."""
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            self._buckets.pop(run)
            return PermitGrant(0)
        if not self._issuers.is_issuer(run):
            return PermitGrant(0, NOT_ISSUER_WAIT_S)
        rate_per_s = self._issuers.rate_per_s(max(MIN_LIMIT_PER_S, limit_per_s))
        return self._bucket(run).take(requester, num_requested, rate_per_s, self._clock())

    def _bucket(self, run: RunId) -> PermitBucket:
        bucket = self._buckets.get(run)
        if bucket is None:
            bucket = PermitBucket(self._clock())
            self._buckets.put(run, bucket)
        return bucket
