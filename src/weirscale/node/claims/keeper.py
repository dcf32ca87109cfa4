"""Keeps claim groups on live holders, and this node's view of the groups' epochs up to date."""

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
"""Groups that a node changes concurrently; a change mostly waits for the store and holders."""
TICK_S = 1.0
"""Interval between checks of the groups; a check is cheap when nothing changed."""
MEMBERSHIP_SETTLE_S = 3.0
"""Membership must be unchanged this long before holders change, since nodes often join together."""
CREATE_AFTER_S = 1.0
"""Wait after the start before a node creates missing groups, since other nodes may still join."""
FULL_CHECK_S = 30.0
"""Interval between checks of all groups while membership does not change."""
LOST_CHECK_S = 5.0
"""Interval between checks of all groups while a group seems to have lost its quorum permanently."""
CONFIRM_S = 8.0
"""How often a holder asks other zones for newer epochs; three attempts within AUTHORITY_S."""
SEALED_TOO_LONG_S = 3.0
"""After this time without a new epoch, the planner of a sealed group counts as failed, and any of
its holders takes over."""
STORE_READ_INTERVAL_S = 5.0
"""Minimum interval between two reads of all records by one node."""
QUERY_TIMEOUT_S = 1.0
"""Timeout of queries to other nodes."""


def declared_zones(configuration: ConfigurationView) -> frozenset[ZoneName]:
    """Return the zones of the configuration in force; empty while there is none."""
    in_force = configuration.current()
    if in_force is None:
        return frozenset()
    regions = in_force.deployment.regions
    return frozenset(zone for region in regions for zone in region.zones)


def claim_rules(configuration: ConfigurationView) -> ClaimRules:
    """Return the claim rules of the configuration in force, or the defaults while there is none."""
    in_force = configuration.current()
    return in_force.deployment.claims if in_force is not None else ClaimRules()


def node_digest(node: NodeId) -> int:
    """Return a 64-bit digest of a node's name and incarnation."""
    return xxhash.xxh3_64_intdigest(node.name.encode(), node.incarnation % 2**64)


