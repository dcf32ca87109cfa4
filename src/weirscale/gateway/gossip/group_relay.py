"""Passes gossip on between groups of nodes: who is head of a group, and what a head forwards.

The head of a group is the member first in rank that was received lately. It sends the heads of the
other groups the sum of its group's loads, which prompts its group's engines have read and which
back ends are unreachable, and at once which engines load weights; it sends its own group the sum of
what the other heads send. Two nodes that both take themselves for the head do no harm: sums are
whole values, and the latest replaces the one before. A head that is dead, frozen or cut off is
replaced `PEER_TIMEOUT_S` after it was last received.

Relies on `PeerDirectory` for the division into groups, which is the same on all nodes.
"""

from collections.abc import Callable

from weirscale.gateway.gossip.group_sums import AddSums, GroupSums, add_no_sums
from weirscale.gateway.gossip.intervals import GossipPace, RefreshTimer
from weirscale.gateway.gossip.sources import GROUP_SOURCE, REST_SOURCE, is_group, is_member
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.peers.heartbeat import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S
from weirscale.gateway.peers.messages import REST_OF_FLEET, Gossip, SendGossip, SendMessage
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.ticks import sleep_to_tick

NUM_FIRST_HEADS = 2
"""Members of another group that are sent its share until one of them has spoken for the group: the
first two in rank, in case one of them is gone. Not measured."""

RESEND_S = 4.0
"""Seconds after which a shared prompt block is sent to the other groups again: engines drop blocks
that are not used, and a head that did not know of the first message learns of it. Not measured."""

MAX_REMEMBERED_SENDS = 20_000
"""Prompts remembered as sent to the other groups; beyond it all are forgotten and sent once more.
Bounds memory; not measured."""


