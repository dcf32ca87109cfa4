"""Tunable parameters of the membership protocol."""

import math

import msgspec


class MembershipRules(msgspec.Struct, frozen=True):
    """Intervals, limits and timeouts; the defaults suit fleets of 50 to 400 nodes.

    Attributes:
        tick_s: Interval of the protocol's ticks.
        late_tick_s: A tick that is late by this much means that the process was suspended.
        probe_interval_s: Time between probe rounds; each round probes the next node in the own
            zone's ring, so every node is probed once per round.
        fleet_ring_every: In one of this many rounds, the next node in the fleet's ring is probed
            as well.
        random_every: In one of this many rounds, a random node is probed as well.
        direct_timeout_s: Time without an ack after which indirect probes are requested.
        probe_timeout_s: Time without any ack after which the node is suspected.
        num_helpers: Number of nodes that are asked for an indirect probe.
        suspicion_min_s: Duration of a suspicion with enough independent confirmations.
        suspicion_max_s: Duration of a suspicion with a single accuser.
        num_confirmations: Number of further accusers that reduce the duration to the minimum.
        num_confirmers: Number of nodes that probe a suspect at once to confirm the suspicion.
        gossip_interval_s: Time between gossip rounds while there are updates to send.
        gossip_fanout: Number of nodes that get the updates in a round.
        retransmit_factor: Each update is sent this many times log10 of the fleet's size.
        max_health_penalty: Limit of the local health penalty, which stretches probe timeouts.
        dead_probe_interval_s: Interval at which a random dead member is probed; heals partitions.
        seed_interval_s: Interval at which a seed that is not a live member is tried.
        join_interval_s: Interval at which seeds are tried before the first answer.
        num_join_seeds: Number of seeds tried at once before the first answer: a seed that is down
            or starting must not delay a starting node.
        sync_quiet_s: Time after a change during which digests may differ without a sync.
        sync_interval_s: Minimum time between syncs.
        tombstone_s: How long dead members are kept.
        max_tombstones: Maximum number of dead members kept.
    """

    tick_s: float = 0.1
    late_tick_s: float = 0.5
    probe_interval_s: float = 1.0
    fleet_ring_every: int = 2
    random_every: int = 4
    direct_timeout_s: float = 0.25
    probe_timeout_s: float = 0.7
    num_helpers: int = 3
    suspicion_min_s: float = 1.2
    suspicion_max_s: float = 6.0
    num_confirmations: int = 3
    num_confirmers: int = 5
    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    retransmit_factor: float = 4.0
    max_health_penalty: int = 4
    dead_probe_interval_s: float = 5.0
    seed_interval_s: float = 10.0
    join_interval_s: float = 0.5
    num_join_seeds: int = 2
    sync_quiet_s: float = 2.0
    sync_interval_s: float = 3.0
    tombstone_s: float = 3600.0
    max_tombstones: int = 2000

    def suspicion_timeout_s(self, num_further_accusers: int, num_live: int) -> float:
        """Return the duration of a suspicion, given the number of accusers beyond the first."""
        expected = min(self.num_confirmations, num_live - 2)
        if expected < 1:
            return self.suspicion_min_s
        share = math.log(num_further_accusers + 1) / math.log(expected + 1)
        span_s = self.suspicion_max_s - self.suspicion_min_s
        return max(self.suspicion_min_s, self.suspicion_max_s - span_s * share)

    def num_transmissions(self, num_live: int) -> int:
        """Return how often each update is sent."""
        return math.ceil(self.retransmit_factor * math.log10(num_live + 1))
