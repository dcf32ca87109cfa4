"""Carries news between groups of nodes: who speaks for a group, and what it passes on.

The head of a group is its strongest member that has been heard lately. It tells the heads of the
other groups the sum of its group's loads, which prompts its group's runs have read, which engines
are unreachable, and at once which ones load weights; and it tells its own group the sum of what the
other heads say. Two nodes that both take themselves for the head do no harm: sums are whole values,
and the latest replaces the one before. A head that is dead, frozen or cut off is replaced
`PEER_SILENCE_S` after it was last heard.
"""

from collections.abc import Awaitable, Callable, Iterable

from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.usage import NO_USAGE
from weirscale.gateway.limits.usage_reporter import UsageReporter
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.heartbeat import HEARTBEAT_INTERVAL_S, PEER_SILENCE_S
from weirscale.gateway.peers.messages import REST_OF_FLEET, Gossip, LoadGossip, SendGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.routing.load import NO_LOAD, FleetLoad, Load
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.ticks import sleep_to_tick

REFRESH_INTERVAL_S = 1.0
"""All loads are told again this often, which mends losses and shows that the node lives."""

GROUP_SOURCE = "group:"
"""Begins the source of another group's sum among the loads; names of nodes have no colon."""

REST_SOURCE = GROUP_SOURCE + REST_OF_FLEET

INTERVAL_S_A_GROUP = 0.03
LEAST_INTERVAL_S = 0.05
MOST_INTERVAL_S = 0.3
"""A node tells its news each 50 ms in a small fleet. With many groups most of what a node knows is
some tenths of a second old by the way over two heads, and newer news of its own group alone is
worth little: then fewer, larger messages do."""

NUM_FIRST_HEADS = 2
"""As many of a group's first members are told its news until one of them has spoken for it."""

REMIND_S = 4.0
"""A block of a prompt is told to other groups again after this: caches drop what is not used."""

MAX_REMEMBERED_SENDS = 20_000

Send = Callable[[Gossip, Iterable[ListenAddress]], Awaitable[None]]
"""Sends a message to several nodes; any may miss it."""


TellSums = Callable[[GossipOutbox, GossipOutbox, bool], None]
"""Puts further sums into what the other heads and this group are told, all of them if so told."""


def _tell_no_sums(_to_heads: GossipOutbox, _to_group: GossipOutbox, _must_refresh: bool) -> None:
    """Tell nothing further."""


def is_group(source: str) -> bool:
    """Whether a source is the sum of one or more groups."""
    return source.startswith(GROUP_SOURCE)


def is_member(source: str) -> bool:
    """Whether a source is a node of this node's group."""
    return not is_group(source)


def news_interval_s(num_groups: int) -> float:
    """Return the time between a node's messages to its group, and between a head's to others."""
    return min(MOST_INTERVAL_S, max(LEAST_INTERVAL_S, INTERVAL_S_A_GROUP * num_groups))


