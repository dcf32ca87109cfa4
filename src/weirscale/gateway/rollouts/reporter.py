"""Gossip of rollouts: tallies and numbers of moved nodes.

A node sends its own counts to its group. The head of a group sends the sum of its group to the
other heads, and the sum of the other groups to its own group, as for loads (`gossip.group_relay`).
"""

from collections.abc import Callable, Iterable

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.peers.gossip_entries import CanaryGossip, MovedGossip
from weirscale.gateway.peers.messages import Gossip
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

MIN_SEND_INTERVAL_S = 0.25
"""Seconds between two messages with changed tallies, at least. By way of two heads, gossip reaches
all nodes within about 0.6 s (docs/design/0019-version-rollouts.md)."""

SourceFilter = Callable[[str], bool]
"""Returns whether the values of a source count."""


class TallySender:
    """Sends the tallies that have changed since the last message."""

    def __init__(self) -> None:
        self._sent: Tallies = {}
        self._sent_at_s = float("-inf")

    def add_to(
        self, outbox: GossipOutbox, tallies: Tallies, must_refresh: bool, now_s: float
    ) -> None:
        """Add the changed tallies to an outbox, or all of them if `must_refresh`.

        Without `must_refresh`, at least `MIN_SEND_INTERVAL_S` must have passed since the last time.
        """
        if not must_refresh and now_s - self._sent_at_s < MIN_SEND_INTERVAL_S:
            return
        self._sent_at_s = now_s
        for key, counts in tallies.items():
            if must_refresh or self._sent.get(key, NO_COUNTS) != counts:
                outbox.add_canary_counts(_to_gossip(key, counts))
        self._sent = tallies


def _to_gossip(key: TallyKey, counts: Counts) -> CanaryGossip:
    return CanaryGossip(
        key.service,
        key.epoch,
        key.route,
        key.instance,
        counts.num,
        counts.num_failed,
        counts.num_slow,
    )


def _from_gossip(gossip: CanaryGossip) -> tuple[TallyKey, Counts]:
    key = TallyKey(ServiceName(gossip.service), Epoch(gossip.epoch), gossip.route, gossip.instance)
    return key, Counts(gossip.num, gossip.num_failed, gossip.num_slow)


class RolloutReporter:
    """Sends and receives a node's tallies and numbers of moved nodes.

    Args:
        cluster: Holds orders and back ends.
        reader: Reads the state of rollouts.
        tallies: This node's own and received tallies.
        num_requests: Returns the number of this node's own requests in flight at a back end.
        clock: Returns monotonic seconds.
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
        """Return whether there is no order, and so nothing to send."""
        return not self._cluster.rollouts.orders

    def receive(self, source: str, gossip: Gossip) -> None:
        """Record the values in a message; `source` is the same as for the loads."""
        ordered_epochs = {order.epoch for order in self._cluster.rollouts.orders.values()}
        counted = [
            _from_gossip(counts)
            for counts in gossip.canary_counts
            if counts.epoch in ordered_epochs
        ]
        if counted:
            tally_source = source if gossip.group else f"{source}#{gossip.sender_run}"
            self._tallies.receive(tally_source, counted)
        for moved in gossip.moved_nodes:
            if moved.epoch in ordered_epochs:
                key = (ServiceName(moved.service), Epoch(moved.epoch))
                self._barrier.receive(source, key, moved.num_nodes, self._clock())

    def add_own(self, outbox: GossipOutbox, must_refresh: bool) -> None:
        """Add this node's own counts, and whether it has moved, to the message to its group."""
        if self.is_idle():
            return
        self._to_own.add_to(outbox, dict(self._tallies.own), must_refresh, self._clock())
        for key in self._moving_rollouts():
            if self.has_moved(key[0]):
                outbox.add_moved_nodes(MovedGossip(key[0], key[1], 1))

    def add_sums(
        self,
        to_heads: GossipOutbox,
        to_group: GossipOutbox,
        is_member: SourceFilter,
        is_group: SourceFilter,
        must_refresh: bool,
    ) -> None:
        """Add this group's sums to the message to the other heads, and the others' to this group's.

        Args:
            to_heads: Message to the heads of the other groups.
            to_group: Message to this node's own group.
            is_member: Selects the sources that are nodes of this group.
            is_group: Selects the sources that are sums of other groups.
            must_refresh: Whether to add unchanged tallies as well.
        """
        if self.is_idle():
            return
        now_s = self._clock()
        own = self._tallies.sum_of(lambda source: is_member(_node_name(source)), include_own=True)
        others = self._tallies.sum_of(is_group)
        self._to_heads.add_to(to_heads, own, must_refresh, now_s)
        self._to_group.add_to(to_group, others, must_refresh, now_s)
        for key in self._moving_rollouts():
            num_own = self._barrier.num_moved(key, is_member, now_s) + self.has_moved(key[0])
            num_others = self._barrier.num_moved(key, is_group, now_s)
            to_heads.add_moved_nodes(MovedGossip(key[0], key[1], num_own))
            to_group.add_moved_nodes(MovedGossip(key[0], key[1], num_others))

    def fleet_tallies(self, is_counted: SourceFilter) -> Tallies:
        """Return the tallies of all nodes: this node's own, and those of the selected sources."""
        return self._tallies.sum_of(lambda source: is_counted(_node_name(source)), include_own=True)

    def num_moved(self, service: ServiceName, epoch: Epoch, is_counted: SourceFilter) -> int:
        """Return how many nodes have moved: this node, and those of the selected sources."""
        key = (service, epoch)
        return self._barrier.num_moved(key, is_counted, self._clock()) + self.has_moved(service)

    def has_moved(self, service: ServiceName) -> bool:
        """Return whether this node has seen the move and has no request left at older versions."""
        view = self._reader.view(service)
        if view is None or view.stage is not Stage.MOVING:
            return False
        return not any(
            self._num_requests(back_end.instance)
            for back_end in self._cluster.directory.of_service(service)
            if back_end.software != view.target
        )

    def _moving_rollouts(self) -> Iterable[MovedKey]:
        """Return the rollouts at the moving stage, and drop the counts of all others."""
        moving: set[MovedKey] = set()
        for service in self._cluster.rollouts.orders:
            view = self._reader.view(service)
            if view is not None and view.stage is Stage.MOVING:
                moving.add((service, view.epoch))
        self._barrier.keep(moving)
        return moving


def _node_name(source: str) -> str:
    """Return a source without the run of its process, if it names one."""
    return source.partition("#")[0]
