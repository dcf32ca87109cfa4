"""Asks runners for their weights when they refuse a request for having others than believed.

After an outage of the store many nodes believe old weights. One report mends the belief, and peers
are told, so that one refusal is enough for all.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.peers.messages import LoadingNews
from weirscale.gateway.ports.back_end import BackEndPort
from weirscale.gateway.state.cluster_state import Knowledge

REPORT_TIMEOUT_S = 0.5
MIN_INTERVAL_S = 0.4
"""A runner's report lags by some hundred milliseconds: asking sooner teaches nothing."""

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
        knowledge: Knowledge,
        port_of: Callable[[BackEnd], BackEndPort],
        tell: Callable[[LoadingNews], None],
        clock: Callable[[], float],
    ) -> None:
        self._knowledge = knowledge
        self._port_of = port_of
        self._tell = tell
        self._clock = clock
        self._asked_at_s: dict[str, float] = {}
        self._send, self._receive = anyio.create_memory_object_stream[str](MAX_WAITING)

    def request(self, instance: str) -> None:
        """Ask a runner soon, unless it was asked just now."""
        now_s = self._clock()
        if now_s - self._asked_at_s.get(instance, float("-inf")) < MIN_INTERVAL_S:
            return
        try:
            self._send.send_nowait(instance)
        except anyio.WouldBlock:
            return
        self._asked_at_s[instance] = now_s

    def forget(self, instance: str) -> None:
        """Forget a runner that is gone."""
        self._asked_at_s.pop(instance, None)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for instance in self._receive:
                self._ask_in(tasks, instance)

    def _ask_in(self, tasks: TaskGroup, instance: str) -> None:
        back_end = self._knowledge.directory.get(instance)
        if back_end is not None:
            tasks.start_soon(self._ask, back_end)

    async def _ask(self, back_end: BackEnd) -> None:
        report = await self._port_of(back_end).report(REPORT_TIMEOUT_S)
        if report is None:
            return
        instance = back_end.instance
        for served in report.models:
            known = self._knowledge.version_of(instance, served.name) or 0
            self._knowledge.learn_version(instance, served.name, served.version, "refusal")
            if served.version > known:
                self._tell(LoadingNews(instance, served.name, served.version, True))
