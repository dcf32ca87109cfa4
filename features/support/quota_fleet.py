"""Nodes that enforce tenants' quotas with the product's own gossip, in simulated time.

Each node has the product's ledger, group relay and peer directory. Datagrams are delayed, sometimes
lost, and never cross between partitions. Usage is recorded outside the nodes, as back ends would
see it.
"""

import heapq
import itertools
import random
from collections import Counter, deque

import msgspec

from features.support.platform_fleet import EventRecorder
from weirscale.gateway.gossip.group_relay import GroupRelay
from weirscale.gateway.gossip.intervals import RefreshTimer
from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.limits.usage_reporter import UsageReporter, read_usage
from weirscale.gateway.peers.heartbeat import HEARTBEAT_INTERVAL_S
from weirscale.gateway.peers.messages import encode_message
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import NODE_PREFIX, PeerDirectory, Registration, cbor2
from weirscale.gateway.ports.state_feed import RecordChanged, StateBatch, VersionedChange
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.settings import QuotaPrecision
from weirscale.gateway.state.cluster_state import ClusterState

STEP_S = 0.01
MIN_DELAY_S, MAX_DELAY_S = 0.0005, 0.003
RESTART_DURATION_S = 1.0
URGENT, ORDINARY = 0, 1


def run_without_waiting(coroutine):
    """Run a coroutine to its end; raise AssertionError if it waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


def host_of_node(number):
    """Return the IP number of a node."""
    return f"10.9.{number // 256}.{number % 256}"


class QuotaNode:
    """A node with the parts that enforce quotas."""

    ledger_class = QuotaLedger

    def __init__(self, fleet, name, zone, offset_s):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.offset_s = offset_s
        self.suspended_until_s = self.down_until_s = 0.0
        self.partition = 0
        self.delayed_messages = []
        self.start()

    def clock(self):
        return self.fleet.now_s + self.offset_s

    def start(self):
        """Start the process without any state."""
        fleet = self.fleet
        cluster = ClusterState(EventRecorder(), self.clock)
        cluster.apply(fleet.registrations, self.clock())
        self.peers = PeerDirectory(self.name, cluster, self.clock, self.zone, 100)
        self.load = FleetLoad()
        self.outbox = GossipOutbox(self.name)
        self.quotas = fleet.ledger_class(
            fleet.bounds,
            lambda: self.peers.num_nodes(fleet.bounds.window_s),
            lambda: self.relay.interval_s(),
            random.Random(fleet.random.random()),
            self.clock,
        )
        self.quotas.set_tenants(fleet.tenants)
        self.usage_reporter = UsageReporter()
        self.relay = GroupRelay(
            self.name, self.peers, self.load, self.quotas, self.send, self.clock
        )
        self.refresh, self.head_refresh = RefreshTimer(), RefreshTimer()
        self.heartbeat = RefreshTimer(HEARTBEAT_INTERVAL_S)
        self.head_heartbeat = RefreshTimer(HEARTBEAT_INTERVAL_S)
        self.next_tick_s = fleet.now_s + fleet.random.random() * self.relay.interval_s()

    def is_up(self):
        now_s = self.fleet.now_s
        return now_s >= self.suspended_until_s and now_s >= self.down_until_s

    async def send(self, message, addresses):
        self.fleet.deliver(
            self, message, [self.fleet.name_at[address.host] for address in addresses]
        )

    def tick(self):
        if not self.is_up() or self.fleet.now_s < self.next_tick_s:
            return
        self.next_tick_s = self.fleet.now_s + self.relay.interval_s()
        must_refresh = self.refresh.is_due(self.clock())
        self.quotas.tick()
        self.usage_reporter.add_to(self.outbox, dict(self.quotas.own_usage()), must_refresh)
        is_heartbeat = must_refresh or self.relay.is_heartbeat_due(self.heartbeat)
        gossip = self.outbox.take(with_empty=is_heartbeat)
        if gossip is not None:
            self.fleet.deliver(self, gossip, self.relay.group_peers())
            run_without_waiting(self.relay.forward_own(gossip))
        if self.relay.is_head():
            must_refresh = self.head_refresh.is_due(self.clock())
            self.relay.gather(must_refresh)
            is_heartbeat = must_refresh or self.relay.is_heartbeat_due(self.head_heartbeat)
            run_without_waiting(self.relay.flush(is_heartbeat=is_heartbeat))

    def receive(self, gossip):
        source = self.relay.source_of(gossip)
        if source is not None:
            usage = [read_usage(usage_gossip) for usage_gossip in gossip.usage]
            self.quotas.fleet_usage.receive(source, gossip.num_nodes, usage, self.clock())
        run_without_waiting(self.relay.receive(gossip))


class QuotaFleet:
    """A fleet that is simulated in fixed time steps."""

    def __init__(self, num_nodes, num_zones, tenants, bounds, seed, ledger_class=QuotaLedger):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.tenants, self.bounds, self.ledger_class = tuple(tenants), bounds, ledger_class
        self.loss = 0.01
        self.in_flight, self.sequence = [], itertools.count()
        self.num_messages = self.num_bytes = 0
        self.bytes_by_sender = Counter()
        names = [f"node-{number}" for number in range(num_nodes)]
        self.name_at = {host_of_node(number): name for number, name in enumerate(names)}
        self.registrations = StateBatch(
            num_nodes,
            tuple(
                VersionedChange(
                    NODE_PREFIX + name,
                    number + 1,
                    RecordChanged(
                        NODE_PREFIX + name,
                        cbor2.dumps(
                            msgspec.to_builtins(
                                Registration(
                                    host_of_node(number), 1, f"hall-{number % num_zones}", 100
                                )
                            )
                        ),
                    ),
                )
                for number, name in enumerate(names)
            ),
        )
        self.nodes = {
            name: QuotaNode(self, name, f"hall-{number % num_zones}", self.random.uniform(0, 50))
            for number, name in enumerate(names)
        }
        self.spent = {tenant.name: [] for tenant in tenants}
        self.refused = {tenant.name: [] for tenant in tenants}
        self.traffic = {}
        """By tenant: requests per second, and the names of the nodes that get them (None: all)."""
        self.events = []
        self.costs = ((0.65, 875, URGENT), (0.35, 9200, ORDINARY))

    def deliver(self, sender, message, names):
        size = len(encode_message(message))
        for name in names:
            self.num_messages += 1
            self.num_bytes += size
            self.bytes_by_sender[sender.name] += size
            node = self.nodes[name]
            if node.partition != sender.partition or self.random.random() < self.loss:
                continue
            at_s = self.now_s + self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
            heapq.heappush(self.in_flight, (at_s, next(self.sequence), name, message))

    def schedule(self, at_s, action):
        """Schedule an action for a time."""
        self.events.append((at_s, next(self.sequence), action))
        self.events.sort()

    def run_until(self, end_s):
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self.events and self.events[0][0] <= self.now_s:
                self.events.pop(0)[2]()
            while self.in_flight and self.in_flight[0][0] <= self.now_s:
                _, _, name, message = heapq.heappop(self.in_flight)
                node = self.nodes[name]
                if self.now_s < node.suspended_until_s:
                    node.delayed_messages.append(message)
                elif node.is_up():
                    self._deliver_delayed(node)
                    node.receive(message)
            for node in self.nodes.values():
                self._deliver_delayed(node)
                node.tick()
            self._send_requests()

    def _deliver_delayed(self, node):
        if node.delayed_messages and node.is_up():
            messages, node.delayed_messages = node.delayed_messages, []
            for message in messages:
                node.receive(message)

    def _send_requests(self):
        for tenant in self.tenants:
            per_s, names = self.traffic.get(tenant.name, (0.0, None))
            for _ in range(self._poisson(per_s * STEP_S)):
                name = self.random.choice(names or list(self.nodes))
                if self.nodes[name].is_up():
                    self.send_request(self.nodes[name], tenant)

    def _poisson(self, mean):
        count, total = 0, self.random.expovariate(1.0)
        while total < mean:
            count += 1
            total += self.random.expovariate(1.0)
        return count

    def send_request(self, node, tenant):
        weights = [share for share, _, _ in self.costs]
        _, cost, priority = self.random.choices(self.costs, weights)[0]
        decision = node.quotas.admit(tenant, cost, priority)
        if decision.is_admitted:
            node.quotas.spend(tenant, cost)
            self.spent[tenant.name].append((self.now_s, cost, priority))
        else:
            self.refused[tenant.name].append((self.now_s, cost, priority))

    def move_to_partition(self, names, partition):
        for name in names:
            self.nodes[name].partition = partition

    def suspend(self, names, for_s):
        for name in names:
            self.nodes[name].suspended_until_s = self.now_s + for_s

    def kill(self, names, for_s=RESTART_DURATION_S):
        for name in names:
            node = self.nodes[name]
            node.down_until_s = self.now_s + for_s
            node.start()
            node.delayed_messages = []
            node.next_tick_s += for_s

    def configure(self, tenants, within_s):
        """Change the quotas, at each node within some seconds."""
        self.tenants = tuple(tenants)
        for node in self.nodes.values():
            self.schedule(
                self.now_s + self.random.uniform(0.1, within_s),
                lambda node=node: node.quotas.set_tenants(self.tenants),
            )

    def heads(self):
        return [name for name, node in self.nodes.items() if node.relay.is_head()]


def max_window_usage(spent, window_s, since_s=0.0, until_s=float("inf")):
    """Return the maximum that was spent in any window between two times."""
    inside, total, maximum = deque(), 0.0, 0.0
    for at_s, cost, _ in spent:
        if not since_s <= at_s <= until_s:
            continue
        inside.append((at_s, cost))
        total += cost
        while inside[0][0] <= at_s - window_s:
            total -= inside.popleft()[1]
        maximum = max(maximum, total)
    return maximum


def max_usage(quota, bounds):
    """Return the maximum that may be spent in a window."""
    window_quota = quota.rate_per_s * bounds.window_s + quota.burst
    return window_quota * (1.0 + bounds.overage) + bounds.tolerance


BOUNDS = QuotaPrecision(window_s=8.0, overage=0.1, tolerance=110_000.0)
