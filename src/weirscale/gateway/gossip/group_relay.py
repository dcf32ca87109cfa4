"""Forwards gossip between groups of nodes: selects the head of a group, which does the forwarding.

The head of a group is the first member in rank from which a message was received recently. It sends
the sum of its group's loads, the prompts that its group's engines have prefilled and the
unreachable back ends to the heads of the other groups. Engines that start to load weights are
reported without delay. To its own group it sends the sum of the messages of the other heads. If two
nodes both act as head, no harm is done: sums are absolute values, and the latest replaces the
previous one. A head that has failed, is suspended or is partitioned is replaced `PEER_TIMEOUT_S`
after its last message.

`PeerDirectory` provides the division into groups, which is the same on all nodes.
"""

from collections.abc import Callable

from weirscale.gateway.gossip.group_sums import AddSums, GroupSums, add_no_sums
from weirscale.gateway.gossip.intervals import GossipPace, RefreshTimer
from weirscale.gateway.gossip.sources import GROUP_SOURCE, REST_SOURCE, is_group, is_member
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.peers.gossip_entries import SendGossip
from weirscale.gateway.peers.heartbeat import HEARTBEAT_INTERVAL_S, PEER_TIMEOUT_S
from weirscale.gateway.peers.messages import REST_OF_FLEET, Gossip, SendMessage
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.ticks import sleep_to_tick

NUM_HEAD_CANDIDATES = 2
"""Number of members of another group that get the messages to its head, until a message of its head
has been received: the first two in rank, in case one of them has stopped."""

RESEND_INTERVAL_S = 4.0
"""Seconds after which a shared prompt block is sent to the other groups again. Engines evict unused
blocks, and a head that missed the first message gets the block this way."""

MAX_REMEMBERED_SENDS = 20_000
"""Largest number of remembered prompts that were sent to the other groups, to limit memory. When
it is reached, all entries are dropped and the prompts are sent once more."""


