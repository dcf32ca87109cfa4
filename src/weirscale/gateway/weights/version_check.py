"""Asks engines for their weights when they refuse a request for having others than believed.

After an outage of the store many nodes believe old weights. One report mends the belief, and peers
are told, so that one refusal is enough for all.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.messages import LoadingGossip
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.state.cluster_state import ClusterState

REPORT_TIMEOUT_S = 0.5
MIN_INTERVAL_S = 0.4
"""An engine's report lags by some hundred milliseconds: asking sooner teaches nothing."""

MAX_WAITING = 64


class VersionCheck:
    """Asks for reports; `run` must be running.

    Args:
        knowledge: Where versions are learnt.
        port_of: Returns the port of a back end.
        tell: Tells peers of a version.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        port_of: Callable[[BackEnd], BackEndPort],
        tell: Callable[[LoadingGossip], None],
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._port_of = port_of
        self._tell = tell
        self._clock = clock
        self._asked_at_s: dict[InstanceId, float] = {}
        self._send, self._receive = anyio.create_memory_object_stream[InstanceId](MAX_WAITING)

    def request(self, instance: InstanceId) -> None:
        """Ask an engine soon, unless it was asked just now."""
        now_s = self._clock()
        if now_s - self._asked_at_s.get(instance, float("-inf")) < MIN_INTERVAL_S:
            return
        try:
            self._send.send_nowait(instance)
        except anyio.WouldBlock:
            return
        self._asked_at_s[instance] = now_s

    def forget(self, instance: InstanceId) -> None:
        """Forget an engine that is gone."""
        self._asked_at_s.pop(instance, None)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for instance in self._receive:
                self._ask_in(tasks, instance)

    def _ask_in(self, tasks: TaskGroup, instance: InstanceId) -> None:
        back_end = self._cluster.directory.get(instance)
        if back_end is not None:
            tasks.start_soon(self._ask, back_end)

    async def _ask(self, back_end: BackEnd) -> None:
        report = await self._port_of(back_end).report(REPORT_TIMEOUT_S)
        if report is None:
            return
        instance = back_end.instance
        for served in report.models:
            known = self._cluster.engine_versions.version_of(instance, served.name) or 0
            self._cluster.engine_versions.learn(instance, served.name, served.version, "refusal")
            if served.version > known:
                self._tell(LoadingGossip(instance, served.name, served.version, True))
