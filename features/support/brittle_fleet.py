"""Simulates only the rules for brittle back ends, at fleet sizes that whole nodes would not allow."""

import heapq
import itertools
from random import Random

from features.support.platform_fleet import EventRecorder
from weirscale.gateway.model.back_ends import BackEnd, BackEndState
from weirscale.gateway.request_limits.brittle import BrittleBackEnds, NodeRank

STEP_S = 0.02
RUN_S = 1.0
GOSSIP_DELAYS_S = (0.1, 0.4)
CANDIDATES = 20
"""Number of back ends that a node considers for a request."""


class SimulatedNode:
    """One node: what it sent, and what it has heard of the others' requests."""

    def __init__(self, fleet, index):
        self.own = dict.fromkeys(fleet.present, 0)
        self.heard = dict.fromkeys(fleet.present, 0)
        """All nodes' requests, as they were one gossip delay ago."""
        self.brittle = BrittleBackEnds(
            lambda: NodeRank(index, fleet.num_nodes),
            lambda instance: (self.own[instance], max(self.own[instance], self.heard[instance])),
            EventRecorder(),
            Random(index),
            lambda: fleet.now_s,
        )


class BrittleFleet:
    """Nodes before brittle back ends; every arrival goes to the least loaded one that is admitted.

    Args:
        num_nodes: Number of nodes.
        num_back_ends: Number of back ends.
        slots: Slots of each back end.
        room: Requests that each back end lets run or wait.
        share_of_first: Share of all arrivals that come to the first node.
    """

    def __init__(self, num_nodes, num_back_ends, slots, room, share_of_first=None, seed=1):
        self.now_s = 100.0
        self.num_nodes = num_nodes
        self._room = room
        self._share_of_first = share_of_first
        self._random = Random(seed)
        self.back_ends = [
            BackEnd(f"i-{number}", "s", f"10.0.0.1:{number}", "z", BackEndState.READY, slots)
            for number in range(num_back_ends)
        ]
        self.present = {one.instance: 0 for one in self.back_ends}
        self.refused_s = {one.instance: [] for one in self.back_ends}
        self.nodes = [SimulatedNode(self, index) for index in range(num_nodes)]
        self.num_sent = 0
        self.num_turned_away = 0
        self._events = []
        self._order = itertools.count()

    def run(self, arrivals_per_s, seconds):
        """Let requests arrive for some seconds; all nodes know from the start who is brittle."""
        self._state_to_all()
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            if int(self.now_s / STEP_S) % 50 == 0:
                self._state_to_all()
            self._gossip()
            mean = arrivals_per_s * STEP_S
            for _ in range(int(mean) + (self._random.random() < mean % 1.0)):
                self._arrive()

    def _state_to_all(self):
        for node in self.nodes:
            for one in self.back_ends:
                node.brittle.stated(one.run_id, 2.0)

    def _gossip(self):
        """Each step, a tenth of the nodes hears of all requests that were present a while ago."""
        snapshot = dict(self.present)
        for node in self._random.sample(self.nodes, max(1, self.num_nodes // 10)):
            self._after(
                self._random.uniform(*GOSSIP_DELAYS_S),
                lambda node=node: setattr(node, "heard", dict(snapshot)),
            )

    def _after(self, seconds, action):
        heapq.heappush(self._events, (self.now_s + seconds, next(self._order), action))

    def _arrive(self):
        is_first = self._share_of_first and self._random.random() < self._share_of_first
        node = self.nodes[0] if is_first else self._random.choice(self.nodes)
        sampled = self._random.sample(self.back_ends, min(CANDIDATES, len(self.back_ends)))
        admitted = [one for one in sampled if node.brittle.admits(one, self.back_ends)]
        if not admitted:
            self.num_turned_away += 1
            return
        one = min(admitted, key=lambda one: node.own[one.instance] + node.heard[one.instance])
        node.brittle.request_sent(one.run_id)
        self.num_sent += 1
        if self.present[one.instance] >= self._room:
            self._refuse(node, one)
            return
        self.present[one.instance] += 1
        node.own[one.instance] += 1
        self._after(self._random.expovariate(1.0 / RUN_S), lambda: self._end(node, one.instance))

    def _end(self, node, instance):
        self.present[instance] -= 1
        node.own[instance] -= 1

    def _refuse(self, node, one):
        self.refused_s[one.instance].append(self.now_s)
        gossip = node.brittle.refused(one)
        for other in self.nodes:
            if other is not node:
                delay_s = self._random.uniform(*GOSSIP_DELAYS_S)
                self._after(delay_s, lambda other=other: other.brittle.told(gossip))

    def most_refused_in_a_second(self):
        """Return the most refusals of one back end in a second."""
        return max(
            (
                sum(at_s <= other_s < at_s + 1.0 for other_s in times_s)
                for times_s in self.refused_s.values()
                for at_s in times_s
            ),
            default=0,
        )

    def num_falls(self, max_refusals):
        """Return how many seconds, of all back ends, had more refusals than these."""
        falls = 0
        for times_s in self.refused_s.values():
            fallen_until_s = 0.0
            for at_s in times_s:
                recent = [other_s for other_s in times_s if at_s - 1.0 < other_s <= at_s]
                if at_s >= fallen_until_s and len(recent) > max_refusals:
                    falls, fallen_until_s = falls + 1, at_s + 3.0
        return falls
