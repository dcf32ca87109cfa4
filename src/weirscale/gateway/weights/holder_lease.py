"""The lease on the duty that orders loads of weights and carries rollouts of service versions on.

One lease serves both, so that they cost the store no more calls than one of them.
"""

from collections.abc import Callable
from random import Random

from weirscale.domain.duties.assignment import Duty, DutyKind
from weirscale.domain.duties.lease import LeaseRules
from weirscale.domain.identifiers import Incarnation, NodeId, NodeName
from weirscale.gateway.peers.rank_delay import rank_delay_s
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.leases.lease_task import KEY_PREFIX, DutyLeaseTask
from weirscale.ports.key_value import KeyValuePort

HOLDER_LEASE_S = 3.0
"""Seconds for which a holder that was killed keeps others from the duty. Four renewals may fail: a
lease of 2 s did not outlast two lost ones, and no orders were sent for 7 s."""

RENEWAL_INTERVAL_S = 0.5
"""Seconds between two renewals; a lost one leaves time for the next. Not measured by itself."""

RETRY_INTERVAL_S = 0.1
"""Seconds until a call that failed is made again. Not measured."""

STANDBY_INTERVAL_S = 0.5
"""Seconds between two looks at a duty that another node holds. Not measured."""

CLOCK_MARGIN_S = 0.2
"""Seconds by which a holder stops before its lease ends: clocks run at different speeds and calls
take time. Not measured."""

LEASE_CALL_TIMEOUT_S = 0.6
"""Seconds after which a call for the lease has failed. A slow store takes some 0.4 s to answer."""


def holder_lease_rules(min_lease_s: float) -> LeaseRules:
    """Return the times of the lease.

    Args:
        min_lease_s: Shortest life in seconds that the store gives a lease.
    """
    return LeaseRules(
        time_to_live_s=max(min_lease_s, HOLDER_LEASE_S),
        margin_s=CLOCK_MARGIN_S,
        renew_interval_s=RENEWAL_INTERVAL_S,
        retry_interval_s=RETRY_INTERVAL_S,
        standby_interval_s=STANDBY_INTERVAL_S,
    )


class HolderEligibility:
    """Lets a node try for the duty once its key is gone, later by rank.

    Args:
        cluster: Where the duty's key is seen.
        peers: This node's rank.
        duty: The duty.
        clock: Monotonic seconds.
    """

    def __init__(
        self, cluster: ClusterState, peers: PeerDirectory, duty: Duty, clock: Callable[[], float]
    ) -> None:
        self._cluster = cluster
        self._peers = peers
        self._key = KEY_PREFIX + duty.key
        self._clock = clock
        self._free_since_s: float | None = None

    def is_own(self, duty: Duty, count: int, /) -> bool:
        """Whether this node should try now."""
        if not self._cluster.has_read_all or self._key in self._cluster.records:
            self._free_since_s = None
            return False
        if self._free_since_s is None:
            self._free_since_s = self._clock()
        return self._clock() >= self._free_since_s + rank_delay_s(self._peers.rank())


def new_holder_lease(
    name: str,
    min_lease_s: float,
    store: KeyValuePort,
    cluster: ClusterState,
    peers: PeerDirectory,
    random: Random,
    clock: Callable[[], float],
) -> DutyLeaseTask:
    """Return the task that holds the lease while this node is the holder.

    Args:
        name: This node.
        min_lease_s: Shortest life in seconds that the store gives a lease.
        store: Where the lease is.
        cluster: Where the duty's key is seen.
        peers: This node's rank.
        random: Spreads retries.
        clock: Monotonic seconds.
    """
    duty = Duty(DutyKind.PLACEMENT_PLANNER)
    return DutyLeaseTask(
        duty,
        NodeId(NodeName(name), Incarnation(0)),
        store,
        HolderEligibility(cluster, peers, duty, clock),
        random,
        holder_lease_rules(min_lease_s),
        sleep_to_tick,
        LEASE_CALL_TIMEOUT_S,
        clock,
    )
