"""The protocol by which the nodes of a fleet share the tenants' limits: what to send, and when.

Each zone owns a fixed part of every limit. The parts follow from the zones that the configuration
declares, so a partition between zones does not change them. In each zone one node per shard of the
tenants, the home, keeps that part; it is chosen by rendezvous hashing. Nodes send demands to the
home in their zone. A home that runs short asks homes in other zones for what they can spare.
"""

import itertools
from collections.abc import Iterable, Mapping
from random import Random

import msgspec

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import NodeAddress, TenantName, ZoneName
from weirscale.domain.limits.allowance import TenantAllowance
from weirscale.domain.limits.fair_queue import NO_WAITING, WaitingTotals
from weirscale.domain.limits.homes import NUM_SHARDS, Member, choose_homes, tenant_digest
from weirscale.domain.limits.share_holding import ShareHolding
from weirscale.domain.limits.share_pool import SharePool
from weirscale.domain.limits.zone_share import ZoneShare, standing_requests, standing_slots
from weirscale.messages.limits import LimitDemand, LimitGrant, TenantDemand

REGULAR_INTERVAL_S = 2.0
"""Interval at which a node renews its demands; less than half of the slots' lease."""
RENEW_INTERVAL_S = 4.0
"""Interval at which a home renews the slots that it borrowed: three times within their lease."""
URGENT_INTERVAL_S = 0.05
"""Minimum time between demands for waiting requests; above a round trip within a zone."""
BORROW_INTERVAL_S = 0.25
"""Interval at which a home checks whether its pools run short."""
BORROW_FANOUT = 3
"""Number of homes in other zones that are asked at once."""
SHRINK_FACTOR = 4
"""The bound on the number of nodes is lowered only when it is this many times that number."""
MAX_ITEMS = 30
"""Tenants in one datagram: at most 28 bytes each, so it stays below the maximum size of a cast."""
NO_SHORTFALL = (0, 0, 0)
UNLIMITED = TenantAllowance()


class Outgoing(msgspec.Struct, frozen=True):
    """A cast (one-way datagram) to send."""

    destination: NodeAddress
    message: LimitDemand | LimitGrant


class _SentDemand(msgspec.Struct, frozen=True):
    """The latest demand for a tenant that was sent to one home."""

    sequence: int
    sent_at_s: float


def is_limited(tenant: Tenant) -> bool:
    """Return whether the tenant has any limit."""
    return not (
        tenant.requests_per_s is None
        and tenant.prompt_tokens_per_s is None
        and tenant.max_concurrent_requests is None
    )


