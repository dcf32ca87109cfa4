"""What this node may send to back ends that state a request limit.

**What is shared.** A back end's limit holds for all nodes together. **The rule.** A node sends it a
request only with a permit, and permits are issued by a few nodes that each own an equal part of the
limit. So the sum holds at any number of nodes, however uneven their callers are, and whatever is
lost: a lost message loses permits and adds none. A permit is fetched ahead, by the first request
that could use one; that request goes to another back end meanwhile, or waits if there is no other.

A permit lasts a short time, so that permits do not gather and are used all at once. Under a limit
far above the traffic each node has a small share of its own, and seldom asks (`issuers.py`).
"""

from collections import deque
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
from weirscale.gateway.request_limits.stated_limits import LimitStatement, StatedLimits

MIN_PERMIT_LIFE_S = 1.0
"""Seconds from the query in which a permit may be used, at the least."""

MAX_PERMIT_LIFE_S = 6.0
"""Longest life of a permit in seconds. In between it lasts for as long as it takes until the limit
allows one more request: a permit that nobody uses is lost to all."""

WANT_LIFE_S = 1.0
"""Seconds for which this node goes on asking after a request that wanted a permit."""

QUERY_TIMEOUT_S = 0.3
"""Seconds until an issuer counts as silent: two ticks, and the way there and back."""

SILENCE_S = 1.0
"""Seconds for which an issuer that was silent is not asked."""

AHEAD_S = 0.25
"""Seconds of requests for which permits are fetched ahead where requests follow one another."""


class OpenPermitQuery(msgspec.Struct, frozen=True):
    """A query whose reply is waited for.

    Attributes:
        number: Its number.
        issuer: Who was asked.
        asked_at_s: When.
    """

    number: int
    issuer: str
    asked_at_s: float


class AddressedQuery(msgspec.Struct, frozen=True):
    """A query and the node that it is for."""

    issuer: str
    query: PermitQuery


class _RunPermits(msgspec.Struct):
    """What this node holds and does for one limited run.

    Attributes:
        limit_per_s: The limit that the rest belongs to.
        own: What it may send without a permit.
        expire_at_s: When the permits that it holds expire, the first one first.
        taken_at_s: When permits were used of late.
        wanted_until_s: Until when it asks for permits.
        query: The open query.
        ask_after_s: By issuer: when it may be asked again.
    """

    limit_per_s: float
    own: PermitBucket
    expire_at_s: deque[float] = msgspec.field(default_factory=deque)
    taken_at_s: deque[float] = msgspec.field(default_factory=deque)
    wanted_until_s: float = 0.0
    query: OpenPermitQuery | None = None
    ask_after_s: dict[str, float] = msgspec.field(default_factory=dict)

    def num_held(self, now_s: float) -> int:
        """Return how many permits may be used now."""
        while self.expire_at_s and self.expire_at_s[0] <= now_s:
            self.expire_at_s.popleft()
        return len(self.expire_at_s)

    def num_taken(self, since_s: float) -> int:
        """Return how many permits were used since a time, at the most `AHEAD_S` ago."""
        return sum(at_s >= since_s for at_s in self.taken_at_s)


