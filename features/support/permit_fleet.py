"""Nodes that keep a back end's request limit, told one another without the network.

Messages arrive at the next tick, as datagrams do; nothing else of a node is there. What callers ask
for is drawn at random, and sent as soon as the node may send it.
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
    """A log that keeps nothing."""

    def event(self, name, **fields):
        """Take an event."""


class PermitNode:
    """A node's part in keeping limits."""

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
    """Plays the nodes and keeps when each request was sent."""

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

    def play(self, for_s, asked_per_s, at_one_node=False, uses_permits=True):
        """Let callers ask for some time."""
        names = list(self._nodes)
        for _ in range(int(for_s / TICK_S)):
            self._now_s += TICK_S
            self._deliver()
            for _ in range(self._num_asked(asked_per_s)):
                name = names[0] if at_one_node else self._random.choice(names)
                self._ask(self._nodes[name], uses_permits)
            for node in self._nodes.values():
                for due in node.permits.due_queries():
                    self._send(due.issuer, due.query)

    def _num_asked(self, asked_per_s):
        expected = asked_per_s * TICK_S
        return int(expected) + (self._random.random() < expected % 1.0)

    def send_all(self):
        """Have each node send as many requests as it may, in one moment."""
        for node in self._nodes.values():
            while node.permits.admits(RUN):
                self._ask(node)

    def _ask(self, node, uses_permits=True):
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
        """Return the most requests that were sent in any window."""
        ends = [
            bisect.bisect_left(self.sent_s, at_s + WINDOW_S - ROUNDING_S) for at_s in self.sent_s
        ]
        return max((end - begin for begin, end in enumerate(ends)), default=0)
