"""The lease on the duty of ordering weight loads and advancing rollouts of service versions.

One lease covers both, so the store gets no more calls than for one of them.
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
"""Seconds for which the lease of a killed holder blocks other nodes. Four renewals in a row may
fail: a lease of 2 s expired after two lost renewals, and no orders were sent for 7 s."""

RENEWAL_INTERVAL_S = 0.5
"""Seconds between two renewals; after a lost one there is time for the next."""

RETRY_INTERVAL_S = 0.1
"""Seconds until a failed call is repeated."""

STANDBY_INTERVAL_S = 0.5
"""Seconds between two checks of a duty that another node holds."""

CLOCK_MARGIN_S = 0.2
"""Seconds by which a holder stops before its lease ends, because clocks run at different speeds and
calls take time."""

LEASE_CALL_TIMEOUT_S = 0.6
"""Timeout in seconds of calls for the lease. A slow store takes some 0.4 s to answer."""


def holder_lease_rules(min_lease_s: float) -> LeaseRules:
    """Return the timing rules of the lease.

    Args:
        min_lease_s: Shortest lifetime in seconds that the store gives a lease.
    """
    return LeaseRules(
        time_to_live_s=max(min_lease_s, HOLDER_LEASE_S),
        margin_s=CLOCK_MARGIN_S,
        renew_interval_s=RENEWAL_INTERVAL_S,
        retry_interval_s=RETRY_INTERVAL_S,
        standby_interval_s=STANDBY_INTERVAL_S,
    )


class HolderEligibility:
    """Decides when this node may try to acquire the duty: after its key is gone, delayed by rank.

    Args:
        cluster: Provides the duty's key in the store.
        peers: Provides this node's rank.
        duty: The duty.
        clock: Monotonic seconds.
        can_order: Returns whether this node reaches engines directly.
    """

    def __init__(
        self,
        cluster: ClusterState,
        peers: PeerDirectory,
        duty: Duty,
        clock: Callable[[], float],
        can_order: Callable[[], bool],
    ) -> None:
        self._cluster = cluster
        self._peers = peers
        self._key = KEY_PREFIX + duty.key
        self._clock = clock
        self._can_order = can_order
        self._free_since_s: float | None = None

    def is_own(self, duty: Duty, count: int, /) -> bool:
        """Return whether this node should try to acquire the duty now."""
        is_taken = not self._cluster.has_read_all or self._key in self._cluster.records
        if is_taken or not self._can_order():
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
    can_order: Callable[[], bool],
) -> DutyLeaseTask:
    """Return the task that acquires the lease and keeps it while this node is the holder.

    Args:
        name: Name of this node.
        min_lease_s: Shortest lifetime in seconds that the store gives a lease.
        store: Grants the lease.
        cluster: Provides the duty's key in the store.
        peers: Provides this node's rank.
        random: Adds jitter to retries.
        clock: Monotonic seconds.
        can_order: Returns whether this node reaches engines directly.
    """
    duty = Duty(DutyKind.PLACEMENT_PLANNER)
    return DutyLeaseTask(
        duty,
        NodeId(NodeName(name), Incarnation(0)),
        store,
        HolderEligibility(cluster, peers, duty, clock, can_order),
        random,
        holder_lease_rules(min_lease_s),
        sleep_to_tick,
        LEASE_CALL_TIMEOUT_S,
        clock,
    )
