"""Decides whether a back end may be sent a health check now."""

from collections.abc import Callable

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.routing.back_pressure import BackPressure
from weirscale.gateway.state.cluster_state import ClusterState


class ProbePermits:
    """Permits for health checks, which count like requests where a back end limits these.

    Args:
        cluster: Registered back ends.
        back_pressure: Rests, request limits and places of back ends.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self, cluster: ClusterState, back_pressure: BackPressure, clock: Callable[[], float]
    ) -> None:
        self._cluster = cluster
        self._back_pressure = back_pressure
        self._clock = clock

    def try_take(self, back_end: BackEnd) -> bool:
        """Return whether a back end may be sent a health check now, and use a permit if so."""
        of_service = self._cluster.back_ends.ready(back_end.service)
        if not self._back_pressure.admitted([back_end], self._clock(), of_service):
            return False
        self._take(back_end)
        return True

    def take_in_advance(self, back_end: BackEnd) -> bool:
        """Use the next permit for a health check that cannot wait for one.

        Returns:
            Whether the back end may be sent one now: it may unless it has asked for a rest.
        """
        if self._back_pressure.rests.left_s(back_end.run_id, self._clock()) > 0.0:
            return False
        self._take(back_end)
        return True

    def _take(self, back_end: BackEnd) -> None:
        self._back_pressure.request_sent(back_end.run_id)
