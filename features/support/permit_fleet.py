"""Nodes that enforce a back end's request limit, simulated without a network.

Messages arrive at the next tick, as datagrams do. The nodes have no other parts. Callers' requests
are drawn at random, and each is sent at once if its node may send it, or else dropped.
"""

import bisect
from random import Random

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.peers.messages import PermitQuery, PermitReply
from weirscale.gateway.request_limits.issuers import PermitIssuers
from weirscale.gateway.request_limits.permit_issuer import PermitIssuer
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.request_limits.stated_limits import StatedLimits
from weirscale.gateway.ticks import TICK_S

RUN = RunId("lm-1@0")
WINDOW_S = 4.0
ROUNDING_S = 1e-9


class NoLog:
    """An event log that drops all events."""

    def event(self, name, **fields):
        """Drop an event."""


class PermitNode:
    """The parts of a node that enforce request limits."""

    def __init__(self, name, names, limit_per_s, seed, clock):
        self.name = name
        self.limits = StatedLimits(NoLog())
        self.limits.record_limit(RUN, limit_per_s, clock())
        issuers = PermitIssuers(name, lambda: names)
        self.issuer = PermitIssuer(self.limits, issuers, clock)
        self.permits = RequestPermits(name, self.limits, issuers, self.issuer, Random(seed), clock)

    def reply(self, query):
        """Return the reply to a query."""
        grant = self.issuer.issue(RUN, query.sender, query.num_requested)
        limit_per_s = self.limits.limit_per_s(RUN)
        return PermitReply(
            self.name, query.number, RUN, grant.num_permits, round(grant.wait_s * 1000),
            limit_per_s, 0,
        )  # fmt: skip


class PermitFleet:
    """Runs the nodes and records when each request was sent."""

    def __init__(self, num_nodes, limit_per_s, seed=1):
        self.limit_per_s = limit_per_s
        self.loss = 0.0
        self.sent_s = []
        self.num_messages = 0
        self._now_s = 0.0
        self._random = Random(seed)
        names = [f"node-{number}" for number in range(num_nodes)]
        self._nodes = {
            name: PermitNode(name, names, limit_per_s, f"{seed}-{name}", lambda: self._now_s)
            for name in names
        }
        self._arriving = []

    def run(self, for_s, asked_per_s, at_one_node=False, uses_permits=True):
        """Run the nodes while callers send requests at a mean rate."""
        names = list(self._nodes)
        for _ in range(int(for_s / TICK_S)):
            self._now_s += TICK_S
            self._deliver()
            for _ in range(self._draw_num_requests(asked_per_s)):
                name = names[0] if at_one_node else self._random.choice(names)
                self._try_request(self._nodes[name], uses_permits)
            for node in self._nodes.values():
                for addressed_query in node.permits.due_queries():
                    self._send(addressed_query.issuer, addressed_query.query)

    def _draw_num_requests(self, asked_per_s):
        expected = asked_per_s * TICK_S
        return int(expected) + (self._random.random() < expected % 1.0)

    def send_all(self):
        """Let each node send as many requests as it may at the current time."""
        for node in self._nodes.values():
            while node.permits.admits(RUN):
                self._try_request(node)

    def _try_request(self, node, uses_permits=True):
        if node.permits.admits(RUN) and uses_permits:
            node.permits.take(RUN)
            self.sent_s.append(self._now_s)

    def _send(self, receiver, message):
        self.num_messages += 1
        if self._random.random() >= self.loss:
            self._arriving.append((self._nodes[receiver], message))

    def _deliver(self):
        arrived, self._arriving = self._arriving, []
        for node, message in arrived:
            if isinstance(message, PermitQuery):
                self._send(message.sender, node.reply(message))
            else:
                node.permits.receive(message)

    def most_in_window(self):
        """Return the maximum number of requests sent in any window."""
        ends = [
            bisect.bisect_left(self.sent_s, at_s + WINDOW_S - ROUNDING_S) for at_s in self.sent_s
        ]
        return max((end - begin for begin, end in enumerate(ends)), default=0)
