"""Limits what this node sends to back ends that state a request limit.

**Shared limit.** A back end's limit applies to all nodes together. **Rule.** A node sends such a
back end a request only with a permit. Permits are issued by a few nodes, each of which owns an
equal share of the limit. So the sum holds at any number of nodes, however unevenly callers are
distributed, and despite lost messages: a lost message loses permits and adds none. The first
request that could use a permit causes the query for it. Meanwhile that request goes to another back
end, or waits if there is none.

A permit expires after a short time, so nodes cannot accumulate permits and use them all at once.
Under a limit far above the traffic, each node has a small share of its own and seldom needs a query
(`issuers.py`).
"""

from collections.abc import Callable, Iterable
from random import Random

import anyio
import msgspec

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.messages import PermitQuery, PermitReply
from weirscale.gateway.peers.open_queries import NUMBER_BITS
from weirscale.gateway.request_limits.issuers import PermitIssuers
from weirscale.gateway.request_limits.permit_bucket import PermitBucket, PermitGrant
from weirscale.gateway.request_limits.permit_issuer import PermitIssuer
from weirscale.gateway.request_limits.run_permits import OpenPermitQuery, RunPermits
from weirscale.gateway.request_limits.stated_limits import LimitStatement, StatedLimits

MIN_PERMIT_LIFETIME_S = 1.0
"""Minimum lifetime of a permit in seconds, from its query on."""

MAX_PERMIT_LIFETIME_S = 6.0
"""Maximum lifetime of a permit in seconds. Between the two bounds, the lifetime includes the time
until the limit allows one more request, because an unused permit is lost to all nodes."""

NEED_DURATION_S = 1.0
"""Seconds for which this node continues to send queries after a request needed a permit."""

QUERY_TIMEOUT_S = 0.3
"""Seconds without a reply after which a query has failed: two ticks plus the round trip."""

SILENT_ISSUER_PAUSE_S = 1.0
"""Seconds for which an issuer gets no queries after it left one unanswered."""

PREFETCH_S = 0.25
"""A query fetches as many permits ahead as were used in this many seconds, plus the one needed."""


class AddressedQuery(msgspec.Struct, frozen=True):
    """A query and the name of the issuer to send it to."""

    issuer: str
    query: PermitQuery


