"""A zone's part of one tenant's limits, kept by the zone's home for that tenant.

Every token and slot is in exactly one place: in a pool, at a node, or lost in transit. So messages
that are lost, duplicated or late lower what the tenant gets and never raise it.

Tokens are granted permanently. Slots are leased: a borrower counts its lease from the time at which
it sent the demand. The pool counts from the receipt of that demand, which is later.
"""

import math

import msgspec

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import NodeAddress
from weirscale.domain.limits.allowance import PROMPT_BURST_S
from weirscale.domain.limits.node_fairness import NodeFairness
from weirscale.domain.limits.token_bucket import TokenBucket
from weirscale.domain.limits.zone_share import (
    ZoneShare,
    part_of,
    standing_requests,
    standing_slots,
)
from weirscale.messages.limits import TenantDemand, TenantGrant

NODE_LEASE_S = 5.0
"""How long a node may use leased slots without a new grant."""
HOME_LEASE_S = 15.0
"""How long a home may use another zone's slots without a new grant; covers its nodes' leases."""
UNMET_DEMAND_TTL_S = 2.0
"""How long an unmet demand for tokens counts. While it does, the home borrows tokens for it and
grants none to other zones."""
TAKEOVER_SHARE = 0.5
"""Part of the zone's limits that a new home grants before its predecessor's leases end."""
MIN_BORROW_WAIT_S = 0.25
"""Minimum time between two demands to other zones; above a round trip between regions."""
MAX_BORROW_WAIT_S = 4.0
"""Maximum time between demands, reached by doubling while other zones have nothing to spare."""
BORROWED_TOKENS_TTL_S = 2.0
"""How long tokens from other zones are kept before they expire."""


class _Loan(msgspec.Struct, frozen=True):
    """Slots lent to a node or to another zone's home."""

    slots: int
    expires_at_s: float
    wanted: int


class _Shortfall(msgspec.Struct, frozen=True):
    """Tokens that a node asked for and did not get."""

    num_requests: int
    num_prompt_tokens: int
    at_s: float


