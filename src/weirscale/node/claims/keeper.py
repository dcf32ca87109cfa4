"""Keeps the claim groups of a fleet held by live nodes, and this node's knowledge of them fresh."""

import itertools
from collections.abc import Callable
from random import Random

import anyio
import xxhash

from weirscale.domain.claims.authority import LOST_AFTER_S, HolderAuthority
from weirscale.domain.claims.model import NUM_GROUPS, GroupEpoch, Holder
from weirscale.domain.claims.planning import (
    LiveNode,
    choose_holders,
    is_lost_whole,
    lost_holders,
    plan_change,
    planner_of,
)
from weirscale.domain.configuration.model import ClaimRules
from weirscale.domain.identifiers import NodeId, ZoneName
from weirscale.messages.claims import ClaimEpochsQuery, ClaimEpochsReply, KnownEpoch
from weirscale.node.claims.change import EpochChange, StoredRecord, read_record, read_records
from weirscale.node.claims.peers import ClaimPeers
from weirscale.node.claims.registry import HolderRegistry
from weirscale.node.interfaces import ConfigurationView, MembershipView
from weirscale.ports.key_value import KeyValuePort

TICK_S = 1.0
"""How often the state of the groups is looked at; each look is cheap when nothing changed."""
SETTLE_S = 3.0
"""Membership must stand still this long before holders are changed: joins come in herds."""
CREATE_AFTER_S = 1.0
"""A node waits this long after its start before it makes missing groups: others may join."""
FULL_CHECK_S = 30.0
"""All groups are looked at this often even when membership stands still."""
CONFIRM_S = 8.0
"""How often a holder asks other zones for newer epochs; three tries within AUTHORITY_S."""
SEALED_TOO_LONG_S = 3.0
"""A group sealed this long without a new epoch has lost its planner: any holder takes over."""
STORE_READ_INTERVAL_S = 5.0
"""Least time between two reads of all records by one node."""
QUERY_TIMEOUT_S = 1.0
"""For questions to other nodes."""


def declared_zones(configuration: ConfigurationView) -> frozenset[ZoneName]:
    """Zones of the configuration in force; empty before the first."""
    in_force = configuration.current()
    if in_force is None:
        return frozenset()
    regions = in_force.deployment.regions
    return frozenset(zone for region in regions for zone in region.zones)


def claim_rules(configuration: ConfigurationView) -> ClaimRules:
    """Rules of the configuration in force, or the defaults before the first."""
    in_force = configuration.current()
    return in_force.deployment.claims if in_force is not None else ClaimRules()


def node_digest(node: NodeId) -> int:
    """64-bit digest of one run of a node."""
    return xxhash.xxh3_64_intdigest(node.name.encode(), node.incarnation % 2**64)