class RequestPermits:
    """Owns the permits that this node may use.

    Args:
        name: Name of this node.
        limits: The limits that back ends state.
        issuers: Selects the nodes that issue permits.
        own_issuer: Issues permits at this node.
        random: Draws the number of the first query, and the issuer for each query.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        limits: StatedLimits,
        issuers: PermitIssuers,
        own_issuer: PermitIssuer,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._limits = limits
        self._issuers = issuers
        self._own_issuer = own_issuer
        self._random = random
        self._clock = clock
        self._last_number: int | None = None
        """Number of the last query; None until the first one."""
        self._runs: dict[RunId, RunPermits] = {}
        self._needed = anyio.Event()
        self._changed = anyio.Event()

    def admits(self, run: RunId) -> bool:
        """Return whether a request may be sent to a run now; if not, fetch a permit."""
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            return True
        permits = self._permits_of(run, limit_per_s)
        if self._has_permit(permits, limit_per_s):
            return True
        self._fetch_permit(run, permits)
        return self._has_permit(permits, limit_per_s)

    def _has_permit(self, permits: RunPermits, limit_per_s: float) -> bool:
        now_s = self._clock()
        own_rate_per_s = self._issuers.own_rate_per_s(limit_per_s)
        permits.make_up(own_rate_per_s, now_s)
        return bool(permits.num_held(now_s)) or permits.own_bucket.has_permit(own_rate_per_s, now_s)

    def has_spare(self, run: RunId) -> bool:
        """Return whether this node holds a permit of an issuer, which expires unless it is used."""
        permits = self._runs.get(run)
        return permits is not None and permits.num_held(self._clock()) > permits.num_owed

    def take(self, run: RunId) -> None:
        """Use a permit for a request that is being sent to a run, or owe one."""
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            return
        now_s, permits = self._clock(), self._permits_of(run, limit_per_s)
        own_rate_per_s = self._issuers.own_rate_per_s(limit_per_s)
        if permits.own_bucket.take_one(own_rate_per_s, now_s):
            return
        if not permits.use_one(own_rate_per_s, now_s):
            permits.num_owed += 1
        while permits.used_at_s and permits.used_at_s[0] < now_s - MIN_PERMIT_LIFETIME_S:
            permits.used_at_s.popleft()
        was_used_recently = bool(permits.used_at_s)
        permits.used_at_s.append(now_s)
        if was_used_recently and not self._has_permit(permits, limit_per_s):
            self._fetch_permit(run, permits)

    def permit_wait_s(self, run: RunId) -> float:
        """Return the seconds until a permit may be available; 0 if one may arrive at any time.

        The result is at most the lifetime of a permit. This node may have to wait for many other
        nodes before its next query, but a caller may retry at any node, and some node can send one
        more request as soon as the limit allows it.
        """
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None or self.is_permit_expected(run):
            return 0.0
        query_after_s = self._runs[run].query_after_s
        query_at_s = min(query_after_s.get(issuer, 0.0) for issuer in self._issuers.issuers(run))
        return min(max(0.0, query_at_s - self._clock()), permit_lifetime_s(limit_per_s))

    def is_permit_expected(self, run: RunId) -> bool:
        """Return whether a query for a run is open, or could be sent now."""
        permits = self._runs.get(run)
        if permits is None or permits.query is not None:
            return True
        return self._available_issuer(run, permits) is not None

    def num_expected(self, runs: Iterable[RunId], within_s: float) -> float:
        """Return how many permits for some limited runs this node can expect within a time.

        The result is an equal part, because the other nodes' callers need permits as well.
        """
        limits = [self._limits.limit_per_s(run) or 0.0 for run in runs]
        return within_s * sum(limits) / self._issuers.num_nodes()

    async def wait_until_needed(self) -> None:
        """Wait until a permit is needed."""
        await self._needed.wait()

    async def wait_for_reply(self) -> None:
        """Wait until an issuer has replied, or a query has failed."""
        await self._changed.wait()

    def is_fetching(self) -> bool:
        """Return whether permits are needed or a query is open."""
        now_s = self._clock()
        return any(
            permits.needed_until_s > now_s or permits.query is not None
            for permits in self._runs.values()
        )

    def due_queries(self) -> list[AddressedQuery]:
        """Return the queries to send now; expire unanswered ones and drop runs without a limit."""
        self._needed = anyio.Event()
        self._runs = {
            run: permits
            for run, permits in self._runs.items()
            if self._limits.limit_per_s(run) is not None
        }
        queries = []
        for run, permits in self._runs.items():
            self._expire_query(permits)
            query = self._next_query(run, permits)
            if query is not None:
                queries.append(query)
        return queries

    def receive(self, reply: PermitReply) -> None:
        """Apply the reply to an open query; ignore late replies."""
        run = RunId(reply.run)
        permits = self._runs.get(run)
        if permits is None or permits.query is None or permits.query.number != reply.number:
            return
        query, permits.query = permits.query, None
        made_at_s = query.sent_at_s - reply.age_ms / MILLISECONDS_PER_S
        self._limits.record_peer_statement(run, LimitStatement(reply.limit_per_s, made_at_s))
        wait_s = reply.wait_ms / MILLISECONDS_PER_S
        grant = PermitGrant(reply.num_permits, wait_s)
        expires_at_s = query.sent_at_s + permit_lifetime_s(reply.limit_per_s)
        self._store_grant(permits, query.issuer, grant, expires_at_s)

    def _store_grant(
        self, permits: RunPermits, issuer: str, grant: PermitGrant, expires_at_s: float
    ) -> None:
        permits.expire_at_s.extend([expires_at_s] * grant.num_permits)
        permits.query_after_s[issuer] = self._clock() + grant.wait_s
        if grant.num_permits:
            permits.needed_until_s = 0.0
        self._notify_change()

    def _fetch_permit(self, run: RunId, permits: RunPermits) -> None:
        """Get a permit from this node's own issuer if possible; otherwise note that one is needed.

        `due_queries` then returns a query to another issuer.
        """
        now_s = self._clock()
        if self._issuers.is_issuer(run) and permits.query_after_s.get(self._name, 0.0) <= now_s:
            grant = self._own_issuer.issue(run, self._name, self._num_to_fetch(permits))
            expires_at_s = now_s + permit_lifetime_s(self._limits.limit_per_s(run))
            self._store_grant(permits, self._name, grant, expires_at_s)
            if grant.num_permits:
                return
        permits.needed_until_s = now_s + NEED_DURATION_S
        self._needed.set()

    def _num_to_fetch(self, permits: RunPermits) -> int:
        return 1 + permits.num_owed + permits.num_used(self._clock() - PREFETCH_S)

    def _permits_of(self, run: RunId, limit_per_s: float) -> RunPermits:
        permits = self._runs.get(run)
        if permits is None:
            permits = self._runs[run] = RunPermits(limit_per_s, PermitBucket(self._clock()))
        elif permits.limit_per_s != limit_per_s:
            # The waits before the next queries were computed for the previous limit.
            permits.limit_per_s = limit_per_s
            permits.query_after_s.clear()
        return permits

    def _expire_query(self, permits: RunPermits) -> None:
        query, now_s = permits.query, self._clock()
        if query is not None and now_s >= query.sent_at_s + QUERY_TIMEOUT_S:
            permits.query = None
            permits.query_after_s[query.issuer] = now_s + SILENT_ISSUER_PAUSE_S
            self._notify_change()

    def _next_query(self, run: RunId, permits: RunPermits) -> AddressedQuery | None:
        now_s = self._clock()
        if permits.query is not None or permits.needed_until_s <= now_s:
            return None
        issuer = self._available_issuer(run, permits)
        statement = self._limits.statement(run)
        if issuer is None or statement is None or statement.limit_per_s is None:
            return None
        number = self._next_number()
        permits.query = OpenPermitQuery(number, issuer, now_s)
        age_ms = round((now_s - statement.made_at_s) * MILLISECONDS_PER_S)
        query = PermitQuery(
            self._name, number, run, self._num_to_fetch(permits), statement.limit_per_s, age_ms
        )
        return AddressedQuery(issuer, query)

    def _next_number(self) -> int:
        """Return the number of the next query.

        Each process draws its first number at random, so it does not accept a reply to a query of
        the previous process.
        """
        if self._last_number is None:
            self._last_number = self._random.getrandbits(NUMBER_BITS)
        self._last_number += 1
        return self._last_number

    def _available_issuer(self, run: RunId, permits: RunPermits) -> str | None:
        now_s = self._clock()
        available = [
            issuer
            for issuer in self._issuers.issuers(run)
            if issuer != self._name and permits.query_after_s.get(issuer, 0.0) <= now_s
        ]
        return self._random.choice(available) if available else None

    def _notify_change(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


def permit_lifetime_s(limit_per_s: float | None) -> float:
    """Return the lifetime of a permit under a limit, in seconds from its query on."""
    if not limit_per_s:
        return MAX_PERMIT_LIFETIME_S
    return min(MAX_PERMIT_LIFETIME_S, MIN_PERMIT_LIFETIME_S + 1.0 / limit_per_s)
