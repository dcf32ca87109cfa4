"""Tells whether this node is isolated: it reaches neither the store nor half of the other nodes.

Without a proof that its configuration is current a node refuses requests with keys. If it still
receives from the other nodes, they lack the proof as well: the store is down, and callers are no
better off elsewhere. If it does not, the others most likely serve on, so an isolated node is not
ready and sends its callers to them.
"""

from collections.abc import Callable

from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

ISOLATION_AGE_S = 2.0
"""Seconds. A proof of the configuration that is younger than this shows that the store is
reachable: a lost reader is replaced after 1.1 s. Later is too late, as the platform takes two more
seconds to send new connections elsewhere and keys are refused from some 4.6 s on. Not measured
apart: without the rule six of 16 nodes refused 294 requests in 12 s of a cut (`docs/DECISIONS.md`,
T2)."""

ISOLATION_SHARE = 0.5
"""Share of the nodes, this one included. A node in contact with fewer is on the smaller side of a
partition. Not measured."""


class IsolationDetector:
    """Judges this node's contact with the fleet, and logs when it is lost and regained.

    Args:
        cluster: How old the proof of the configuration is.
        quotas: Which nodes were received from.
        event_log: Where changes are logged.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        quotas: QuotaLedger,
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._quotas = quotas
        self._event_log = event_log
        self._clock = clock
        self._was_isolated = False

    def is_isolated(self) -> bool:
        """Whether neither the store nor half of the nodes have been received from recently."""
        age_s = self._cluster.age_s()
        share = self._quotas.contact_share(self._clock() - PEER_TIMEOUT_S)
        is_isolated = age_s > ISOLATION_AGE_S and share < ISOLATION_SHARE
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            name = "cut_off" if is_isolated else "contact_regained"
            self._event_log.event(name, proof_age_s=age_s, share=share)
        return is_isolated
