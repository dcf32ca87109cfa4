"""How the nodes of a fleet share the tenants' limits: what to send when, and what to do on receipt.

Each zone owns a fixed part of every limit, by the zones that the configuration declares, so a cut
between zones changes no part. In each zone one node, the home, picked by rendezvous hashing for
each shard of the tenants, keeps that part; nodes ask their zone's home, and a home that runs short
asks homes of other zones for what they can spare.
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
"""How often a node renews its demands; below half of the slots' lease."""
RENEW_INTERVAL_S = 4.0
"""How often a home renews the slots that it borrowed; three times within their lease."""
URGENT_INTERVAL_S = 0.05
"""Least time between demands for waiting requests; above a round trip within a zone."""
BORROW_INTERVAL_S = 0.25
"""How often a home looks whether its pools run short."""
BORROW_FANOUT = 3
"""Homes of other zones asked at once."""
SHRINK_FACTOR = 4
"""The bound on the nodes is lowered only when this much above them."""
MAX_ITEMS = 30
"""Tenants in one datagram: at most 28 bytes each, below the largest cast."""
NO_LACK = (0, 0, 0)
UNLIMITED = TenantAllowance()


class Outgoing(msgspec.Struct, frozen=True):
    """A cast to send."""

    destination: NodeAddress
    message: LimitDemand | LimitGrant


class _Asked(msgspec.Struct, frozen=True):
    """The latest demand for a tenant to one home."""

    sequence: int
    sent_at_s: float


def is_limited(tenant: Tenant) -> bool:
    """Whether the tenant has any limit."""
    return not (
        tenant.requests_per_s is None
        and tenant.prompt_tokens_per_s is None
        and tenant.max_concurrent_requests is None
    )