class SharePool:
    """The zone's part of one tenant's limits.

    Args:
        tenant: The tenant as configured.
        share: The zone's part of every limit.
        now_s: When this node became the tenant's home.
    """

    def __init__(self, tenant: Tenant, share: ZoneShare, now_s: float) -> None:
        self.tenant = tenant
        self._created_at_s = now_s
        self._requests: TokenBucket | None = None
        self._prompt_tokens: TokenBucket | None = None
        self._slots: int | None = None
        self._loans: dict[NodeAddress, _Loan] = {}
        self._fairness = NodeFairness()
        self._borrowed_slots: dict[NodeAddress, _Loan] = {}
        self._returned_slots: dict[NodeAddress, _Loan] = {}
        self._borrowed_requests = 0
        self._borrowed_prompt_tokens = 0
        self._borrowed_at_s = now_s
        self._shortfalls: dict[NodeAddress, _Shortfall] = {}
        self._borrow_wait_s = MIN_BORROW_WAIT_S
        self._borrow_at_s = now_s
        self._create_limits(tenant, share, now_s)

    def _create_limits(self, tenant: Tenant, share: ZoneShare, now_s: float) -> None:
        if tenant.requests_per_s is not None:
            pooled = tenant.burst_requests - standing_requests(tenant, share) * share.max_nodes
            depth = max(1.0, pooled / share.num_zones)
            initial = max(1.0, depth * TAKEOVER_SHARE)
            rate_per_s = tenant.requests_per_s / share.num_zones
            self._requests = TokenBucket(rate_per_s, depth, now_s, initial)
        if tenant.prompt_tokens_per_s is not None:
            rate_per_s = tenant.prompt_tokens_per_s / share.num_zones
            depth = rate_per_s * PROMPT_BURST_S
            self._prompt_tokens = TokenBucket(rate_per_s, depth, now_s, depth * TAKEOVER_SHARE)
        if tenant.max_concurrent_requests is not None:
            standing = standing_slots(tenant, share) * share.max_nodes
            pooled_slots = tenant.max_concurrent_requests - standing
            self._slots = part_of(pooled_slots, share.index, share.num_zones)

    def grant(
        self, source: NodeAddress, is_home: bool, demand: TenantDemand, now_s: float
    ) -> TenantGrant:
        """Answer a demand of a node, or of another zone's home, which gets only spare tokens."""
        self._drop_expired(now_s)
        if is_home:
            num_requests = self._grant_spare(self._requests, demand.num_requests, now_s)
            num_prompt_tokens = self._grant_spare(
                self._prompt_tokens, demand.num_prompt_tokens, now_s
            )
        else:
            num_requests = self._grant_requests(source, demand.num_requests, now_s)
            num_prompt_tokens = self._grant_prompt_tokens(demand.num_prompt_tokens, now_s)
            self._record_unmet(source, demand, num_requests, num_prompt_tokens, now_s)
        slots = self._lend(source, is_home, demand, now_s)
        return TenantGrant(
            demand.tenant, num_requests, num_prompt_tokens, slots, self._expected_rate()
        )

    def unmet(self, now_s: float) -> tuple[int, int, int]:
        """Return the request tokens, prompt tokens and slots that this zone's nodes lack now."""
        self._drop_expired(now_s)
        slots = 0
        if self._slots is not None:
            wanted = sum(loan.wanted for loan in self._loans.values())
            slots = max(0, min(wanted, self._limit_slots()) - self._owned_slots(now_s))
        shortfalls = self._shortfalls.values()
        requests = sum(shortfall.num_requests for shortfall in shortfalls) - self._borrowed_requests
        tokens = (
            sum(shortfall.num_prompt_tokens for shortfall in shortfalls)
            - self._borrowed_prompt_tokens
        )
        return max(0, requests), max(0, tokens), slots

    def borrowed_from(self, home: NodeAddress, now_s: float) -> int:
        """Return how many slots of another zone this zone's nodes may still use.

        Returned slots count until the nodes' leases on them have ended.
        """
        loans = (self._borrowed_slots.get(home), self._returned_slots.get(home))
        return max(
            (loan.slots for loan in loans if loan is not None and loan.expires_at_s > now_s),
            default=0,
        )

    def is_borrowing_due(self, now_s: float) -> bool:
        """Return whether to ask other zones now, and schedule the next demand.

        The interval doubles with each call; a grant resets it.
        """
        if now_s < self._borrow_at_s or not any(self.unmet(now_s)):
            return False
        self._borrow_at_s = now_s + self._borrow_wait_s
        self._borrow_wait_s = min(MAX_BORROW_WAIT_S, 2 * self._borrow_wait_s)
        return True

    def demand_per_home(self, num_homes: int, now_s: float) -> tuple[int, int, int]:
        """Return what to ask each of `num_homes` other homes for, beyond what they lend already."""
        return tuple(math.ceil(shortfall / num_homes) for shortfall in self.unmet(now_s))  # type: ignore[return-value]

    def needs_borrowed_slots(self, now_s: float) -> bool:
        """Return whether this zone's nodes use or want more slots than the zone owns."""
        if self._slots is None:
            return False
        self._drop_expired(now_s)
        return sum(max(loan.slots, loan.wanted) for loan in self._loans.values()) > self._slots

    def add_borrowed(
        self, home: NodeAddress, granted: TenantGrant, sent_at_s: float, now_s: float
    ) -> None:
        """Add what another zone's home granted in answer to a demand sent at `sent_at_s`."""
        self._borrowed_requests += granted.num_requests
        self._borrowed_prompt_tokens += granted.num_prompt_tokens
        self._borrowed_at_s = now_s
        before = self.borrowed_from(home, now_s)
        if granted.num_requests or granted.num_prompt_tokens or granted.slots > before:
            self._borrow_wait_s = MIN_BORROW_WAIT_S
            self._borrow_at_s = min(self._borrow_at_s, now_s + MIN_BORROW_WAIT_S)
        if before > granted.slots:
            self._returned_slots[home] = _Loan(before, now_s + NODE_LEASE_S, 0)
        expires_at_s = sent_at_s + HOME_LEASE_S
        self._borrowed_slots[home] = _Loan(granted.slots, expires_at_s, 0)

    def _lend(self, source: NodeAddress, is_home: bool, demand: TenantDemand, now_s: float) -> int:
        if self._slots is None:
            return 0
        lent_to_others = sum(loan.slots for other, loan in self._loans.items() if other != source)
        free = self._available_slots(is_home, now_s) - lent_to_others
        slots = max(0, min(demand.slots_wanted, free))
        if self._has_unmet_others(source):
            fair = slots // 2 if is_home else self._fair_slots(source, now_s)
            slots = min(slots, fair)
        lease_s = HOME_LEASE_S if is_home else NODE_LEASE_S
        counted = max(slots, demand.slots_held)
        if counted or demand.slots_wanted:
            self._loans[source] = _Loan(counted, now_s + lease_s, demand.slots_wanted)
        else:
            self._loans.pop(source, None)
        return slots

    def _available_slots(self, is_home: bool, now_s: float) -> int:
        """Return the total number of slots to lend.

        Other zones get only the zone's own slots, never borrowed ones. While leases of the previous
        home may still run, only a part of the own slots is lent.
        """
        own = self._slots or 0
        if own and now_s - self._created_at_s < NODE_LEASE_S:
            own = max(1, math.floor(own * TAKEOVER_SHARE))
        return own if is_home else own + self._num_borrowed_slots(now_s)

    def _owned_slots(self, now_s: float) -> int:
        return (self._slots or 0) + self._num_borrowed_slots(now_s)

    def _num_borrowed_slots(self, now_s: float) -> int:
        """Return the number of slots borrowed for long enough to cover a node's whole lease."""
        return sum(
            loan.slots
            for loan in self._borrowed_slots.values()
            if loan.expires_at_s - NODE_LEASE_S > now_s
        )

    def _limit_slots(self) -> int:
        return self.tenant.max_concurrent_requests or 0

    def _has_unmet_others(self, source: NodeAddress) -> bool:
        return any(
            loan.wanted > loan.slots for other, loan in self._loans.items() if other != source
        )

    def _fair_slots(self, source: NodeAddress, now_s: float) -> int:
        num_demanding = len({*self._loans, source})
        return max(1, self._owned_slots(now_s) // num_demanding)

    def _grant_requests(self, source: NodeAddress, wanted: int, now_s: float) -> int:
        if self._requests is None:
            return 0
        fair = min(wanted, self._fairness.max_grant(source, now_s))
        own = min(fair, math.floor(self._requests.available(now_s)))
        self._requests.take(own, now_s)
        borrowed = min(fair - own, self._borrowed_requests)
        self._borrowed_requests -= borrowed
        self._fairness.record(source, own + borrowed, own + borrowed < wanted, now_s)
        return own + borrowed

    def _grant_prompt_tokens(self, wanted: int, now_s: float) -> int:
        if self._prompt_tokens is None:
            return 0
        own = min(wanted, math.floor(self._prompt_tokens.available(now_s)))
        self._prompt_tokens.take(own, now_s)
        borrowed = min(wanted - own, self._borrowed_prompt_tokens)
        self._borrowed_prompt_tokens -= borrowed
        return own + borrowed

    def _grant_spare(self, bucket: TokenBucket | None, wanted: int, now_s: float) -> int:
        """Grant tokens to another zone, only while this zone's own nodes have no unmet demand."""
        if bucket is None or self._shortfalls:
            return 0
        granted = min(wanted, math.floor(bucket.available(now_s)))
        bucket.take(granted, now_s)
        return granted

    def _record_unmet(
        self,
        source: NodeAddress,
        demand: TenantDemand,
        num_requests: int,
        num_prompt_tokens: int,
        now_s: float,
    ) -> None:
        missing_requests = demand.num_requests - num_requests if self._requests else 0
        missing_tokens = demand.num_prompt_tokens - num_prompt_tokens if self._prompt_tokens else 0
        if missing_requests > 0 or missing_tokens > 0:
            self._shortfalls[source] = _Shortfall(missing_requests, missing_tokens, now_s)
        else:
            self._shortfalls.pop(source, None)

    def _expected_rate(self) -> float:
        """Return the rate that a node may expect; optimistic, as other zones may lend theirs."""
        if self.tenant.requests_per_s is None:
            return 0.0
        return self.tenant.requests_per_s / max(1, len(self._loans))

    def _drop_expired(self, now_s: float) -> None:
        for source in [key for key, loan in self._loans.items() if loan.expires_at_s <= now_s]:
            del self._loans[source]
        for source in [
            key
            for key, shortfall in self._shortfalls.items()
            if now_s - shortfall.at_s > UNMET_DEMAND_TTL_S
        ]:
            del self._shortfalls[source]
        if now_s - self._borrowed_at_s > BORROWED_TOKENS_TTL_S:
            self._borrowed_requests = 0
            self._borrowed_prompt_tokens = 0