class ClaimKeeper:
    """Plans and makes epoch changes, confirms held epochs and loads missing ones.

    `run` must be running.
    """

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
        self._membership_version = -1
        self._membership_since_s = 0.0
        self._checked_at_s = float("-inf")
        self._confirmed_at_s = float("-inf")
        self._store_read_at_s = float("-inf")
        self._loss_detector = LossDetector()
        self._log = log

    async def run(self) -> None:
        """Maintain the groups until cancelled."""
        started_at_s = anyio.current_time()
        while True:
            await self._load_missing_epochs()
            await self._confirm_epochs()
            if anyio.current_time() - started_at_s >= CREATE_AFTER_S:
                await self._maintain_groups()
            await anyio.sleep(TICK_S * self._random.uniform(0.8, 1.2))

    async def refresh(self) -> None:
        """Ask up to two random nodes for newer epochs.

        Needed when holders no longer answer for the known epoch.
        """
        others = list(self._peers.others())
        for node in self._random.sample(others, min(2, len(others))):
            await self._query(node, self._registry.epochs.known_epochs())

    async def _load_missing_epochs(self) -> None:
        """Load unknown epochs from other nodes, else from the store; needed after the start."""
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

    async def _confirm_epochs(self) -> None:
        """As a holder, check with a node of each zone that no newer epoch is in force.

        If too few zones answer, read the store instead.
        """
        now_s = anyio.current_time()
        if self._registry.num_holders() == 0 or now_s - self._confirmed_at_s < CONFIRM_S:
            return
        self._confirmed_at_s = now_s
        async with anyio.create_task_group() as tasks:
            for node in self._choose_per_zone():
                tasks.start_soon(self._confirm_with, node)
        zones = declared_zones(self._configuration)
        if not self._authority.may_answer(zones, now_s + CONFIRM_S):
            await self._read_store()

    def _choose_per_zone(self) -> list[Holder]:
        by_zone: dict[ZoneName, list[Holder]] = {}
        for node in self._peers.others():
            by_zone.setdefault(node.zone, []).append(node)
        return [self._random.choice(nodes) for nodes in by_zone.values()]

    async def _confirm_with(self, node: Holder) -> None:
        asked_at_s = anyio.current_time()
        if await self._query(node, self._registry.held_epochs()):
            self._authority.record_zone_answer(node.zone, asked_at_s)

    async def _query(self, node: Holder, known: tuple[KnownEpoch, ...]) -> bool:
        query = ClaimEpochsQuery(known)
        reply = await self._peers.ask(node, query, ClaimEpochsReply, QUERY_TIMEOUT_S)
        if reply is None:
            return False
        for record in reply.records:
            self._registry.epochs.adopt(record)
        return True

    async def _maintain_groups(self) -> None:
        """Change the holders of due groups that this node plans, and of groups sealed too long."""
        now_s = anyio.current_time()
        sealed_groups = self._registry.groups_sealed_before(now_s - SEALED_TOO_LONG_S)
        has_settled = self._has_membership_settled(now_s)
        due_groups = self._find_due_groups(has_settled, now_s)
        if not sealed_groups and not due_groups:
            return
        nodes = self._peers.nodes()
        await self._change_groups(sealed_groups, nodes, is_sealed_too_long=True)
        to_change = [group for group in due_groups if self._should_change(group, nodes)]
        await self._change_groups(to_change, nodes, is_sealed_too_long=False)
        if has_settled and due_groups:
            self._checked_at_s = now_s

    async def _change_groups(
        self, groups: Sequence[int], nodes: tuple[LiveNode, ...], is_sealed_too_long: bool
    ) -> None:
        """Change a few groups at a time; stop if the store does not answer.

        The remaining groups would wait for the store too; the next check retries them.
        """
        is_store_up = True

        async def change_group(group: int) -> None:
            nonlocal is_store_up
            is_store_up = (
                await self._change_if_needed(group, nodes, is_sealed_too_long) and is_store_up
            )

        for first in range(0, len(groups), CONCURRENT_CHANGES):
            async with anyio.create_task_group() as tasks:
                for group in groups[first : first + CONCURRENT_CHANGES]:
                    tasks.start_soon(change_group, group)
            if not is_store_up:
                return

    def _has_membership_settled(self, now_s: float) -> bool:
        """Return whether membership has been unchanged for MEMBERSHIP_SETTLE_S."""
        version = self._membership.version()
        if version != self._membership_version:
            self._membership_version = version
            self._membership_since_s = now_s
        return now_s - self._membership_since_s >= MEMBERSHIP_SETTLE_S

    def _find_due_groups(self, has_settled: bool, now_s: float) -> list[int]:
        """Return the groups to check: missing groups at once, all once membership has settled."""
        epochs = self._registry.epochs
        if not has_settled:
            if epochs.num_unknown() == 0:
                return []
            return [group for group in range(NUM_GROUPS) if epochs.record(group) is None]
        is_unchecked = self._checked_at_s < self._membership_since_s + MEMBERSHIP_SETTLE_S
        interval_s = LOST_CHECK_S if self._loss_detector.has_lost_groups else FULL_CHECK_S
        is_due = is_unchecked or now_s - self._checked_at_s >= interval_s
        return list(range(NUM_GROUPS)) if is_due or epochs.num_unknown() else []

    def _should_change(self, group: int, nodes: tuple[LiveNode, ...]) -> bool:
        """Return whether the group needs a change, one is possible, and this node plans it."""
        if planner_of(group, nodes) != self._membership.self_id:
            return False
        record = self._registry.epochs.record(group)
        if not self._needs_change(group, record, nodes):
            return False
        return self._loss_detector.can_change(record, nodes, *self._zones_and_time())

    def _needs_change(
        self, group: int, record: GroupEpoch | None, nodes: tuple[LiveNode, ...]
    ) -> bool:
        num_holders = claim_rules(self._configuration).num_holders
        return needs_change(group, record, nodes, num_holders)

    async def _change_if_needed(
        self, group: int, nodes: tuple[LiveNode, ...], is_sealed_too_long: bool
    ) -> bool:
        """Reread the group's record and move the group to its next epoch if that is still due.

        Returns:
            False if the store does not answer.
        """
        stored = await read_record(self._store, group)
        if stored is None:
            return False
        if self._registry.epochs.adopt(stored.record):
            is_sealed_too_long = False
        is_due = is_sealed_too_long or self._needs_change(group, stored.record, nodes)
        if is_due and self._loss_detector.can_change(stored.record, nodes, *self._zones_and_time()):
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
            self._next_attempt_id(),
        )
        change = EpochChange(
            self._peers,
            self._store,
            stored,
            record,
            rules.retention_s,
            self._loss_detector.may_follow_loss(stored.record, nodes, *self._zones_and_time()),
            self._log,
            restarted_holders(stored.record, nodes) if stored.record is not None else frozenset(),
        )
        in_force = await change.run()
        self._registry.epochs.adopt(in_force)
        self._log_change(record, in_force)

    def _log_change(self, planned: GroupEpoch, in_force: GroupEpoch | None) -> None:
        """Log the outcome of an epoch change."""
        is_ours = in_force is not None and in_force.attempt == planned.attempt
        self._events.event(
            "claim_epoch_changed" if is_ours else "claim_epoch_not_changed",
            group=planned.group,
            epoch=planned.epoch,
            holders=",".join(holder.node.name for holder in planned.holders),
            follows_loss=in_force.follows_loss if in_force is not None else False,
            reason="done"
            if is_ours
            else "another change won"
            if in_force
            else "holders or store did not answer",
        )

    def _zones_and_time(self) -> tuple[frozenset[ZoneName], float]:
        return declared_zones(self._configuration), anyio.current_time()

    def _next_attempt_id(self) -> bytes:
        digest = node_digest(self._membership.self_id)
        return digest.to_bytes(8, "big") + next(self._attempts).to_bytes(4, "big")


def make_authority_check(
    authority: HolderAuthority, configuration: ConfigurationView
) -> Callable[[], bool]:
    """Return a function that checks whether this node's holders may vote now."""
    return lambda: authority.may_answer(declared_zones(configuration), anyio.current_time())
