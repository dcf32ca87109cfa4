"""Proves that a service has had a single version for as long as any of its streams may have run."""

from collections.abc import Callable

import anyio

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick

MAX_PROOF_WAIT_S = 1.0
"""Seconds to wait for a proof of the state. Proofs arrive every 0.4 s, and those of other nodes are
up to 0.4 s old by then."""

CHECK_INTERVAL_S = 0.02
"""Seconds between two checks whether a proof has arrived."""


class SoleVersionProof:
    """Proves from this node's copy of the state which version alone can have begun a stream.

    Args:
        cluster: State of the platform.
        clock: Returns monotonic seconds.
    """

    def __init__(self, cluster: ClusterState, clock: Callable[[], float]) -> None:
        self._cluster = cluster
        self._clock = clock

    async def sole_version(
        self, service: ServiceName, life_s: float, max_wait_s: float
    ) -> SoftwareVersion | None:
        """Return the only version that the service has had; None if it cannot be proved.

        The proof covers everything that was registered before this call. Registrations that this
        node has not read yet may have begun the stream.

        Args:
            service: The service.
            life_s: Longest time that a stream of the service lives, retries included.
            max_wait_s: Longest time to wait for the proof; at most `MAX_PROOF_WAIT_S` counts.
        """
        asked_at_s = self._clock()
        if self._only_version(service, asked_at_s - life_s) is None:
            return None
        with anyio.move_on_after(min(max_wait_s, MAX_PROOF_WAIT_S)):
            while self._cluster.confirmed_at_s < asked_at_s:
                await sleep_to_tick(CHECK_INTERVAL_S)
        if self._cluster.confirmed_at_s < asked_at_s:
            return None
        return self._only_version(service, asked_at_s - life_s)

    def _only_version(self, service: ServiceName, since_s: float) -> SoftwareVersion | None:
        if self._cluster.followed_since_s > since_s:
            return None
        versions = self._cluster.back_ends.versions.registered_since(service, since_s)
        return next(iter(versions)) if versions is not None and len(versions) == 1 else None
