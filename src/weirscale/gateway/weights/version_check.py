"""Requests a report from an engine that refuses a request because its weight version differs.

After an outage of the store, many nodes hold older versions than the engines have. One report
corrects this and is forwarded to the peers, so a single refusal is enough for all nodes.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.peers.gossip_entries import LoadingGossip
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.state.cluster_state import ClusterState

REPORT_TIMEOUT_S = 0.5
"""Seconds to wait for a report."""

MIN_REPORT_INTERVAL_S = 0.4
"""Minimum seconds between two report requests to one engine. Its reports lag by some hundred
milliseconds, so a request sent sooner returns nothing new."""

MAX_QUEUED = 64
"""Maximum number of engines in the queue for a report request. An engine that does not fit is
queued at its next refusal."""


class VersionCheck:
    """Requests reports from engines; `run` must be running.

    Args:
        cluster: Stores the reported versions.
        port_of: Returns the port of a back end.
        send: Sends a version to peers.
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
        self._requested_at_s: dict[InstanceId, float] = {}
        self._enqueue, self._queue = anyio.create_memory_object_stream[InstanceId](MAX_QUEUED)

    def request(self, instance: InstanceId) -> None:
        """Schedule a report request to an engine, unless one was scheduled just before."""
        now_s = self._clock()
        if now_s - self._requested_at_s.get(instance, float("-inf")) < MIN_REPORT_INTERVAL_S:
            return
        try:
            self._enqueue.send_nowait(instance)
        except anyio.WouldBlock:
            return  # The queue is full; the engine is queued at its next refusal.
        self._requested_at_s[instance] = now_s

    def forget(self, instance: InstanceId) -> None:
        """Forget an engine that was removed."""
        self._requested_at_s.pop(instance, None)

    async def run(self) -> None:
        """Request the scheduled reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for instance in self._queue:
                self._start_check(tasks, instance)

    def _start_check(self, tasks: TaskGroup, instance: InstanceId) -> None:
        back_end = self._cluster.directory.get(instance)
        if back_end is not None:
            tasks.start_soon(self._check, back_end)

    async def _check(self, back_end: BackEnd) -> None:
        report = await self._port_of(back_end).report(REPORT_TIMEOUT_S)
        if report is None:
            return
        instance = back_end.instance
        for served in report.models:
            previous_version = self._cluster.engine_versions.version_of(instance, served.name) or 0
            self._cluster.engine_versions.record_version(
                instance, served.name, served.version, "refusal"
            )
            if served.version > previous_version:
                self._send_version(LoadingGossip(instance, served.name, served.version, True))
