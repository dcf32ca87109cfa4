"""Gossip of rollouts: tallies, and how many nodes have moved.

A node sends its group its own counts; the head of a group sends the other heads the sum of its
group, and its own group the sum of what the other heads send, as for loads (`gossip.group_relay`).
"""

from collections.abc import Callable, Iterable

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.peers.messages import CanaryGossip, Gossip, MovedGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.rollouts.barrier import MoveBarrier, MovedKey
from weirscale.gateway.rollouts.record import Stage
from weirscale.gateway.rollouts.tallies import (
    NO_COUNTS,
    Counts,
    FleetTallies,
    Tallies,
    TallyKey,
)
from weirscale.gateway.rollouts.view import RecordReader
from weirscale.gateway.state.cluster_state import ClusterState

SEND_INTERVAL_S = 0.25
"""Least seconds between two messages with changed tallies. Gossip reaches all nodes within some
0.6 s over two heads (docs/design/0019-version-rollouts.md)."""

SourceTest = Callable[[str], bool]
"""Whether a source counts."""


class TallySender:
    """Sends tallies that have changed since they were last sent."""

    def __init__(self) -> None:
        self._sent: Tallies = {}
        self._sent_at_s = float("-inf")

    def add_to(
        self, outbox: GossipOutbox, tallies: Tallies, must_refresh: bool, now_s: float
    ) -> None:
        """Put into an outbox what has changed, or all of it, unless it was done just before."""
        if not must_refresh and now_s - self._sent_at_s < SEND_INTERVAL_S:
            return
        self._sent_at_s = now_s
        for key, counts in tallies.items():
            if must_refresh or self._sent.get(key, NO_COUNTS) != counts:
                outbox.add_canary_counts(_gossip(key, counts))
        self._sent = tallies


def _gossip(key: TallyKey, counts: Counts) -> CanaryGossip:
    return CanaryGossip(
        key.service,
        key.epoch,
        key.route,
        key.instance,
        counts.num,
        counts.num_failed,
        counts.num_slow,
    )


def _read(gossip: CanaryGossip) -> tuple[TallyKey, Counts]:
    key = TallyKey(ServiceName(gossip.service), Epoch(gossip.epoch), gossip.route, gossip.instance)
    return key, Counts(gossip.num, gossip.num_failed, gossip.num_slow)


class RolloutReporter:
    """Sends and receives tallies and moves; each node has one.

    Args:
        cluster: Orders.
        reader: Records.
        tallies: What this node has counted and received.
        num_requests: Returns this node's own requests at a back end.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reader: RecordReader,
        tallies: FleetTallies,
        num_requests: Callable[[InstanceId], int],
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._reader = reader
        self._tallies = tallies
        self._num_requests = num_requests
        self._clock = clock
        self._barrier = MoveBarrier()
        self._to_own = TallySender()
        self._to_heads = TallySender()
        self._to_group = TallySender()

    def is_idle(self) -> bool:
        """Whether there is no order, so nothing to send."""
        return not self._cluster.rollouts.orders

    def receive(self, source: str, gossip: Gossip) -> None:
        """Take over what a source sends; `source` is as for the loads."""
        known = {order.epoch for order in self._cluster.rollouts.orders.values()}
        counted = [_read(one) for one in gossip.canary_counts if one.epoch in known]
        if counted:
            name = source if gossip.group else f"{source}#{gossip.sender_run}"
            self._tallies.receive(name, counted)
        for moved in gossip.moved_nodes:
            if moved.epoch in known:
                key = (ServiceName(moved.service), Epoch(moved.epoch))
                self._barrier.receive(source, key, moved.num_nodes, self._clock())

    def add_own(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Send this node's group what this node has counted, and whether it has moved."""
        if self.is_idle():
            return
        self._to_own.add_to(outbox, dict(self._tallies.own), must_refresh, self._clock())
        for key in self._moves():
            if self.has_moved(key[0]):
                outbox.add_moved_nodes(MovedGossip(key[0], key[1], 1))

    def add_sums(
        self,
        to_heads: GossipOutbox,
        to_group: GossipOutbox,
        is_member: SourceTest,
        is_group: SourceTest,
        must_refresh: bool,
    ) -> None:
        """Send other heads this group's sums, and this group those of the others."""
        if self.is_idle():
            return
        now_s = self._clock()
        own = self._tallies.sum_of(lambda one: is_member(_node(one)), include_own=True)
        rest = self._tallies.sum_of(is_group)
        self._to_heads.add_to(to_heads, own, must_refresh, now_s)
        self._to_group.add_to(to_group, rest, must_refresh, now_s)
        for key in self._moves():
            num_own = self._barrier.num_moved(key, is_member, now_s) + self.has_moved(key[0])
            num_rest = self._barrier.num_moved(key, is_group, now_s)
            to_heads.add_moved_nodes(MovedGossip(key[0], key[1], num_own))
            to_group.add_moved_nodes(MovedGossip(key[0], key[1], num_rest))

    def fleet_tallies(self, counts: SourceTest) -> Tallies:
        """Return what all nodes have counted, by the sources that count at this node."""
        return self._tallies.sum_of(lambda one: counts(_node(one)), include_own=True)

    def num_moved(self, service: ServiceName, epoch: Epoch, counts: SourceTest) -> int:
        """Return how many nodes have moved, by the sources that count at this node."""
        key = (service, epoch)
        return self._barrier.num_moved(key, counts, self._clock()) + self.has_moved(service)

    def has_moved(self, service: ServiceName) -> bool:
        """Whether this node knows that a service moves and has nothing at older versions."""
        view = self._reader.view(service)
        if view is None or view.stage is not Stage.MOVING:
            return False
        return not any(
            self._num_requests(one.instance)
            for one in self._cluster.directory.of_service(service)
            if one.software != view.target
        )

    def _moves(self) -> Iterable[MovedKey]:
        """Return the rollouts that move now."""
        moves: set[MovedKey] = set()
        for service in self._cluster.rollouts.orders:
            view = self._reader.view(service)
            if view is not None and view.stage is Stage.MOVING:
                moves.add((service, view.epoch))
        self._barrier.keep(moves)
        return moves


def _node(source: str) -> str:
    """Return the node of a source that is one run of it; any other source as it is."""
    return source.partition("#")[0]
