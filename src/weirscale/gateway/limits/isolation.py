"""Detects whether this node is isolated: it reaches neither the store nor half of the other nodes.

A node without proof that its configuration is current refuses requests with keys. If it still
receives messages from the other nodes, they lack the proof as well: the store is down, and callers
would fare no better elsewhere. Otherwise the other nodes most likely still serve requests, so an
isolated node reports that it is not ready, and its callers are sent to them.
"""

from collections.abc import Callable

from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

ISOLATION_AGE_S = 2.0
"""Maximum age in seconds of the proof of the configuration at which the store counts as reachable.
Replacing a lost reader of the store takes 1.1 s. A much higher value would act too late: the
platform takes two more seconds to send new connections elsewhere, and keys are refused from some
4.6 s on. Without this rule, 6 of 16 nodes refused 294 requests during a 12 s partition
(`docs/DECISIONS.md`, T2)."""

ISOLATION_SHARE = 0.5
"""Share of the nodes, including this one. A node in contact with a smaller share is on the minority
side of a partition."""


class IsolationDetector:
    """Decides whether this node is isolated, and logs when that changes.

    Args:
        cluster: Provides the age of the proof of the configuration.
        quotas: Provides the share of the nodes that sent messages recently.
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
        """Return whether neither the store nor half of the nodes were in contact recently."""
        age_s = self._cluster.age_s()
        share = self._contact_share()
        is_isolated = age_s > ISOLATION_AGE_S and share < ISOLATION_SHARE
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            event_name = "cut_off" if is_isolated else "contact_regained"
            self._event_log.event(event_name, proof_age_s=age_s, share=share)
        return is_isolated

    def hears_most_nodes(self) -> bool:
        """Return whether at least half of the nodes, including this one, sent messages lately."""
        return self._contact_share() >= ISOLATION_SHARE

    def _contact_share(self) -> float:
        return self._quotas.contact_share(self._clock() - PEER_TIMEOUT_S)
