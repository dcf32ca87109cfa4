"""The membership protocol of one node: SWIM with suspicion, local health and anti-entropy.

The protocol does no I/O: the task passes in messages and ticks with the current time, and carries
out the returned actions.
"""

from collections.abc import Sequence
from random import Random

from weirscale.domain.identifiers import NodeAddress, NodeId, NodeName
from weirscale.domain.membership.actions import Action, SendCast, StartSync
from weirscale.domain.membership.broadcasts import split_for_casts
from weirscale.domain.membership.probes import Probe, ProbeTable
from weirscale.domain.membership.rules import MembershipRules
from weirscale.domain.membership.state import MembershipState
from weirscale.messages.membership import (
    Ack,
    Gossip,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
)

DEPARTURE_FANOUT = 12
"""Nodes to which a stopping node itself sends its departure; they disseminate it."""


class MembershipProtocol:
    """State machine of one node.

    Args:
        own: This node's record, ALIVE with no refutations.
        seeds: Addresses of nodes to join by. They are also tried later, so that partitioned fleets
            merge.
        rules: Intervals and limits.
        random: Chooses targets.
        now_s: Current time.
    """

    def __init__(
        self,
        own: MemberUpdate,
        seeds: Sequence[NodeAddress],
        rules: MembershipRules,
        random: Random,
        now_s: float,
    ) -> None:
        self.state = MembershipState(own, rules, now_s)
        self._rules = rules
        self._random = random
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._probes = ProbeTable()
        self._round = random.randrange(rules.random_every)
        self._has_joined = not self._seeds
        self._last_tick_s = now_s
        self._next_round_s = now_s + random.random() * rules.probe_interval_s
        self._next_gossip_s = now_s
        self._next_dead_probe_s = now_s + random.random() * rules.dead_probe_interval_s
        self._next_seed_s = now_s
        self._next_sync_s = now_s
        self._next_expiry_s = now_s

    @property
    def has_joined(self) -> bool:
        """Whether a seed has answered, or no seeds were given."""
        return self._has_joined

    def tick(self, now_s: float) -> list[Action]:
        """Advance all timers; call it every `rules.tick_s`."""
        self._handle_suspension(now_s)
        actions: list[Action] = []
        if self.state.is_superseded:
            return actions
        self._advance_probes(now_s, actions)
        self._start_round(now_s, actions)
        self._probe_queued(now_s, actions)
        self.state.declare_expired_dead(now_s)
        self._gossip(now_s, actions)
        self._probe_dead(now_s, actions)
        self._try_seed(now_s, actions)
        self._expire(now_s)
        return actions

    def handle_ping(self, source: NodeAddress, ping: Ping, now_s: float) -> list[Action]:
        """Answer a ping of this run; send the own record if the ping is for another run."""
        self.state.apply_all(ping.updates, now_s)
        own = self.state.own
        if not own.is_live or self.state.is_superseded:
            return []
        if NodeId(ping.target_name, ping.target_incarnation) != own.node:
            return [SendCast(source, Gossip((own,)))]
        actions: list[Action] = [
            SendCast(source, Ack(ping.sequence, self.state.table.digest, self._updates_to_send()))
        ]
        self._compare_digest(source, ping.digest, now_s, actions)
        return actions

    def handle_ack(self, source: NodeAddress, ack: Ack, now_s: float) -> list[Action]:
        """End the probe that the ack belongs to, or forward the ack if the ping was relayed."""
        self.state.apply_all(ack.updates, now_s)
        actions: list[Action] = []
        relay = self._probes.finish_relay(ack.sequence)
        if relay is not None:
            relayed_ack = Ack(relay.origin_sequence, self.state.table.digest)
            actions.append(SendCast(relay.origin, relayed_ack))
            return actions
        if self._probes.finish(ack.sequence) is not None:
            self.state.adjust_health_penalty(-1)
        self._compare_digest(source, ack.digest, now_s, actions)
        return actions

    def handle_ping_request(
        self, source: NodeAddress, request: PingRequest, now_s: float
    ) -> list[Action]:
        """Ping a node on behalf of another node."""
        sequence = self._probes.start_relay(source, request.sequence, now_s)
        return [SendCast(request.target.address, self._ping(sequence, request.target))]

    def handle_gossip(self, gossip: Gossip, now_s: float) -> list[Action]:
        """Apply the updates of a gossip message."""
        self.state.apply_all(gossip.updates, now_s)
        return []

    def sync_request(self) -> SyncRequest:
        """Return the request that `StartSync` sends."""
        digests = tuple(self.state.table.bucket_digests) if self._has_joined else ()
        return SyncRequest(self.state.own, digests)

    def answer_sync(self, request: SyncRequest, now_s: float) -> SyncReply:
        """Return the records of the buckets in which the two tables differ."""
        table = self.state.table
        buckets = table.differing_buckets(request.bucket_digests)
        reply = SyncReply(buckets, tuple(table.in_buckets(buckets)))
        self.state.apply(request.sender, now_s)
        return reply

    def handle_sync_reply(
        self, source: NodeAddress, reply: SyncReply, now_s: float
    ) -> list[Action]:
        """Apply the records of another node, and send it the records that are newer here."""
        self._has_joined = True
        remote = {update.name: update for update in reply.updates}
        newer: list[MemberUpdate] = []
        for record in self.state.table.in_buckets(reply.buckets):
            other = remote.get(record.name)
            if (other is None and record.is_live) or (
                other is not None and record.precedence() > other.precedence()
            ):
                newer.append(record)
        self.state.apply_all(reply.updates, now_s)
        return [SendCast(source, Gossip(group)) for group in split_for_casts(newer)]

    def probe_soon(self, name: NodeName) -> None:
        """Probe a member at the next tick, after a hint from another source."""
        self.state.to_probe.append(name)

    def leave(self, now_s: float) -> None:
        """Announce that this node is about to stop; it stays a member until `depart`."""
        if self.state.own.state is MemberState.ALIVE:
            self.state.declare_self(MemberState.LEAVING, now_s)

    def depart(self, now_s: float) -> list[Action]:
        """Announce that this node has stopped; it serves no more requests."""
        self.state.declare_self(MemberState.LEFT, now_s)
        table = self.state.table
        receivers = table.sample_live(self._random, DEPARTURE_FANOUT)
        return [SendCast(member.address, Gossip((self.state.own,))) for member in receivers]

    def _handle_suspension(self, now_s: float) -> None:
        """Detect a suspension of this process; acks missed during it prove nothing.

        Suspicions are postponed by its duration, because refutations were missed as well.
        """
        late_s = now_s - self._last_tick_s - self._rules.tick_s
        self._last_tick_s = now_s
        if late_s < self._rules.late_tick_s:
            return
        self._probes.clear()
        self.state.suspicions.postpone(late_s)
        self.state.adjust_health_penalty(self._rules.max_health_penalty)
        self._next_round_s = now_s + self._rules.probe_interval_s

    def _advance_probes(self, now_s: float, actions: list[Action]) -> None:
        stretch = 1 + self.state.health_penalty
        for sequence, probe in self._probes.in_flight():
            waited_s = now_s - probe.sent_at_s
            if waited_s >= self._rules.probe_timeout_s * stretch:
                # No penalty yet: when many nodes crash at once, this node is not the cause of the
                # failed probes. Only a refuted accusation proves that its timing is bad.
                self._probes.finish(sequence)
                self.state.accuse(probe.target, now_s)
                # The next node in the ring may have failed as well; do not wait for the next round.
                self._probe_successors(now_s, actions, in_fleet=True)
            elif waited_s >= self._rules.direct_timeout_s * stretch and not probe.helpers_asked:
                self._ask_helpers(sequence, probe, actions)

    def _ask_helpers(self, sequence: int, probe: Probe, actions: list[Action]) -> None:
        probe.helpers_asked = True
        excluded = (probe.target.name, self.state.own.name)
        sampled = self.state.table.sample_live(self._random, self._rules.num_helpers + 2)
        helpers = [member for member in sampled if member.name not in excluded]
        request = PingRequest(sequence, probe.target)
        for helper in helpers[: self._rules.num_helpers]:
            actions.append(SendCast(helper.address, request))

    def _start_round(self, now_s: float, actions: list[Action]) -> None:
        if now_s < self._next_round_s:
            return
        self._next_round_s = max(self._next_round_s + self._rules.probe_interval_s, now_s)
        self._round += 1
        is_fleet_round = self._round % self._rules.fleet_ring_every == 0
        self._probe_successors(now_s, actions, in_fleet=is_fleet_round)
        if self._round % self._rules.random_every == 0:
            chosen = self.state.table.random_live(self._random)
            if chosen is not None:
                self._probe_name(chosen.name, now_s, actions)

    def _probe_successors(self, now_s: float, actions: list[Action], *, in_fleet: bool) -> None:
        """Probe the next unsuspected node in the zone's ring.

        Also probe the next one in the fleet's ring if `in_fleet` or if the zone has no other node.
        """
        table = self.state.table
        own_name = self.state.own.name
        next_in_zone = table.zone_ring.successor(own_name, table.is_alive)
        if next_in_zone is not None:
            self._probe_name(next_in_zone, now_s, actions)
        if next_in_zone is not None and not in_fleet:
            return
        next_in_fleet = table.fleet_ring.successor(own_name, table.is_alive)
        if next_in_fleet is not None:
            self._probe_name(next_in_fleet, now_s, actions)

    def _probe_queued(self, now_s: float, actions: list[Action]) -> None:
        names = self.state.to_probe
        self.state.to_probe = []
        for name in names:
            self._probe_name(name, now_s, actions)

    def _probe_name(self, name: NodeName, now_s: float, actions: list[Action]) -> None:
        target = self.state.table.get(name)
        if target is None or not target.is_live or name == self.state.own.name:
            return
        sequence = self._probes.start(target, now_s)
        if sequence is not None:
            actions.append(SendCast(target.address, self._ping(sequence, target)))

    def _ping(self, sequence: int, target: MemberUpdate) -> Ping:
        # A member that is suspected or dead here must learn of it, so that it can refute it.
        record_to_refute = target if target.state >= MemberState.SUSPECT else None
        digest = self.state.table.digest
        return Ping(
            sequence,
            target.name,
            target.incarnation,
            digest,
            self._updates_to_send(record_to_refute),
        )

    def _updates_to_send(self, first: MemberUpdate | None = None) -> tuple[MemberUpdate, ...]:
        num_live = self.state.table.num_live
        return self.state.broadcasts.take(self._rules.num_transmissions(num_live), first)

    def _gossip(self, now_s: float, actions: list[Action]) -> None:
        if now_s < self._next_gossip_s or not len(self.state.broadcasts):
            return
        self._next_gossip_s = now_s + self._rules.gossip_interval_s
        own_name = self.state.own.name
        for member in self.state.table.sample_live(self._random, self._rules.gossip_fanout + 1):
            updates = self._updates_to_send() if member.name != own_name else ()
            if updates:
                actions.append(SendCast(member.address, Gossip(updates)))

    def _probe_dead(self, now_s: float, actions: list[Action]) -> None:
        if now_s < self._next_dead_probe_s:
            return
        self._next_dead_probe_s = now_s + self._rules.dead_probe_interval_s
        dead = self.state.table.random_dead(self._random)
        if dead is not None:
            ping = self._ping(self._probes.next_sequence(), dead)
            actions.append(SendCast(dead.address, ping))

    def _try_seed(self, now_s: float, actions: list[Action]) -> None:
        if now_s < self._next_seed_s or not self._seeds:
            return
        rules = self._rules
        self._next_seed_s = now_s + (
            rules.seed_interval_s if self._has_joined else rules.join_interval_s
        )
        if not self._has_joined:
            num_tried = min(rules.num_join_seeds, len(self._seeds))
            actions.extend(map(StartSync, self._random.sample(self._seeds, num_tried)))
            return
        seed = self._random.choice(self._seeds)
        if not self._is_member_address(seed):
            actions.append(StartSync(seed))

    def _is_member_address(self, address: NodeAddress) -> bool:
        return any(member.address == address for member in self.state.table.live())

    def _compare_digest(
        self, source: NodeAddress, digest: int, now_s: float, actions: list[Action]
    ) -> None:
        if digest == self.state.table.digest or now_s < self._next_sync_s:
            return
        if now_s - self.state.changed_at_s < self._rules.sync_quiet_s:
            return
        self._next_sync_s = now_s + self._rules.sync_interval_s
        actions.append(StartSync(source))

    def _expire(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + self._rules.seed_interval_s
        self.state.table.expire_tombstones(now_s - self._rules.tombstone_s)
        self._probes.drop_relays(now_s - self._rules.seed_interval_s)
