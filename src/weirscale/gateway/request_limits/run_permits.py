"""The permits and queries of this node for one limited run of a back end."""

from collections import deque

import msgspec

from weirscale.gateway.request_limits.permit_bucket import PermitBucket


class OpenPermitQuery(msgspec.Struct, frozen=True):
    """A query without a reply so far.

    Attributes:
        number: Number of the query.
        issuer: Name of the issuer that it was sent to.
        sent_at_s: When it was sent.
    """

    number: int
    issuer: str
    sent_at_s: float


class RunPermits(msgspec.Struct):
    """This node's permits and queries for one limited run of a back end.

    Attributes:
        limit_per_s: The limit for which the other attributes apply.
        own_bucket: Requests that this node may send without a permit.
        expire_at_s: Expiry times of the permits held, earliest first.
        used_at_s: Times at which permits were used recently.
        needed_until_s: Time until which this node sends queries.
        query: The open query, if any.
        query_after_s: Earliest time of the next query, by issuer.
        num_owed: Requests that were sent without a permit; the next permits make up for them.
    """

    limit_per_s: float
    own_bucket: PermitBucket
    expire_at_s: deque[float] = msgspec.field(default_factory=deque)
    used_at_s: deque[float] = msgspec.field(default_factory=deque)
    needed_until_s: float = 0.0
    query: OpenPermitQuery | None = None
    query_after_s: dict[str, float] = msgspec.field(default_factory=dict)
    num_owed: int = 0

    def num_held(self, now_s: float) -> int:
        """Discard expired permits and return how many are left."""
        while self.expire_at_s and self.expire_at_s[0] <= now_s:
            self.expire_at_s.popleft()
        return len(self.expire_at_s)

    def make_up(self, own_rate_per_s: float, now_s: float) -> None:
        """Use permits for requests that were sent without one."""
        while self.num_owed and self.use_one(own_rate_per_s, now_s):
            self.num_owed -= 1

    def use_one(self, own_rate_per_s: float, now_s: float) -> bool:
        """Use a permit, and return whether there was one."""
        if self.own_bucket.take_one(own_rate_per_s, now_s):
            return True
        if not self.num_held(now_s):
            return False
        self.expire_at_s.popleft()
        return True

    def num_used(self, since_s: float) -> int:
        """Return how many of the recent uses were since a time."""
        return sum(at_s >= since_s for at_s in self.used_at_s)
