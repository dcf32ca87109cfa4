"""Keeps the claim groups of a fleet held by live nodes, and this node's knowledge of them fresh."""

import itertools
from collections.abc import Callable, Sequence
from random import Random

import anyio
import xxhash

from weirscale.domain.claims.authority import HolderAuthority
from weirscale.domain.claims.loss import LossDetector, restarted_holders
from weirscale.domain.claims.model import NUM_GROUPS, GroupEpoch, Holder
from weirscale.domain.claims.planning import (
    LiveNode,
    choose_holders,
    needs_change,
    planner_of,
)
from weirscale.domain.configuration.model import ClaimRules
from weirscale.domain.identifiers import NodeId, ZoneName
from weirscale.messages.claims import ClaimEpochsQuery, ClaimEpochsReply, KnownEpoch
from weirscale.node.claims.change import EpochChange, StoredRecord, read_record, read_records
from weirscale.node.claims.log import ClaimLog
from weirscale.node.claims.peers import ClaimPeers
from weirscale.node.claims.registry import HolderRegistry
from weirscale.node.interfaces import ConfigurationView, MembershipView
from weirscale.ports.event_log import EventLog, SilentEventLog
from weirscale.ports.key_value import KeyValuePort

CONCURRENT_CHANGES = 4
"""Groups that a node changes at once: a change mostly waits for the store and for holders."""
TICK_S = 1.0
"""How often the state of the groups is looked at; each look is cheap when nothing changed."""
SETTLE_S = 3.0
"""Membership must stand still this long before holders are changed: joins come in herds."""
CREATE_AFTER_S = 1.0
"""A node waits this long after its start before it makes missing groups: others may join."""
FULL_CHECK_S = 30.0
"""All groups are looked at this often even when membership stands still."""
LOST_CHECK_S = 5.0
"""All groups are looked at this often while one seems to have lost its quorum for good."""
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
        events: EventLog | None = None,
        log: ClaimLog | None = None,
    ) -> None:
        self._events = events or SilentEventLog()
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
        self._loss = LossDetector()
        self._log = log

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
        self._authority.record_store_read(now_s)
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
            self._authority.record_zone_answer(node.zone, asked_at_s)

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
        sealed = self._registry.groups_sealed_before(now_s - SEALED_TOO_LONG_S)
        has_settled = self._has_settled(now_s)
        due = self._groups_due(has_settled, now_s)
        if not sealed and not due:
            return
        nodes = self._peers.nodes()
        await self._tend_all(sealed, nodes, is_stuck=True)
        mine = [group for group in due if self._is_mine_to_change(group, nodes)]
        await self._tend_all(mine, nodes, is_stuck=False)
        if has_settled and due:
            self._checked_at_s = now_s

    async def _tend_all(
        self, groups: Sequence[int], nodes: tuple[LiveNode, ...], is_stuck: bool
    ) -> None:
        """Tend a few groups at a time; stops where the store does not answer.

        The rest would wait for the store too; the next check tries them again.
        """
        is_store_up = True

        async def tend(group: int) -> None:
            nonlocal is_store_up
            is_store_up = await self._tend(group, nodes, is_stuck) and is_store_up

        for first in range(0, len(groups), CONCURRENT_CHANGES):
            async with anyio.create_task_group() as tasks:
                for group in groups[first : first + CONCURRENT_CHANGES]:
                    tasks.start_soon(tend, group)
            if not is_store_up:
                return

    def _has_settled(self, now_s: float) -> bool:
        """Whether membership has stood still for long enough."""
        version = self._membership.version()
        if version != self._seen_version:
            self._seen_version = version
            self._version_since_s = now_s
        return now_s - self._version_since_s >= SETTLE_S

    def _groups_due(self, has_settled: bool, now_s: float) -> list[int]:
        """Groups to look at: missing ones at once, all others when membership has settled."""
        epochs = self._registry.epochs
        if not has_settled:
            if epochs.num_unknown() == 0:
                return []
            return [group for group in range(NUM_GROUPS) if epochs.record(group) is None]
        is_unchecked = self._checked_at_s < self._version_since_s + SETTLE_S
        interval_s = LOST_CHECK_S if self._loss.has_lost_groups else FULL_CHECK_S
        is_due = is_unchecked or now_s - self._checked_at_s >= interval_s
        return list(range(NUM_GROUPS)) if is_due or epochs.num_unknown() else []

    def _is_mine_to_change(self, group: int, nodes: tuple[LiveNode, ...]) -> bool:
        """Whether this node plans the group, it needs a change, and one is possible."""
        if planner_of(group, nodes) != self._membership.self_id:
            return False
        record = self._registry.epochs.record(group)
        if not self._needs_change(group, record, nodes):
            return False
        return self._loss.can_change(record, nodes, *self._zones_now())

    def _needs_change(
        self, group: int, record: GroupEpoch | None, nodes: tuple[LiveNode, ...]
    ) -> bool:
        num_holders = claim_rules(self._configuration).num_holders
        return needs_change(group, record, nodes, num_holders)

    async def _tend(self, group: int, nodes: tuple[LiveNode, ...], is_stuck: bool) -> bool:
        """Read the group's record anew and carry it to its next epoch if that is still due.

        Returns:
            False if the store does not answer.
        """
        stored = await read_record(self._store, group)
        if stored is None:
            return False
        if self._registry.epochs.adopt(stored.record):
            is_stuck = False
        is_due = is_stuck or self._needs_change(group, stored.record, nodes)
        if is_due and self._loss.can_change(stored.record, nodes, *self._zones_now()):
            await self._change(group, stored, nodes)
        return True

    async def _change(
        self,
        group: int,
        stored: StoredRecord,
        nodes: tuple[LiveNode, ...],
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
            self._peers,
            self._store,
            stored,
            record,
            rules.retention_s,
            self._loss.may_follow_loss(stored.record, nodes, *self._zones_now()),
            self._log,
            restarted_holders(stored.record, nodes) if stored.record is not None else frozenset(),
        )
        in_force = await change.run()
        self._registry.epochs.adopt(in_force)
        self._tell(record, in_force)

    def _tell(self, wanted: GroupEpoch, in_force: GroupEpoch | None) -> None:
        """Log what became of a change of epoch."""
        is_ours = in_force is not None and in_force.attempt == wanted.attempt
        self._events.event(
            "claim_epoch_changed" if is_ours else "claim_epoch_not_changed",
            group=wanted.group,
            epoch=wanted.epoch,
            holders=",".join(holder.node.name for holder in wanted.holders),
            follows_loss=in_force.follows_loss if in_force is not None else False,
            reason="done"
            if is_ours
            else "another change won"
            if in_force
            else "no quorum or store",
        )

    def _zones_now(self) -> tuple[frozenset[ZoneName], float]:
        return declared_zones(self._configuration), anyio.current_time()

    def _attempt_name(self) -> bytes:
        digest = node_digest(self._membership.self_id)
        return digest.to_bytes(8, "big") + next(self._attempts).to_bytes(4, "big")


def authority_check(
    authority: HolderAuthority, configuration: ConfigurationView
) -> Callable[[], bool]:
    """A function that tells whether this node's holders may vote now."""
    return lambda: authority.may_answer(declared_zones(configuration), anyio.current_time())