class GroupRelay:
    """Forwards gossip between this node's group and the others, while this node is the head.

    Args:
        name: Name of this node.
        directory: The registered nodes.
        load: Loads on back ends, own and received.
        quotas: Usage of tenants with a quota, own and received.
        send: Sends a message to several nodes.
        clock: Returns monotonic seconds.
        add_sums: Adds further sums to the messages of a head.
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
        """Time of the last message of each member of this group, or when it was first seen."""
        self._last_heads: dict[str, tuple[str, float]] = {}
        """The head that last sent a message for each other group, and the time of the message."""
        self._sums = GroupSums(load, quotas, add_sums)
        self._forwarded_at_s: dict[tuple[str, str, str], float] = {}
        """Time at which a prompt was last sent to the other heads, by engine, cache scope and last
        block."""
        self._was_head = False

    async def run(self) -> None:
        """Send the messages of a head, while this node is one, until cancelled."""
        refresh, heartbeat = RefreshTimer(), RefreshTimer(HEARTBEAT_INTERVAL_S)
        while True:
            must_refresh = refresh.is_due(self._clock())
            if self.is_head():
                self.gather(must_refresh)
                await self.flush(is_heartbeat=must_refresh or self.is_heartbeat_due(heartbeat))
            await sleep_to_tick(self.interval_s())

    def is_heartbeat_due(self, timer: RefreshTimer) -> bool:
        """Return whether a heartbeat is due; only quotas need such early failure detection."""
        return self._quotas.has_quotas() and timer.is_due(self._clock())

    def interval_s(self) -> float:
        """Return the seconds between messages in a fleet of this size."""
        return self._pace.interval_s()

    def group_peers(self) -> tuple[str, ...]:
        """Return the names of the other members of this node's group."""
        members = self._directory.division().group_members(self._name)
        return tuple(member.name for member in members if member.name != self._name)

    def is_head(self) -> bool:
        """Return whether this node is the head of its group, if there are several groups."""
        division = self._directory.division()
        is_head = len(division.groups) > 1 and self._is_first_responsive()
        if is_head != self._was_head:
            self._was_head = is_head
            self._drop_sums_of_other_role(is_head)
        return is_head

    def _is_first_responsive(self) -> bool:
        now_s = self._clock()
        for member in self._directory.division().group_members(self._name):
            if member.name == self._name:
                return True
            # A member that has just registered gets time to send its first message.
            received_at_s = self._received_at_s.setdefault(member.name, now_s)
            if now_s - received_at_s <= PEER_TIMEOUT_S:
                return False
        return True

    def _drop_sums_of_other_role(self, is_head: bool) -> None:
        """Drop the sums received in the other role.

        A head receives one sum for each other group, and the other members one sum for all of them.
        Keeping both would count every load twice.
        """
        for source in self._load.sources():
            if is_group(source) and (source == REST_SOURCE) == is_head:
                self._load.forget_source(source)
        for source in self._quotas.fleet_usage.sources():
            if is_group(source) and (source == REST_SOURCE) == is_head:
                self._quotas.fleet_usage.forget_source(source, self._clock())

    def is_counted(self, source: str) -> bool:
        """Return whether the values of a source count at this node.

        Members of the own group always count. At a head the sum of each other group counts, and at
        the other members the sum of all other groups.
        """
        return is_member(source) or (source == REST_SOURCE) != self.is_head()

    def source_of(self, gossip: Gossip) -> str | None:
        """Return the source of a message's loads, or None if they do not count at this node."""
        if not gossip.group:
            return gossip.sender
        if (gossip.group == REST_OF_FLEET) == self.is_head():
            return None
        return GROUP_SOURCE + gossip.group

    async def receive(self, gossip: Gossip) -> None:
        """Record the sender of a message and, as head, forward its contents."""
        now_s = self._clock()
        if not gossip.group:
            self._received_at_s[gossip.sender] = now_s
            outbox = self._to_heads
        elif gossip.group == REST_OF_FLEET:
            self._received_at_s[gossip.sender] = now_s
            return
        else:
            self._last_heads[gossip.group] = (gossip.sender, now_s)
            outbox = self._to_group
        if self.is_head():
            await self._forward(gossip, outbox)

    async def forward_own(self, gossip: Gossip) -> None:
        """Forward a message that this node sent to its own group, if this node is the head."""
        if self.is_head():
            await self._forward(gossip, self._to_heads)

    async def _forward(self, gossip: Gossip, outbox: GossipOutbox) -> None:
        for send in gossip.sends:
            if outbox is self._to_group:
                outbox.add_send(send)
            else:
                self._add_shared_blocks(send)
        for loading in gossip.loading:
            outbox.add_loading(loading)
        for suspect in gossip.suspects:
            outbox.add_suspect(suspect)
        for crash in gossip.crashes:
            outbox.add_crash(crash)
        for answered in gossip.answered:
            outbox.add_answered(answered)
        for blocks_crash in gossip.blocks_crashes:
            outbox.add_blocks_crash(blocks_crash)
        for answered_block in gossip.answered_blocks:
            outbox.add_answered_block(answered_block)
        for leaving in gossip.leaving:
            outbox.add_leaving(leaving)
        for ended in gossip.ended:
            outbox.add_ended(ended)
        for limit in gossip.limits:
            outbox.add_limit(limit)
        for brittle in gossip.brittle:
            outbox.add_brittle(brittle)
        # An engine that loads weights or is full must get no more requests, so this is sent
        # immediately. An
        # unreachable back end is soon reported by several nodes and can wait for the next message.
        if gossip.loading or any(brittle.is_refusal for brittle in gossip.brittle):
            await self.flush()

    def _add_shared_blocks(self, send: SendGossip) -> None:
        """Add a prompt's shared blocks, i.e. all but its last, once an engine has prefilled it."""
        shared = send.blocks[:-1]
        if not send.is_ready or not shared:
            return
        now_s = self._clock()
        key = (send.instance, send.scope, shared[-1].block_id)
        if now_s - self._forwarded_at_s.get(key, float("-inf")) < RESEND_INTERVAL_S:
            return
        if len(self._forwarded_at_s) >= MAX_REMEMBERED_SENDS:
            self._forwarded_at_s.clear()
        self._forwarded_at_s[key] = now_s
        self._to_heads.add_send(SendGossip(send.instance, send.scope, True, shared))

    def gather(self, must_refresh: bool) -> None:
        """Add the sums that have changed, or all if `must_refresh`, to the outboxes."""
        self._sums.gather(self._to_heads, self._to_group, self._clock(), must_refresh)

    async def flush(self, is_heartbeat: bool = False) -> None:
        """Send the contents of the outboxes now.

        Args:
            is_heartbeat: Whether to send the messages even if they are empty.
        """
        # Registrations may change during the sends, so all receivers are looked up first.
        addresses = self._directory.group_addresses()
        division = self._directory.division()
        own_group = division.group_of[self._name]
        others = [group for group in division.groups if group != own_group]
        heads = [addresses[name] for group in others for name in self._heads_of(group)]
        peers = [addresses[name] for name in self.group_peers()]
        to_heads = self._to_heads.take(own_group, with_empty=is_heartbeat)
        to_group = self._to_group.take(with_empty=is_heartbeat)
        if to_heads is not None:
            await self._send(to_heads, heads)
        if to_group is not None:
            await self._send(to_group, peers)

    def _heads_of(self, group: str) -> tuple[str, ...]:
        """Return the nodes that get the messages to another group.

        This is the head from which a message was received recently, or else the first members.
        """
        members = self._directory.division().groups[group]
        names = [member.name for member in members]
        head, received_at_s = self._last_heads.get(group, ("", float("-inf")))
        if head in names and self._clock() - received_at_s <= PEER_TIMEOUT_S:
            return (head,)
        return tuple(names[:NUM_HEAD_CANDIDATES])
