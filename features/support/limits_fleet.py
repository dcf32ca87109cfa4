"""Nodes that share limits in simulated time; messages are lost, duplicated, late and cut."""

import heapq
import itertools
import random

from weirscale.domain.configuration.model import Tenant
from weirscale.domain.identifiers import NodeAddress
from weirscale.domain.limits.exchange import ShareExchange
from weirscale.domain.limits.fair_queue import WaitingTotals
from weirscale.domain.limits.homes import Member

STEP_S = 0.02
DEFAULT_MAX_DELAY_S = 0.002


class SharingNode:
    """One node: its share exchange, and its waiting and running requests of one tenant."""

    def __init__(self, fleet, number, zone):
        self.member = Member(NodeAddress("10.0.0.1", number), zone)
        self.exchange = ShareExchange(self.member, 1, random.Random(number))
        self.num_waiting = 0
        self.ends = []
        self.num_started = 0
        self.holding = self.exchange.holding_of(fleet.tenant, 0.0)


class SharingFleet:
    """A fleet that runs in fixed time steps; `tenant` is the only tenant."""

    def __init__(self, tenant, zones, nodes_in_zone, seed):
        self.tenant, self.zones = tenant, zones
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.loss_probability = self.duplication_probability = 0.0
        self.max_delay_s = DEFAULT_MAX_DELAY_S
        self.cut_zones, self.isolated = set(), set()
        self.arrivals_per_s = {}
        self.hold_s = 0.3
        self.nodes = {}
        self.in_flight, self.send_order = [], itertools.count()
        self.most_slots = 0
        for zone in zones:
            for _ in range(nodes_in_zone):
                number = len(self.nodes)
                self.nodes[number] = SharingNode(self, number, zone)
        for node in self.nodes.values():
            node.exchange.set_limits([tenant], zones, 0.0)
            node.exchange.set_members([other.member for other in self.nodes.values()], 0.0)

    def run(self, duration_s):
        for _ in range(int(duration_s / STEP_S)):
            self.now_s += STEP_S
            self._deliver()
            for number, node in self.nodes.items():
                self._step_node(number, node)
            self._record_usable_slots()

    def _step_node(self, number, node):
        rate = self.arrivals_per_s.get(number, 0.0)
        if self.random.random() < rate * STEP_S:
            node.num_waiting += 1
            node.holding.record_arrival(0)
        while node.ends and node.ends[0] <= self.now_s:
            heapq.heappop(node.ends)
            node.holding.finish()
        while node.num_waiting and node.holding.can_start(0, self.now_s):
            node.holding.start(0, self.now_s)
            node.num_waiting -= 1
            node.num_started += 1
            heapq.heappush(node.ends, self.now_s + self.hold_s * self.random.uniform(0.5, 1.5))
        waiting = {self.tenant.name: WaitingTotals(node.num_waiting, 0)} if node.num_waiting else {}
        for outgoing in node.exchange.due(waiting, self.now_s):
            self._send(number, outgoing)

    def _send(self, source, outgoing):
        copies = 1 + (self.random.random() < self.duplication_probability)
        for _ in range(copies):
            if self.random.random() >= self.loss_probability:
                arrives_s = self.now_s + self.random.uniform(0.0, self.max_delay_s)
                item = (arrives_s, next(self.send_order), source, outgoing)
                heapq.heappush(self.in_flight, item)

    def _deliver(self):
        while self.in_flight and self.in_flight[0][0] <= self.now_s:
            _, _, source, outgoing = heapq.heappop(self.in_flight)
            target = self.nodes[outgoing.destination.port]
            if self._is_cut(source, outgoing.destination.port):
                continue
            address = self.nodes[source].member.address
            if hasattr(outgoing.message.items[0], "slots_wanted"):
                answer = target.exchange.handle_demand(address, outgoing.message, self.now_s)
                if answer is not None:
                    self._send(outgoing.destination.port, answer)
            else:
                target.exchange.handle_grant(address, outgoing.message, self.now_s)

    def _is_cut(self, source, destination):
        if source in self.isolated or destination in self.isolated:
            return True
        zones = [self.nodes[number].member.zone for number in (source, destination)]
        return (zones[0] in self.cut_zones) != (zones[1] in self.cut_zones)

    def _record_usable_slots(self):
        usable = sum(node.holding.slots(self.now_s) for node in self.nodes.values())
        self.most_slots = max(self.most_slots, usable)

    def num_started(self):
        return sum(node.num_started for node in self.nodes.values())


def limited_tenant(**limits):
    return Tenant("school", (), **limits)
