"""Whether this node is cut off from the rest of the fleet, as far as it can tell by itself.

Without a proof that its configuration is current a node refuses requests with keys. If it still
hears the other nodes, they lack the proof as well: the store is away, and callers are no better off
elsewhere. If it does not, the others most likely serve on: callers should go to them.
"""

from collections.abc import Callable

from weirscale.gateway.limits.quota import QuotaLedger
from weirscale.gateway.peers.heartbeat import PEER_SILENCE_S
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

CUT_OFF_AGE_S = 2.0
"""A configuration that was proved later than this is no sign of a cut: a lost reader is replaced
after 1.1 s. The platform takes two seconds more to send new connections elsewhere, and keys are
refused from some 4.6 s on."""

CUT_OFF_SHARE = 0.5
"""A node that hears fewer of the others than this is on the smaller side of a cut."""


class IsolationDetector:
    """Judges this node's contact with the fleet.

    Args:
        knowledge: How old the proof of the configuration is.
        quotas: Which nodes were heard.
        event_log: Where losses and returns are told.
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
        """Whether neither the store nor half of the other nodes have been heard of late."""
        age_s = self._cluster.age_s()
        share = self._quotas.received_share(self._clock() - PEER_SILENCE_S)
        is_isolated = age_s > CUT_OFF_AGE_S and share < CUT_OFF_SHARE
        if is_isolated != self._was_isolated:
            self._was_isolated = is_isolated
            name = "cut_off" if is_isolated else "contact_regained"
            self._event_log.event(name, proof_age_s=age_s, share=share)
        return is_isolated
