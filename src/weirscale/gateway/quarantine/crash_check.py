"""Determines whether a back end crashed when a connection to it ended before the answer did.

Running back ends may also lose, corrupt or reset answers, and those that leave cut off what they
have not finished. Two conditions identify a crash: the back end had not announced that it would
leave, and its address no longer answers or belongs to another run of a process.
"""

from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.gateway.model.back_ends import ACCEPTING_STATES, BackEnd, BackEndState
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.ports.back_end import BackEndPort, RunState
from weirscale.gateway.quarantine.block_key import BlockKey
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.state.cluster_state import ClusterState

PROBE_PAUSES_S = (0.0, 0.1, 0.2, 0.4, 0.8, 0.8)
"""Seconds before each probe: a process that has just ended may take a moment to free its address.
If the cause is still unclear after all probes, the end of the connection counts as no crash."""

PROBE_TIMEOUT_S = 0.3
"""Seconds to wait for the answer to a probe."""

MAX_QUEUED = 256
"""Maximum number of back ends in the queue for a check. More fail at once only if a whole region
does; crashes of those beyond the maximum are not counted."""


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request whose back end may have crashed while serving it.

    Attributes:
        fingerprint: Fingerprint of the request.
        was_sent_after_crash: Whether an earlier crash during the request was known when it was
            sent to this back end.
        blocks: The shared blocks of its prompt, in order.
        were_blocks_suspect: Whether a crash with one of them was known when it was sent.
        writing_s: Seconds from the first event of its answer to the end of the connection; None if
            no event arrived.
    """

    fingerprint: RequestFingerprint
    was_sent_after_crash: bool
    blocks: tuple[BlockKey, ...] = ()
    were_blocks_suspect: bool = False
    writing_s: float | None = None


CrashHandler = Callable[[BackEnd, tuple[InterruptedRequest, ...]], None]
"""Called with a back end that crashed and the requests that it was serving."""


class CrashCheck:
    """Checks back ends for crashes; `run` must be running.

    Args:
        cluster: Provides the registrations of back ends.
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
        self._interrupted: dict[RunId, list[InterruptedRequest]] = {}
        self._enqueue, self._queue = anyio.create_memory_object_stream[BackEnd](MAX_QUEUED)

    def is_accepting(self, back_end: BackEnd) -> bool:
        """Return whether a back end is registered as accepting requests.

        If it is not when a connection to it ends, it left, or its registration ended, before.
        """
        registered = self._cluster.directory.get(back_end.instance)
        return registered is not None and registered.state in ACCEPTING_STATES

    def request(self, back_end: BackEnd, interrupted: InterruptedRequest) -> None:
        """Schedule a check of an accepting back end whose connection ended during a request."""
        if back_end.run_id in self._interrupted:
            self._interrupted[back_end.run_id].append(interrupted)
            return
        try:
            self._enqueue.send_nowait(back_end)
        except anyio.WouldBlock:
            return  # The queue is full (`MAX_QUEUED`): do not count a crash.
        self._interrupted[back_end.run_id] = [interrupted]

    async def run(self) -> None:
        """Check queued back ends until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for back_end in self._queue:
                self._start_check(tasks, back_end)

    def _start_check(self, tasks: TaskGroup, back_end: BackEnd) -> None:
        tasks.start_soon(self._check, back_end)

    async def _check(self, back_end: BackEnd) -> None:
        state = RunState.UNKNOWN
        for pause_s in PROBE_PAUSES_S:
            await anyio.sleep(pause_s)
            state = await self._probe(back_end)
            if state is not RunState.UNKNOWN:
                break
        interrupted = tuple(self._interrupted.pop(back_end.run_id))
        if state is RunState.ENDED:
            self._on_crash(back_end, interrupted)

    async def _probe(self, back_end: BackEnd) -> RunState:
        registered = self._cluster.directory.get(back_end.instance)
        if registered is None or registered.run_id != back_end.run_id:
            # It still accepted requests when its connection ended, so its end was not planned.
            return RunState.ENDED
        if registered.state is BackEndState.LEAVING:
            return RunState.RUNNING
        path = self._cluster.health_path(registered.service)
        return await self._port_of(registered).run_state(path, PROBE_TIMEOUT_S)