class RefreshTimer:
    """Tells when everything is to be told again, not only what has changed.

    Args:
        interval_s: Time between two.
    """

    def __init__(self, interval_s: float = REFRESH_INTERVAL_S) -> None:
        self._interval_s = interval_s
        self._refreshed_at_s = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether the interval has passed; if so, the next one begins."""
        if now_s - self._refreshed_at_s < self._interval_s:
            return False
        self._refreshed_at_s = now_s
        return True


class GroupRelay:
    """Passes news between this node's group and the others; it acts only while this node is head.

    Args:
        name: This node.
        directory: The registered nodes.
        load: Work at back ends, with what others told.
        quotas: What tenants spend, with what others told.
        send: Sends a message to several nodes.
        clock: Monotonic seconds.
        tell_sums: Adds sums that are kept elsewhere.
    """

    def __init__(
        self,
        name: str,
        directory: PeerDirectory,
        load: FleetLoad,
        quotas: QuotaLedger,
        send: Send,
        clock: Callable[[], float],
        tell_sums: TellSums = _tell_no_sums,
    ) -> None:
        self._tell_sums = tell_sums
        self._name = name
        self._directory = directory
        self._load = load
        self._quotas = quotas
        self._send = send
        self._clock = clock
        self._to_heads = GossipOutbox(name)
        self._to_group = GossipOutbox(name, REST_OF_FLEET)
        self._heard_at_s: dict[str, float] = {}
        """When a member of this node's group was last heard, or first seen in it."""
        self._speakers: dict[str, tuple[str, float]] = {}
        """Who spoke for another group last, and when."""
        self._told_sums: dict[str, dict[InstanceId, Load]] = {"": {}, REST_OF_FLEET: {}}
        self._told_sends: dict[tuple[str, str, str], float] = {}
        self._usage_to_heads = UsageReporter()
        self._usage_to_group = UsageReporter()
        self._was_head = False

    async def run(self) -> None:
        """Pass on what has gathered, until cancelled."""
        refresh, life = RefreshTimer(), RefreshTimer(HEARTBEAT_INTERVAL_S)
        while True:
            must_refresh = refresh.is_due(self._clock())
            if self.is_head():
                self._gather(must_refresh)
                await self.flush(is_heartbeat=must_refresh or self.is_heartbeat_due(life))
            await sleep_to_tick(self.interval_s())

    def is_heartbeat_due(self, timer: "RefreshTimer") -> bool:
        """Whether others need to hear from this node although it has nothing to tell."""
        return self._quotas.has_quotas() and timer.is_due(self._clock())

    def interval_s(self) -> float:
        """Return the time between messages in a fleet of this size."""
        return news_interval_s(len(self._directory.division().groups))

    def delay_s(self) -> float:
        """Return how much later than within a single group news of other nodes' loads comes."""
        return self.interval_s() - LEAST_INTERVAL_S

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
            # One that has just registered is given time to be heard.
            received_at_s = self._heard_at_s.setdefault(member.name, now_s)
            if now_s - received_at_s <= PEER_SILENCE_S:
                return False
        return True

    def _forget_sums(self, is_head: bool) -> None:
        """A head hears of each group, other members of all at once: never count both."""
        for source in self._load.sources():
            if is_group(source) and (source == REST_SOURCE) == is_head:
                self._load.forget_source(source)
        for source in self._quotas.fleet.sources():
            if is_group(source) and (source == REST_SOURCE) == is_head:
                self._quotas.fleet.forget_source(source, self._clock())

    def counts(self, source: str) -> bool:
        """Whether what a source tells counts here: a head hears each group, others their sum."""
        return is_member(source) or (source == REST_SOURCE) != self.is_head()

    def source_of(self, gossip: Gossip) -> str | None:
        """Return the source under which the loads of some news count, or None if they do not."""
        if not gossip.group:
            return gossip.sender
        if (gossip.group == REST_OF_FLEET) == self.is_head():
            return None
        return GROUP_SOURCE + gossip.group

    async def receive(self, gossip: Gossip) -> None:
        """Take note of some news and pass on what concerns others."""
        now_s = self._clock()
        if not gossip.group:
            self._heard_at_s[gossip.sender] = now_s
            outbox = self._to_heads
        elif gossip.group == REST_OF_FLEET:
            self._heard_at_s[gossip.sender] = now_s
            return
        else:
            self._speakers[gossip.group] = (gossip.sender, now_s)
            outbox = self._to_group
        if self.is_head():
            await self._pass_on(gossip, outbox)

    async def tell_own(self, gossip: Gossip) -> None:
        """Tell other groups what this node told its own."""
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
        # What was unreachable to one node is soon told by many: that waits for the next message.
        if gossip.loading:
            await self.flush()

    def _add_shared(self, send: SendGossip) -> None:
        """Tell of a prompt's shared blocks once they have been read; the last is its own alone."""
        shared = send.blocks[:-1]
        if not send.is_ready or not shared:
            return
        now_s = self._clock()
        key = (send.instance, send.scope, shared[-1].block_id)
        if now_s - self._told_sends.get(key, float("-inf")) < REMIND_S:
            return
        if len(self._told_sends) >= MAX_REMEMBERED_SENDS:
            self._told_sends.clear()
        self._told_sends[key] = now_s
        self._to_heads.add_send(SendGossip(send.instance, send.scope, True, shared))

    def _gather(self, must_refresh: bool) -> None:
        """Put the sums that have changed, or all, into the outboxes."""
        now_s = self._clock()
        own = self._load.sum_of(is_member, now_s)
        for instance in self._load.own_instances():
            own[instance] = own.get(instance, NO_LOAD).plus(self._load.own(instance))
        rest = self._load.sum_of(is_group, now_s)
        self._add_sums(self._to_heads, "", own, must_refresh)
        self._add_sums(self._to_group, REST_OF_FLEET, rest, must_refresh)
        self._gather_usage(must_refresh)
        self._tell_sums(self._to_heads, self._to_group, must_refresh)

    def _gather_usage(self, must_refresh: bool) -> None:
        fleet = self._quotas.fleet
        since_s = self._quotas.contact_since_s()
        num_members, own = fleet.sum_of(is_member, since_s)
        num_others, rest = fleet.sum_of(is_group, since_s)
        for tenant, usage in self._quotas.own_usage():
            own[tenant] = own.get(tenant, NO_USAGE).plus(usage)
        self._to_heads.set_num_nodes(1 + num_members)
        self._to_group.set_num_nodes(num_others)
        self._usage_to_heads.add_to(self._to_heads, own, must_refresh)
        self._usage_to_group.add_to(self._to_group, rest, must_refresh)

    def _add_sums(
        self, outbox: GossipOutbox, key: str, sums: dict[InstanceId, Load], must_refresh: bool
    ) -> None:
        told = self._told_sums[key]
        for instance in told.keys() | sums.keys():
            load = sums.get(instance, NO_LOAD)
            if must_refresh or load != told.get(instance, NO_LOAD):
                outbox.add_load(
                    LoadGossip(instance, load.num_requests, load.waiting_tokens, load.held_tokens)
                )
        self._told_sums[key] = sums

    async def flush(self, is_heartbeat: bool = False) -> None:
        """Send what has gathered, now.

        Args:
            shows_life: Whether to send messages also if there is nothing to tell.
        """
        # Registrations may change while messages go out: all receivers are worked out before.
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
        """Return whom to tell of another group: who speaks for it, or its first members."""
        members = self._directory.division().groups[group]
        names = [member.name for member in members]
        speaker, received_at_s = self._speakers.get(group, ("", float("-inf")))
        if speaker in names and self._clock() - received_at_s <= PEER_SILENCE_S:
            return (speaker,)
        return tuple(names[:NUM_FIRST_HEADS])
