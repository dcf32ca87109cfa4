"""Periodic maintenance of back ends: probes of suspects, lapsed registrations, unused ports."""

from collections.abc import Callable

import anyio

from weirscale.gateway.model.back_ends import ACCEPTING_STATES
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.routing.back_end_ports import BackEndPorts
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.probe_permits import ProbePermits
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick

INTERVAL_S = 0.3
"""Seconds between two rounds. Each probe uses a slot of the back end and has a cost."""

PROBE_TIMEOUT_S = 0.4
"""Timeout of a health check in seconds."""


class BackEndMaintenance:
    """Runs the periodic maintenance in `run`.

    Args:
        cluster: Registered back ends.
        health: Selects the back ends to probe, and records the outcomes.
        permits: Permits for probes.
        ports: Ports of back ends.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        health: BackEndHealth,
        permits: ProbePermits,
        ports: BackEndPorts,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._health = health
        self._permits = permits
        self._ports = ports
        self._clock = clock

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await sleep_to_tick(INTERVAL_S)
                self._cluster.back_ends.forget_lapsed()
                self._cluster.forget_lost()
                self._ports.close_unused(tasks)
                for instance in self._health.to_probe(self._clock()):
                    tasks.start_soon(self._probe, instance)

    async def _probe(self, instance: InstanceId) -> None:
        back_end = self._cluster.directory.get(instance)
        if back_end is None or self._cluster.table is None:
            self._health.forget(instance)
            return
        if back_end.state not in ACCEPTING_STATES:
            return
        if not self._permits.try_take(back_end):
            return
        path = self._cluster.health_path(back_end.service)
        if await self._ports.port_of(back_end).is_healthy(path, PROBE_TIMEOUT_S):
            self._health.probe_succeeded(instance, self._clock())
        else:
            self._health.unreachable(instance, "probe", self._clock())
