"""Tunable numbers of the membership protocol."""

import math

import msgspec


class MembershipRules(msgspec.Struct, frozen=True):
    """Intervals, limits and timeouts; the defaults are measured at 50 to 400 nodes.

    Attributes:
        tick_s: How often the protocol is stepped.
        late_tick_s: A tick later than this means that the process was paused.
        probe_interval_s: Time between probe rounds; each round probes the next node of the own
            zone's ring, so every node is probed once in it.
        fleet_ring_every: Rounds in which the next node of the fleet's ring is probed as well.
        random_every: Rounds in which a random node is probed as well.
        direct_timeout_s: Wait for an ack before helpers are asked.
        probe_timeout_s: Wait for any ack before the node is suspected.
        num_helpers: Nodes asked to probe indirectly.
        suspicion_min_s: Suspicion lasts this long when independently confirmed.
        suspicion_max_s: Suspicion lasts this long with a single accuser.
        num_confirmations: Further accusers that bring it down to the minimum.
        num_confirmers: Nodes that probe a suspect at once, to confirm or not.
        gossip_interval_s: Time between gossip rounds while there is news.
        gossip_fanout: Nodes told in a round.
        retransmit_factor: Each piece of news is sent this many times log10 of the fleet's size.
        max_health_penalty: Limit of the local health score, which stretches probe timeouts.
        dead_probe_interval_s: How often one dead member is tried again, which heals cuts.
        seed_interval_s: How often a seed that is not in the view is tried.
        join_interval_s: How often seeds are tried before the first answer.
        num_join_seeds: Seeds tried at once before the first answer: one that is down or starts
            itself must not hold up a node that starts.
        sync_quiet_s: A digest may differ this long after a change before views are compared.
        sync_interval_s: Shortest time between comparisons.
        tombstone_s: Dead members are remembered this long.
        max_tombstones: Dead members remembered at most.
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
        """Return how long a suspicion lasts, given accusers beyond the first."""
        expected = min(self.num_confirmations, num_live - 2)
        if expected < 1:
            return self.suspicion_min_s
        share = math.log(num_further_accusers + 1) / math.log(expected + 1)
        span_s = self.suspicion_max_s - self.suspicion_min_s
        return max(self.suspicion_min_s, self.suspicion_max_s - span_s * share)

    def num_transmissions(self, num_live: int) -> int:
        """Return how often each piece of news is sent."""
        return math.ceil(self.retransmit_factor * math.log10(num_live + 1))