class ClaimKeeper:
    """Plans changes of epoch, confirms epochs and learns missing ones; `run` is its task."""

    def __init__(
        self,
        registry: HolderRegistry,
        peers: ClaimPeers,
        membership: MembershipView,
        configuration: ConfigurationView,
        store: KeyValuePort,
        authority: HolderAuthority,
        random: Random,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._membership = membership
        self._configuration = configuration
        self._store = store
        self._authority = authority
        self._random = random
        self._attempts = itertools.count(1)
        self._seen_version = -1
        self._version_since_s = 0.0
        self._checked_at_s = float("-inf")
        self._confirmed_at_s = float("-inf")
        self._store_read_at_s = float("-inf")
        self._lost_since_s: dict[tuple[int, int], float] = {}

    async def run(self) -> None:
        """Keep going until cancelled."""
        started_at_s = anyio.current_time()
        while True:
            await self._learn_missing()
            await self._confirm()
            if anyio.current_time() - started_at_s >= CREATE_AFTER_S:
                await self._tend_groups()
            await anyio.sleep(TICK_S * self._random.uniform(0.8, 1.2))

    async def refresh(self) -> None:
        """Ask a few nodes for newer epochs: a coordinator met holders that moved on."""
        others = list(self._peers.others())
        for node in self._random.sample(others, min(2, len(others))):
            await self._query(node, self._registry.epochs.known())

    async def _learn_missing(self) -> None:
        """At the start: from another node, else from the store."""
        if self._registry.epochs.num_unknown() == 0:
            return
        await self.refresh()
        if self._registry.epochs.num_unknown():
            await self._read_store()

    async def _read_store(self) -> bool:
        now_s = anyio.current_time()
        if now_s - self._store_read_at_s < STORE_READ_INTERVAL_S:
            return False
        self._store_read_at_s = now_s
        records = await read_records(self._store)
        if records is None:
            return False
        for stored in records.values():
            self._registry.epochs.adopt(stored.record)
        self._authority.note_store_read(now_s)
        return True

    async def _confirm(self) -> None:
        """As a holder, hear from other zones that no newer epoch is in force."""
        now_s = anyio.current_time()
        if self._registry.num_holders() == 0 or now_s - self._confirmed_at_s < CONFIRM_S:
            return
        self._confirmed_at_s = now_s
        async with anyio.create_task_group() as tasks:
            for node in self._one_of_each_zone():
                tasks.start_soon(self._confirm_with, node)
        zones = declared_zones(self._configuration)
        if not self._authority.may_answer(zones, now_s + CONFIRM_S):
            await self._read_store()

    def _one_of_each_zone(self) -> list[Holder]:
        by_zone: dict[ZoneName, list[Holder]] = {}
        for node in self._peers.others():
            by_zone.setdefault(node.zone, []).append(node)
        return [self._random.choice(nodes) for nodes in by_zone.values()]

    async def _confirm_with(self, node: Holder) -> None:
        asked_at_s = anyio.current_time()
        if await self._query(node, self._registry.held()):
            self._authority.note_zone(node.zone, asked_at_s)

    async def _query(self, node: Holder, known: tuple[KnownEpoch, ...]) -> bool:
        query = ClaimEpochsQuery(known)
        reply = await self._peers.ask(node, query, ClaimEpochsReply, QUERY_TIMEOUT_S)
        if reply is None:
            return False
        for record in reply.records:
            self._registry.epochs.adopt(record)
        return True

    async def _tend_groups(self) -> None:
        """Change the holders of groups that need it and that are this node's to plan."""
        now_s = anyio.current_time()
        nodes = self._peers.nodes()
        sealed = self._registry.groups_sealed_before(now_s - SEALED_TOO_LONG_S)
        for group in sealed:
            await self._tend(group, nodes, is_stuck=True)
        if not self._is_check_due(now_s):
            return
        has_settled = now_s - self._version_since_s >= SETTLE_S
        for group in range(NUM_GROUPS):
            record = self._registry.epochs.record(group)
            if record is not None and not has_settled:
                continue
            if planner_of(group, nodes) != self._membership.self_id:
                continue
            if self._needs_change(group, record, nodes):
                await self._tend(group, nodes, is_stuck=False)
        if has_settled:
            self._checked_at_s = now_s

    def _is_check_due(self, now_s: float) -> bool:
        version = self._membership.version()
        if version != self._seen_version:
            self._seen_version = version
            self._version_since_s = now_s
        is_unchecked = self._checked_at_s < self._version_since_s + SETTLE_S
        is_pending = bool(self._lost_since_s) or self._registry.epochs.num_unknown() > 0
        return is_unchecked or is_pending or now_s - self._checked_at_s >= FULL_CHECK_S

    def _needs_change(
        self, group: int, record: GroupEpoch | None, nodes: tuple[LiveNode, ...]
    ) -> bool:
        num_holders = claim_rules(self._configuration).num_holders
        return plan_change(group, record, nodes, num_holders) is not None

    async def _tend(self, group: int, nodes: tuple[LiveNode, ...], is_stuck: bool) -> None:
        """Read the group's record anew and carry it to its next epoch if that is still due."""
        stored = await read_record(self._store, group)
        if stored is None:
            return
        if self._registry.epochs.adopt(stored.record):
            is_stuck = False
        if not is_stuck and not self._needs_change(group, stored.record, nodes):
            return
        may_follow_loss = self._may_follow_loss(stored.record, nodes)
        if stored.record is not None and not may_follow_loss:
            num_lost = len(lost_holders(stored.record, nodes))
            if is_lost_whole(stored.record, num_lost):
                return
        await self._change(group, stored, nodes, may_follow_loss)

    async def _change(
        self,
        group: int,
        stored: StoredRecord,
        nodes: tuple[LiveNode, ...],
        may_follow_loss: bool,
    ) -> None:
        rules = claim_rules(self._configuration)
        epoch = stored.record.epoch + 1 if stored.record is not None else 1
        record = GroupEpoch(
            group,
            epoch,
            choose_holders(group, stored.record, nodes, rules.num_holders),
            self._attempt_name(),
        )
        change = EpochChange(
            self._peers, self._store, stored, record, rules.retention_s, may_follow_loss
        )
        self._registry.epochs.adopt(await change.run())

    def _attempt_name(self) -> bytes:
        digest = node_digest(self._membership.self_id)
        return digest.to_bytes(8, "big") + next(self._attempts).to_bytes(4, "big")

    def _may_follow_loss(self, record: GroupEpoch | None, nodes: tuple[LiveNode, ...]) -> bool:
        """Whether the holders may be declared lost: gone long enough, or known to have restarted.

        More than half of the zones must be in sight, so that holders on the far side of a cut
        hear fewer than half and stop by themselves.
        """
        if record is None:
            return False
        lost = lost_holders(record, nodes)
        name = (record.group, record.epoch)
        if not is_lost_whole(record, len(lost)):
            self._lost_since_s.pop(name, None)
            return False
        now_s = anyio.current_time()
        since_s = self._lost_since_s.setdefault(name, now_s)
        if not self._sees_most_zones(nodes):
            return False
        if now_s - since_s < LOST_AFTER_S and not _have_restarted(lost, nodes):
            return False
        del self._lost_since_s[name]
        return True

    def _sees_most_zones(self, nodes: tuple[LiveNode, ...]) -> bool:
        zones = declared_zones(self._configuration)
        seen = {node.holder.zone for node in nodes} & zones
        return 2 * len(seen) > len(zones)


def _have_restarted(lost: tuple[Holder, ...], nodes: tuple[LiveNode, ...]) -> bool:
    """Whether a later run of every lost node is live, so that the run that held is over."""
    latest = {node.holder.node.name: node.holder.node.incarnation for node in nodes}
    return all(latest.get(holder.node.name, -1) > holder.node.incarnation for holder in lost)


def authority_check(
    authority: HolderAuthority, configuration: ConfigurationView
) -> Callable[[], bool]:
    """A function that tells whether this node's holders may vote now."""
    return lambda: authority.may_answer(declared_zones(configuration), anyio.current_time())