class GroupRelay:
    """Passes gossip between this node's group and the others; acts only while this node is head.

    Args:
        name: This node.
        directory: The registered nodes.
        load: Work at back ends, own and received.
        quotas: What tenants spend, own and received.
        send: Sends a message to several nodes.
        clock: Monotonic seconds.
        add_sums: Adds sums that are kept elsewhere.
    """

    def __init__(
        self,
        name: str,
        directory: PeerDirectory,
        load: FleetLoad,
        quotas: QuotaLedger,
        send: SendMessage,
        clock: Callable[[], float],
        add_sums: AddSums = add_no_sums,
    ) -> None:
        self._name = name
        self._directory = directory
        self._load = load
        self._quotas = quotas
        self._pace = GossipPace(directory)
        self._send = send
        self._clock = clock
        self._to_heads = GossipOutbox(name)
        self._to_group = GossipOutbox(name, REST_OF_FLEET)
        self._received_at_s: dict[str, float] = {}
        """When a member of this node's group was last received, or first seen in it."""
        self._speakers: dict[str, tuple[str, float]] = {}
        """Who spoke for another group last, and when."""
        self._sums = GroupSums(load, quotas, add_sums)
        self._forwarded_at_s: dict[tuple[str, str, str], float] = {}
        """When a prompt was last sent to the other heads, by engine, cache scope and last block."""
        self._was_head = False

    async def run(self) -> None:
        """Pass on what has gathered, until cancelled."""
        refresh, heartbeat = RefreshTimer(), RefreshTimer(HEARTBEAT_INTERVAL_S)
        while True:
            must_refresh = refresh.is_due(self._clock())
            if self.is_head():
                self.gather(must_refresh)
                await self.flush(is_heartbeat=must_refresh or self.is_heartbeat_due(heartbeat))
            await sleep_to_tick(self.interval_s())

    def is_heartbeat_due(self, timer: RefreshTimer) -> bool:
        """Whether a heartbeat is due: only quotas need to know so soon who lives."""
        return self._quotas.has_quotas() and timer.is_due(self._clock())

    def interval_s(self) -> float:
        """Return the time between messages in a fleet of this size."""
        return self._pace.interval_s()

    def group_peers(self) -> tuple[str, ...]:
        """Return the names of the other members of this node's group."""
        members = self._directory.division().group_members(self._name)
        return tuple(member.name for member in members if member.name != self._name)

    def is_head(self) -> bool:
        """Whether this node speaks for its group."""
        division = self._directory.division()
        is_head = len(division.groups) > 1 and self._is_first_alive()
        if is_head != self._was_head:
            self._was_head = is_head
            self._forget_sums(is_head)
        return is_head

    def _is_first_alive(self) -> bool:
        now_s = self._clock()
        for member in self._directory.division().group_members(self._name):
            if member.name == self._name:
                return True
            # One that has just registered is given time to send its first message.
            received_at_s = self._received_at_s.setdefault(member.name, now_s)
            if now_s - received_at_s <= PEER_TIMEOUT_S:
                return False
        return True

    def _forget_sums(self, is_head: bool) -> None:
        """Drop sums of the other role: a head receives each group, others the sum of all.

        Counting both would count every load twice.
        """
        for source in self._load.sources():
            if is_group(source) and (source == REST_SOURCE) == is_head:
                self._load.forget_source(source)
        for source in self._quotas.fleet_usage.sources():
            if is_group(source) and (source == REST_SOURCE) == is_head:
                self._quotas.fleet_usage.forget_source(source, self._clock())

    def is_counted(self, source: str) -> bool:
        """Whether a source counts here: each group counts at a head, their sum at the others."""
        return is_member(source) or (source == REST_SOURCE) != self.is_head()

    def source_of(self, gossip: Gossip) -> str | None:
        """Return the source under which the loads of a message count, or None if they do not."""
        if not gossip.group:
            return gossip.sender
        if (gossip.group == REST_OF_FLEET) == self.is_head():
            return None
        return GROUP_SOURCE + gossip.group

    async def receive(self, gossip: Gossip) -> None:
        """Note who sent a message and, as head, pass on what concerns others."""
        now_s = self._clock()
        if not gossip.group:
            self._received_at_s[gossip.sender] = now_s
            outbox = self._to_heads
        elif gossip.group == REST_OF_FLEET:
            self._received_at_s[gossip.sender] = now_s
            return
        else:
            self._speakers[gossip.group] = (gossip.sender, now_s)
            outbox = self._to_group
        if self.is_head():
            await self._pass_on(gossip, outbox)

    async def forward_own(self, gossip: Gossip) -> None:
        """Send the other groups what this node sent to its own, if it is head."""
        if self.is_head():
            await self._pass_on(gossip, self._to_heads)

    async def _pass_on(self, gossip: Gossip, outbox: GossipOutbox) -> None:
        for send in gossip.sends:
            if outbox is self._to_group:
                outbox.add_send(send)
            else:
                self._add_shared(send)
        for loading in gossip.loading:
            outbox.add_loading(loading)
        for suspect in gossip.suspects:
            outbox.add_suspect(suspect)
        for crash in gossip.crashes:
            outbox.add_crash(crash)
        for answered in gossip.answered:
            outbox.add_answered(answered)
        for leaving in gossip.leaving:
            outbox.add_leaving(leaving)
        for ended in gossip.ended:
            outbox.add_ended(ended)
        for limit in gossip.limits:
            outbox.add_limit(limit)
        # An engine that loads weights must get no request now. A back end that cannot be reached is
        # soon reported by several nodes, so that waits for the next message.
        if gossip.loading:
            await self.flush()

    def _add_shared(self, send: SendGossip) -> None:
        """Add a prompt's shared blocks, all but its last, once an engine has read them."""
        shared = send.blocks[:-1]
        if not send.is_ready or not shared:
            return
        now_s = self._clock()
        key = (send.instance, send.scope, shared[-1].block_id)
        if now_s - self._forwarded_at_s.get(key, float("-inf")) < RESEND_S:
            return
        if len(self._forwarded_at_s) >= MAX_REMEMBERED_SENDS:
            self._forwarded_at_s.clear()
        self._forwarded_at_s[key] = now_s
        self._to_heads.add_send(SendGossip(send.instance, send.scope, True, shared))

    def gather(self, must_refresh: bool) -> None:
        """Put the sums that have changed, or all, into the outboxes."""
        self._sums.gather(self._to_heads, self._to_group, self._clock(), must_refresh)

    async def flush(self, is_heartbeat: bool = False) -> None:
        """Send what has gathered, now.

        Args:
            is_heartbeat: Whether to send messages also if they are empty.
        """
        # Registrations may change while messages go out, so all receivers are looked up before.
        addresses = self._directory.group_addresses()
        division = self._directory.division()
        own_group = division.group_of[self._name]
        others = [group for group in division.groups if group != own_group]
        heads = [addresses[name] for group in others for name in self._heads(group)]
        peers = [addresses[name] for name in self.group_peers()]
        to_heads = self._to_heads.take(own_group, with_empty=is_heartbeat)
        to_group = self._to_group.take(with_empty=is_heartbeat)
        if to_heads is not None:
            await self._send(to_heads, heads)
        if to_group is not None:
            await self._send(to_group, peers)

    def _heads(self, group: str) -> tuple[str, ...]:
        """Return who is sent another group's share: who speaks for it, or its first members."""
        members = self._directory.division().groups[group]
        names = [member.name for member in members]
        speaker, received_at_s = self._speakers.get(group, ("", float("-inf")))
        if speaker in names and self._clock() - received_at_s <= PEER_TIMEOUT_S:
            return (speaker,)
        return tuple(names[:NUM_FIRST_HEADS])
