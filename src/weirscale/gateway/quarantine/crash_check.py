"""Finds out whether a back end crashed when a connection to it ended before the answer did.

Answers are lost, spoilt and reset by back ends that live, and those that leave cut what they have
not finished. A crash is told apart by two things: the back end had not said that it would leave,
and nobody answers at its address any more, or another run of a process does.
"""

from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import ACCEPTING_STATES, BackEnd, BackEndState
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.ports.back_end import BackEndPort, RunState
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.state.cluster_state import ClusterState

CHECK_PAUSES_S = (0.0, 0.1, 0.2, 0.4, 0.8, 0.8)
"""Seconds before each look: a process that has just ended may take a moment to free its address. An
end that stays unclear after all of them counts for nothing. Not measured."""

CHECK_TIMEOUT_S = 0.3
"""Seconds to wait for an answer to a look. Not measured."""

MAX_WAITING = 256
"""Back ends that may wait for a look; more are gone at once only where a whole region is, and the
crashes of those beyond are not counted. Not measured."""


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request whose back end may have crashed under it.

    Attributes:
        fingerprint: The request.
        was_sent_after_crash: Whether an earlier crash under it was known when it was sent.
    """

    fingerprint: RequestFingerprint
    was_sent_after_crash: bool


CrashHandler = Callable[[BackEnd, tuple[InterruptedRequest, ...]], None]
"""Takes a back end that crashed and the requests that it was at work on."""


class CrashCheck:
    """Looks at back ends; `run` must be running.

    Args:
        cluster: Registrations.
        port_of: Returns the port of a back end.
        on_crash: Called for each crash.
    """

    def __init__(
        self,
        cluster: ClusterState,
        port_of: Callable[[BackEnd], BackEndPort],
        on_crash: CrashHandler,
    ) -> None:
        self._cluster = cluster
        self._port_of = port_of
        self._on_crash = on_crash
        self._lost: dict[RunId, list[InterruptedRequest]] = {}
        self._enqueue, self._queue = anyio.create_memory_object_stream[BackEnd](MAX_WAITING)

    def request(self, back_end: BackEnd, lost: InterruptedRequest) -> None:
        """Look at a back end whose connection ended under a request."""
        known = self._cluster.directory.get(back_end.instance)
        if known is None or known.state not in ACCEPTING_STATES:
            # It left, or its registration ended, before the connection did.
            return
        if back_end.run_id in self._lost:
            self._lost[back_end.run_id].append(lost)
            return
        try:
            self._enqueue.send_nowait(back_end)
        except anyio.WouldBlock:
            return  # Too many wait (`MAX_WAITING`): this end counts for nothing.
        self._lost[back_end.run_id] = [lost]

    async def run(self) -> None:
        """Look until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for back_end in self._queue:
                self._check_in(tasks, back_end)

    def _check_in(self, tasks: TaskGroup, back_end: BackEnd) -> None:
        tasks.start_soon(self._check, back_end)

    async def _check(self, back_end: BackEnd) -> None:
        state = RunState.UNKNOWN
        for pause_s in CHECK_PAUSES_S:
            await anyio.sleep(pause_s)
            state = await self._look(back_end)
            if state is not RunState.UNKNOWN:
                break
        lost = tuple(self._lost.pop(back_end.run_id))
        if state is RunState.ENDED:
            self._on_crash(back_end, lost)

    async def _look(self, back_end: BackEnd) -> RunState:
        known = self._cluster.directory.get(back_end.instance)
        if known is None or known.run_id != back_end.run_id:
            # It took work when its connection ended, so it did not leave as planned.
            return RunState.ENDED
        if known.state is BackEndState.LEAVING:
            return RunState.RUNNING
        table = self._cluster.table
        service = table.service(known.service) if table else None
        path = service.health_path if service else "/"
        return await self._port_of(known).run_state(path, CHECK_TIMEOUT_S)