class RequestPermits:
    """Owns this node's permits.

    Args:
        name: This node.
        limits: The limits that back ends state.
        issuers: Who issues permits.
        own_issuer: This node's part in that.
        random: Draws the first number of a query and whom to ask first.
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
        """Number of the last query; None until the first is sent."""
        self._runs: dict[RunId, _RunPermits] = {}
        self._wanted = anyio.Event()
        self._changed = anyio.Event()

    def admits(self, run: RunId) -> bool:
        """Whether a request may be sent to a run now; if not, a permit is asked for."""
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            return True
        permits = self._permits_of(run, limit_per_s)
        if self._holds_one(permits, limit_per_s):
            return True
        self._want(run, permits)
        return self._holds_one(permits, limit_per_s)

    def _holds_one(self, permits: _RunPermits, limit_per_s: float) -> bool:
        now_s = self._clock()
        own_rate_per_s = self._issuers.own_rate_per_s(limit_per_s)
        return bool(permits.num_held(now_s)) or permits.own.holds_one(own_rate_per_s, now_s)

    def take(self, run: RunId) -> None:
        """Use a permit for a request that is sent to a run now."""
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None:
            return
        now_s, permits = self._clock(), self._permits_of(run, limit_per_s)
        own_rate_per_s = self._issuers.own_rate_per_s(limit_per_s)
        if permits.own.take_one(own_rate_per_s, now_s):
            return
        if permits.num_held(now_s):
            permits.expire_at_s.popleft()
        while permits.taken_at_s and permits.taken_at_s[0] < now_s - MIN_PERMIT_LIFE_S:
            permits.taken_at_s.popleft()
        is_repeated = bool(permits.taken_at_s)
        permits.taken_at_s.append(now_s)
        if is_repeated and not self._holds_one(permits, limit_per_s):
            self._want(run, permits)

    def permit_wait_s(self, run: RunId) -> float:
        """Return in how many seconds a permit may be there; 0 where it is expected at any time.

        A node may have to wait for many others before it asks again, but a caller may return to any
        node: one more request is taken somewhere as soon as the limit allows it.
        """
        limit_per_s = self._limits.limit_per_s(run)
        if limit_per_s is None or self.is_expected(run):
            return 0.0
        ask_after_s = self._runs[run].ask_after_s
        ask_at_s = min(ask_after_s.get(issuer, 0.0) for issuer in self._issuers.issuers(run))
        return min(max(0.0, ask_at_s - self._clock()), permit_life_s(limit_per_s))

    def is_expected(self, run: RunId) -> bool:
        """Whether the reply to a query for a run is waited for, or there is an issuer to ask."""
        permits = self._runs.get(run)
        if permits is None or permits.query is not None:
            return True
        return self._issuer_to_ask(run, permits) is not None

    def num_expected(self, runs: Iterable[RunId], within_s: float) -> float:
        """Return how many permits for some limited runs may be hoped for within a time.

        Other nodes' callers want them as well.
        """
        limits = [self._limits.limit_per_s(run) or 0.0 for run in runs]
        return within_s * sum(limits) / self._issuers.num_nodes()

    async def wait_until_wanted(self) -> None:
        """Wait until a permit is wanted."""
        await self._wanted.wait()

    async def wait_for_reply(self) -> None:
        """Wait until an issuer has answered, or was given up."""
        await self._changed.wait()

    def is_asking(self) -> bool:
        """Whether permits are wanted or waited for."""
        now_s = self._clock()
        return any(
            one.wanted_until_s > now_s or one.query is not None for one in self._runs.values()
        )

    def due_queries(self) -> list[AddressedQuery]:
        """Return the queries that are to be sent now."""
        self._wanted = anyio.Event()
        self._runs = {
            run: one for run, one in self._runs.items() if self._limits.limit_per_s(run) is not None
        }
        queries = []
        for run, permits in self._runs.items():
            self._give_up_silent(permits)
            query = self._next_query(run, permits)
            if query is not None:
                queries.append(query)
        return queries

    def receive(self, reply: PermitReply) -> None:
        """Take over the reply to an open query; a late one is void."""
        run = RunId(reply.run)
        permits = self._runs.get(run)
        if permits is None or permits.query is None or permits.query.number != reply.number:
            return
        query, permits.query = permits.query, None
        made_at_s = query.asked_at_s - reply.age_ms / MILLISECONDS_PER_S
        self._limits.record_peer_statement(run, LimitStatement(reply.limit_per_s, made_at_s))
        wait_s = reply.wait_ms / MILLISECONDS_PER_S
        grant = PermitGrant(reply.num_permits, wait_s)
        expires_at_s = query.asked_at_s + permit_life_s(reply.limit_per_s)
        self._take_grant(permits, query.issuer, grant, expires_at_s)

    def _take_grant(
        self, permits: _RunPermits, issuer: str, grant: PermitGrant, expires_at_s: float
    ) -> None:
        permits.expire_at_s.extend([expires_at_s] * grant.num_permits)
        permits.ask_after_s[issuer] = self._clock() + grant.wait_s
        if grant.num_permits:
            permits.wanted_until_s = 0.0
        self._tell_change()

    def _want(self, run: RunId, permits: _RunPermits) -> None:
        """Ask for permits: this node itself at once, others when `due_queries` is called next."""
        now_s = self._clock()
        if self._issuers.issues(run) and permits.ask_after_s.get(self._name, 0.0) <= now_s:
            grant = self._own_issuer.issue(run, self._name, self._num_wanted(permits))
            expires_at_s = now_s + permit_life_s(self._limits.limit_per_s(run))
            self._take_grant(permits, self._name, grant, expires_at_s)
            if grant.num_permits:
                return
        permits.wanted_until_s = now_s + WANT_LIFE_S
        self._wanted.set()

    def _num_wanted(self, permits: _RunPermits) -> int:
        return 1 + permits.num_taken(self._clock() - AHEAD_S)

    def _permits_of(self, run: RunId, limit_per_s: float) -> _RunPermits:
        permits = self._runs.get(run)
        if permits is None:
            permits = self._runs[run] = _RunPermits(limit_per_s, PermitBucket(self._clock()))
        elif permits.limit_per_s != limit_per_s:
            # How long to wait before asking again was worked out for the limit of before.
            permits.limit_per_s = limit_per_s
            permits.ask_after_s.clear()
        return permits

    def _give_up_silent(self, permits: _RunPermits) -> None:
        query, now_s = permits.query, self._clock()
        if query is not None and now_s >= query.asked_at_s + QUERY_TIMEOUT_S:
            permits.query = None
            permits.ask_after_s[query.issuer] = now_s + SILENCE_S
            self._tell_change()

    def _next_query(self, run: RunId, permits: _RunPermits) -> AddressedQuery | None:
        now_s = self._clock()
        if permits.query is not None or permits.wanted_until_s <= now_s:
            return None
        issuer = self._issuer_to_ask(run, permits)
        statement = self._limits.statement(run)
        if issuer is None or statement is None or statement.limit_per_s is None:
            return None
        number = self._next_number()
        permits.query = OpenPermitQuery(number, issuer, now_s)
        age_ms = round((now_s - statement.made_at_s) * MILLISECONDS_PER_S)
        query = PermitQuery(
            self._name, number, run, self._num_wanted(permits), statement.limit_per_s, age_ms
        )
        return AddressedQuery(issuer, query)

    def _next_number(self) -> int:
        """Return the number of the next query; the first is drawn anew in each run of the process.

        A reply to the process before must not pass for one to this.
        """
        if self._last_number is None:
            self._last_number = self._random.getrandbits(NUMBER_BITS)
        self._last_number += 1
        return self._last_number

    def _issuer_to_ask(self, run: RunId, permits: _RunPermits) -> str | None:
        now_s = self._clock()
        free = [
            issuer
            for issuer in self._issuers.issuers(run)
            if issuer != self._name and permits.ask_after_s.get(issuer, 0.0) <= now_s
        ]
        return self._random.choice(free) if free else None

    def _tell_change(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


def permit_life_s(limit_per_s: float | None) -> float:
    """Return for how many seconds from its query a permit may be used under a limit."""
    if not limit_per_s:
        return MAX_PERMIT_LIFE_S
    return min(MAX_PERMIT_LIFE_S, MIN_PERMIT_LIFE_S + 1.0 / limit_per_s)