class ShareExchange:
    """One node's side of the exchange, as a client and as a home.

    Args:
        own: This node.
        run: This node's incarnation.
        random: Chooses the zones to borrow from.
    """

    def __init__(self, own: Member, run: int, random: Random) -> None:
        self._own = own
        self._run = run
        self._random = random
        self._sequences = itertools.count(1)
        self._tenants: dict[int, Tenant] = {}
        self._share = ZoneShare(0, 1)
        self._homes: dict[tuple[ZoneName, int], NodeAddress] = {}
        self._home_since_s: dict[int, float] = {}
        self._holdings: dict[int, ShareHolding] = {}
        self._pools: dict[int, SharePool] = {}
        self._sent_demands: dict[tuple[int, NodeAddress], _SentDemand] = {}
        self._last_stamps: dict[tuple[int, NodeAddress], tuple[int, int]] = {}
        self._regular_at_s = float("-inf")
        self._urgent_at_s = float("-inf")
        self._borrowed_at_s = float("-inf")
        self._renewed_at_s = float("-inf")

    def set_members(self, members: Iterable[Member], now_s: float) -> None:
        """Set the live nodes and choose the homes again; the pools of a new home start empty."""
        by_zone: dict[ZoneName, list[NodeAddress]] = {}
        live = tuple(members)
        self._fit_node_bound(len(live), now_s)
        for member in live:
            by_zone.setdefault(member.zone, []).append(member.address)
        by_zone.setdefault(self._own.zone, [self._own.address])
        self._homes = {
            (zone, shard): home
            for zone, addresses in by_zone.items()
            for shard, home in enumerate(choose_homes(addresses))
        }
        for shard in range(NUM_SHARDS):
            is_home = self._homes[self._own.zone, shard] == self._own.address
            if is_home:
                self._home_since_s.setdefault(shard, now_s)
            else:
                self._home_since_s.pop(shard, None)
        self._pools = {
            digest: pool
            for digest, pool in self._pools.items()
            if digest % NUM_SHARDS in self._home_since_s
        }
        addresses = {member.address for member in live}
        self._last_stamps = {
            key: stamp for key, stamp in self._last_stamps.items() if key[1] in addresses
        }
        self._sent_demands = {
            key: demand for key, demand in self._sent_demands.items() if key[1] in addresses
        }

    def set_limits(
        self, tenants: Iterable[Tenant], zones: Iterable[ZoneName], now_s: float
    ) -> None:
        """Set the configured tenants and zones.

        A pool is created again if its tenant's limits or its zone's part changed.
        """
        self._tenants = {
            tenant_digest(tenant.name): tenant for tenant in tenants if is_limited(tenant)
        }
        ordered = sorted({*zones, self._own.zone})
        index = ordered.index(self._own.zone)
        self._set_share(ZoneShare(index, len(ordered), self._share.max_nodes), now_s)
        for digest, pool in list(self._pools.items()):
            if self._tenants.get(digest) != pool.tenant:
                del self._pools[digest]
        for digest, holding in list(self._holdings.items()):
            tenant = self._tenants.get(digest)
            if tenant is not None:
                holding.tenant = tenant
                self._update_standing(holding)
            elif holding.num_running == 0:
                del self._holdings[digest]

    def _fit_node_bound(self, num_nodes: int, now_s: float) -> None:
        """Keep the bound a power of two that is not below the number of nodes.

        The bound changes rarely, because each change discards the pools.
        """
        bound = self._share.max_nodes
        if num_nodes <= bound < SHRINK_FACTOR * max(1, num_nodes):
            return
        fitting = 1 << (max(1, num_nodes) - 1).bit_length()
        self._set_share(msgspec.structs.replace(self._share, max_nodes=fitting), now_s)

    def _set_share(self, share: ZoneShare, now_s: float) -> None:
        if share == self._share:
            return
        self._share = share  # a change moves the parts of all zones
        self._pools.clear()
        self._home_since_s = dict.fromkeys(self._home_since_s, now_s)
        for holding in self._holdings.values():
            self._update_standing(holding)

    def _update_standing(self, holding: ShareHolding) -> None:
        tenant = holding.tenant
        holding.set_standing(
            standing_requests(tenant, self._share), standing_slots(tenant, self._share)
        )

    def allowance_of(self, tenant: Tenant, now_s: float) -> TenantAllowance:
        """Return this node's allowance for a tenant."""
        if not is_limited(tenant):
            return UNLIMITED
        return self.holding_of(tenant, now_s)

    def holding_of(self, tenant: Tenant, now_s: float) -> ShareHolding:
        """Return this node's holding of a limited tenant's shares."""
        digest = tenant_digest(tenant.name)
        holding = self._holdings.get(digest)
        if holding is None:
            holding = self._holdings[digest] = ShareHolding(tenant, digest, now_s)
            self._update_standing(holding)
        return holding

    def record_arrival(self, tenant: Tenant, num_prompt_tokens: int, now_s: float) -> None:
        """Record that a request of the tenant arrived at this node."""
        if is_limited(tenant):
            self.holding_of(tenant, now_s).record_arrival(num_prompt_tokens)

    def is_due(self, has_waiting: bool, now_s: float) -> bool:
        """Return whether `due` has anything to do."""
        if has_waiting and now_s - self._urgent_at_s >= URGENT_INTERVAL_S:
            return True
        if self._pools and now_s - self._borrowed_at_s >= BORROW_INTERVAL_S:
            return True
        return now_s - self._regular_at_s >= REGULAR_INTERVAL_S

    def due(self, waiting: Mapping[TenantName, WaitingTotals], now_s: float) -> list[Outgoing]:
        """Return the casts to send now.

        Call it after each change and at least every REGULAR_INTERVAL_S.
        """
        outgoing: list[Outgoing] = []
        if now_s - self._regular_at_s >= REGULAR_INTERVAL_S:
            self._regular_at_s = now_s
            for holding in self._holdings.values():
                holding.measure(holding.tenant.name in waiting, now_s)
            outgoing += self._send_demands(self._holdings.values(), waiting, now_s)
        elif waiting and now_s - self._urgent_at_s >= URGENT_INTERVAL_S:
            self._urgent_at_s = now_s
            short = [
                holding
                for holding in self._holdings.values()
                if holding.tenant.name in waiting and holding.is_demand_due(now_s)
            ]
            outgoing += self._send_demands(short, waiting, now_s)
        if now_s - self._borrowed_at_s >= BORROW_INTERVAL_S and self._pools:
            self._borrowed_at_s = now_s
            outgoing += self._borrow(now_s)
        return outgoing

    def handle_demand(
        self, source: NodeAddress, demand: LimitDemand, now_s: float
    ) -> Outgoing | None:
        """Answer a demand as a home; return None if it is outdated or this node is not the home."""
        granted = []
        for item in demand.items:
            key = (item.tenant, source)
            stamp = (demand.run, demand.sequence)
            pool = self._pool(item.tenant)
            if pool is None or stamp <= self._last_stamps.get(key, (-1, -1)):
                continue
            self._last_stamps[key] = stamp
            granted.append(pool.grant(source, demand.is_home, item, now_s))
        if not granted:
            return None
        grant = LimitGrant(demand.run, demand.sequence, demand.is_home, tuple(granted))
        return Outgoing(source, grant)

    def handle_grant(self, source: NodeAddress, grant: LimitGrant, now_s: float) -> None:
        """Add what a home granted; ignore a grant that does not answer the latest demand."""
        for item in grant.items:
            pending = self._sent_demands.get((item.tenant, source))
            if grant.run != self._run or pending is None or pending.sequence != grant.sequence:
                continue
            del self._sent_demands[item.tenant, source]
            if grant.is_home:
                pool = self._pool(item.tenant)
                if pool is not None:
                    pool.add_borrowed(source, item, pending.sent_at_s, now_s)
            elif item.tenant in self._holdings:
                self._holdings[item.tenant].add_grant(item, pending.sent_at_s)

    def _pool(self, digest: int) -> SharePool | None:
        """Return the pool of a tenant; None if this node is not the tenant's home."""
        since_s = self._home_since_s.get(digest % NUM_SHARDS)
        tenant = self._tenants.get(digest)
        if since_s is None or tenant is None:
            return None
        pool = self._pools.get(digest)
        if pool is None:
            pool = self._pools[digest] = SharePool(tenant, self._share, since_s)
        return pool

    def _send_demands(
        self,
        holdings: Iterable[ShareHolding],
        waiting: Mapping[TenantName, WaitingTotals],
        now_s: float,
    ) -> list[Outgoing]:
        items: dict[NodeAddress, list[TenantDemand]] = {}
        for holding in list(holdings):
            totals = waiting.get(holding.tenant.name, NO_WAITING)
            demand = holding.demand(totals.num_requests, totals.num_prompt_tokens, now_s)
            home = self._homes.get((self._own.zone, holding.digest % NUM_SHARDS))
            if demand is None or home is None:
                continue
            if home == self._own.address:
                self._grant_to_self(holding, demand, now_s)
            else:
                items.setdefault(home, []).append(demand)
        return self._batch_demands(items, is_home=False, now_s=now_s)

    def _grant_to_self(self, holding: ShareHolding, demand: TenantDemand, now_s: float) -> None:
        pool = self._pool(holding.digest)
        if pool is not None:
            holding.add_grant(pool.grant(self._own.address, False, demand, now_s), now_s)

    def _borrow(self, now_s: float) -> list[Outgoing]:
        """As a home, ask some other zones for the unmet demand and renew borrowed slots."""
        items: dict[NodeAddress, list[TenantDemand]] = {}
        is_renewal = now_s - self._renewed_at_s >= RENEW_INTERVAL_S
        if is_renewal:
            self._renewed_at_s = now_s
        others = [
            [
                home
                for (zone, home_shard), home in self._homes.items()
                if home_shard == shard and zone != self._own.zone
            ]
            for shard in range(NUM_SHARDS)
        ]
        sampled = [self._random.sample(homes, min(BORROW_FANOUT, len(homes))) for homes in others]
        for digest, pool in self._pools.items():
            shard = digest % NUM_SHARDS
            is_short = pool.is_borrowing_due(now_s)
            if not is_short and not is_renewal:
                continue
            lenders = sampled[shard][: max(pool.unmet(now_s))] if is_short else []
            share = pool.demand_per_home(len(lenders), now_s) if lenders else NO_SHORTFALL
            needs_slots = pool.needs_borrowed_slots(now_s)
            for home in others[shard]:
                held = pool.borrowed_from(home, now_s)
                extra = share if home in lenders else NO_SHORTFALL
                if any(extra) or (held and is_renewal):
                    wanted = (held if needs_slots else 0) + extra[2]
                    demand = TenantDemand(digest, extra[0], extra[1], held, wanted)
                    items.setdefault(home, []).append(demand)
        return self._batch_demands(items, is_home=True, now_s=now_s)

    def _batch_demands(
        self, items: Mapping[NodeAddress, list[TenantDemand]], is_home: bool, now_s: float
    ) -> list[Outgoing]:
        outgoing = []
        for home, demands in items.items():
            for start in range(0, len(demands), MAX_ITEMS):
                batch = tuple(demands[start : start + MAX_ITEMS])
                sequence = next(self._sequences)
                for demand in batch:
                    self._sent_demands[demand.tenant, home] = _SentDemand(sequence, now_s)
                message = LimitDemand(self._run, sequence, is_home, batch)
                outgoing.append(Outgoing(home, message))
        return outgoing