class ShareExchange:
    """One node's side of the exchange, as a client and as a home.

    Args:
        own: This node.
        run: Its incarnation.
        random: Picks the zones to borrow from.
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
        self._asked: dict[tuple[int, NodeAddress], _Asked] = {}
        self._heard: dict[tuple[int, NodeAddress], tuple[int, int]] = {}
        self._regular_at_s = float("-inf")
        self._urgent_at_s = float("-inf")
        self._borrowed_at_s = float("-inf")
        self._renewed_at_s = float("-inf")

    def set_members(self, members: Iterable[Member], now_s: float) -> None:
        """Learn who is live; homes move with it, and a new home's pools start anew."""
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
        self._heard = {key: stamp for key, stamp in self._heard.items() if key[1] in addresses}
        self._asked = {key: asked for key, asked in self._asked.items() if key[1] in addresses}

    def set_limits(
        self, tenants: Iterable[Tenant], zones: Iterable[ZoneName], now_s: float
    ) -> None:
        """Learn the configuration; a pool whose tenant or zone part changed starts anew."""
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
                self._give_standing(holding)
            elif holding.num_running == 0:
                del self._holdings[digest]

    def _fit_node_bound(self, num_nodes: int, now_s: float) -> None:
        """Keep a power of two above the nodes; it moves seldom, for pools start anew with it."""
        bound = self._share.max_nodes
        if num_nodes <= bound < SHRINK_FACTOR * max(1, num_nodes):
            return
        fitting = 1 << (max(1, num_nodes) - 1).bit_length()
        self._set_share(msgspec.structs.replace(self._share, max_nodes=fitting), now_s)

    def _set_share(self, share: ZoneShare, now_s: float) -> None:
        if share == self._share:
            return
        self._share = share  # the parts of all zones move
        self._pools.clear()
        self._home_since_s = dict.fromkeys(self._home_since_s, now_s)
        for holding in self._holdings.values():
            self._give_standing(holding)

    def _give_standing(self, holding: ShareHolding) -> None:
        tenant = holding.tenant
        holding.set_standing(
            standing_requests(tenant, self._share), standing_slots(tenant, self._share)
        )

    def allowance_of(self, tenant: Tenant, now_s: float) -> TenantAllowance:
        """This node's allowance for a tenant."""
        if not is_limited(tenant):
            return UNLIMITED
        return self.holding_of(tenant, now_s)

    def holding_of(self, tenant: Tenant, now_s: float) -> ShareHolding:
        """What this node holds of a limited tenant's shares."""
        digest = tenant_digest(tenant.name)
        holding = self._holdings.get(digest)
        if holding is None:
            holding = self._holdings[digest] = ShareHolding(tenant, digest, now_s)
            self._give_standing(holding)
        return holding

    def record_arrival(self, tenant: Tenant, num_prompt_tokens: int, now_s: float) -> None:
        """A request of the tenant came to this node."""
        if is_limited(tenant):
            self.holding_of(tenant, now_s).record_arrival(num_prompt_tokens)

    def is_due(self, has_waiting: bool, now_s: float) -> bool:
        """Whether `due` would do anything."""
        if has_waiting and now_s - self._urgent_at_s >= URGENT_INTERVAL_S:
            return True
        if self._pools and now_s - self._borrowed_at_s >= BORROW_INTERVAL_S:
            return True
        return now_s - self._regular_at_s >= REGULAR_INTERVAL_S

    def due(self, waiting: Mapping[TenantName, WaitingTotals], now_s: float) -> list[Outgoing]:
        """What to send now; call it after each change and at least every REGULAR_INTERVAL_S."""
        outgoing: list[Outgoing] = []
        if now_s - self._regular_at_s >= REGULAR_INTERVAL_S:
            self._regular_at_s = now_s
            for holding in self._holdings.values():
                holding.measure(holding.tenant.name in waiting, now_s)
            outgoing += self._ask(self._holdings.values(), waiting, now_s)
        elif waiting and now_s - self._urgent_at_s >= URGENT_INTERVAL_S:
            self._urgent_at_s = now_s
            short = [
                holding
                for holding in self._holdings.values()
                if holding.tenant.name in waiting and holding.is_ask_due(now_s)
            ]
            outgoing += self._ask(short, waiting, now_s)
        if now_s - self._borrowed_at_s >= BORROW_INTERVAL_S and self._pools:
            self._borrowed_at_s = now_s
            outgoing += self._borrow(now_s)
        return outgoing

    def handle_demand(
        self, source: NodeAddress, demand: LimitDemand, now_s: float
    ) -> Outgoing | None:
        """Answer as a home; None where this node is not the home or the demand is an old one."""
        granted = []
        for item in demand.items:
            name = (item.tenant, source)
            stamp = (demand.run, demand.sequence)
            pool = self._pool(item.tenant)
            if pool is None or stamp <= self._heard.get(name, (-1, -1)):
                continue
            self._heard[name] = stamp
            granted.append(pool.grant(source, demand.is_home, item, now_s))
        if not granted:
            return None
        grant = LimitGrant(demand.run, demand.sequence, demand.is_home, tuple(granted))
        return Outgoing(source, grant)

    def handle_grant(self, source: NodeAddress, grant: LimitGrant, now_s: float) -> None:
        """Add what a home gave; a grant that does not answer the latest demand is void."""
        for item in grant.items:
            asked = self._asked.get((item.tenant, source))
            if grant.run != self._run or asked is None or asked.sequence != grant.sequence:
                continue
            del self._asked[item.tenant, source]
            if grant.is_home:
                pool = self._pool(item.tenant)
                if pool is not None:
                    pool.take_borrowed(source, item, asked.sent_at_s, now_s)
            elif item.tenant in self._holdings:
                self._holdings[item.tenant].take(item, asked.sent_at_s)

    def _pool(self, digest: int) -> SharePool | None:
        """The pool of a tenant whose home this node is."""
        since_s = self._home_since_s.get(digest % NUM_SHARDS)
        tenant = self._tenants.get(digest)
        if since_s is None or tenant is None:
            return None
        pool = self._pools.get(digest)
        if pool is None:
            pool = self._pools[digest] = SharePool(tenant, self._share, since_s)
        return pool

    def _ask(
        self,
        holdings: Iterable[ShareHolding],
        waiting: Mapping[TenantName, WaitingTotals],
        now_s: float,
    ) -> list[Outgoing]:
        items: dict[NodeAddress, list[TenantDemand]] = {}
        for holding in list(holdings):
            wants = waiting.get(holding.tenant.name, NO_WAITING)
            demand = holding.demand(wants.num_requests, wants.num_prompt_tokens, now_s)
            home = self._homes.get((self._own.zone, holding.digest % NUM_SHARDS))
            if demand is None or home is None:
                continue
            if home == self._own.address:
                self._ask_self(holding, demand, now_s)
            else:
                items.setdefault(home, []).append(demand)
        return self._demands(items, is_home=False, now_s=now_s)

    def _ask_self(self, holding: ShareHolding, demand: TenantDemand, now_s: float) -> None:
        pool = self._pool(holding.digest)
        if pool is not None:
            holding.take(pool.grant(self._own.address, False, demand, now_s), now_s)

    def _borrow(self, now_s: float) -> list[Outgoing]:
        """As a home: ask some other zones for what is lacking, and renew borrowed slots."""
        items: dict[NodeAddress, list[TenantDemand]] = {}
        is_renewal = now_s - self._renewed_at_s >= RENEW_INTERVAL_S
        if is_renewal:
            self._renewed_at_s = now_s
        others = [
            [
                home
                for (zone, of), home in self._homes.items()
                if of == shard and zone != self._own.zone
            ]
            for shard in range(NUM_SHARDS)
        ]
        asked = [self._random.sample(homes, min(BORROW_FANOUT, len(homes))) for homes in others]
        for digest, pool in self._pools.items():
            shard = digest % NUM_SHARDS
            is_short = pool.is_borrowing_due(now_s)
            if not is_short and not is_renewal:
                continue
            few = asked[shard][: max(pool.unmet(now_s))] if is_short else []
            lack = pool.wants_from(len(few), now_s) if few else NO_LACK
            keeps = pool.needs_borrowed_slots(now_s)
            for home in others[shard]:
                held = pool.borrowed_from(home, now_s)
                more = lack if home in few else NO_LACK
                if any(more) or (held and is_renewal):
                    wanted = (held if keeps else 0) + more[2]
                    demand = TenantDemand(digest, more[0], more[1], held, wanted)
                    items.setdefault(home, []).append(demand)
        return self._demands(items, is_home=True, now_s=now_s)

    def _demands(
        self, items: Mapping[NodeAddress, list[TenantDemand]], is_home: bool, now_s: float
    ) -> list[Outgoing]:
        outgoing = []
        for home, demands in items.items():
            for start in range(0, len(demands), MAX_ITEMS):
                page = tuple(demands[start : start + MAX_ITEMS])
                sequence = next(self._sequences)
                for demand in page:
                    self._asked[demand.tenant, home] = _Asked(sequence, now_s)
                message = LimitDemand(self._run, sequence, is_home, page)
                outgoing.append(Outgoing(home, message))
        return outgoing
