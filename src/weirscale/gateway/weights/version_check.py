"""Asks an engine for its weights when it refuses a request because it has another version.

After an outage of the store many nodes know older versions than the engines have. One report
corrects that, and it is sent on to the peers, so that one refusal is enough for all nodes.
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
"""Seconds to wait for a report. Not measured."""

MIN_INTERVAL_S = 0.4
"""Seconds between two questions to one engine. Its report lags by some hundred milliseconds, so
asking sooner brings nothing new. Not measured by itself."""

MAX_WAITING = 64
"""Engines that may wait for a question; the next refusal asks again for those beyond. Not
measured."""


class VersionCheck:
    """Asks for reports; `run` must be running.

    Args:
        cluster: Where versions are learnt.
        port_of: Returns the port of a back end.
        send: Sends peers a version.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        port_of: Callable[[BackEnd], BackEndPort],
        send: Callable[[LoadingGossip], None],
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._port_of = port_of
        self._send_version = send
        self._clock = clock
        self._asked_at_s: dict[InstanceId, float] = {}
        self._asked, self._to_ask = anyio.create_memory_object_stream[InstanceId](MAX_WAITING)

    def request(self, instance: InstanceId) -> None:
        """Ask an engine soon, unless it was asked just now."""
        now_s = self._clock()
        if now_s - self._asked_at_s.get(instance, float("-inf")) < MIN_INTERVAL_S:
            return
        try:
            self._asked.send_nowait(instance)
        except anyio.WouldBlock:
            return  # Too many wait; the engine's next refusal asks again.
        self._asked_at_s[instance] = now_s

    def forget(self, instance: InstanceId) -> None:
        """Forget an engine that is gone."""
        self._asked_at_s.pop(instance, None)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for instance in self._to_ask:
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
            self._cluster.engine_versions.record_version(
                instance, served.name, served.version, "refusal"
            )
            if served.version > known:
                self._send_version(LoadingGossip(instance, served.name, served.version, True))
