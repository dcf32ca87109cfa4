"""Determines whether the end of a connection was the end of an answer.

An answer with neither a length nor chunks ends with its connection. The connections of a process
that ends are closed in the same way, so such an answer is known to be whole only once the run that
gave it has answered something that was sent after the end. The request or health check that proves
this may serve any number of answers.
"""

import math
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import anyio
import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.ports.back_end import BackEndPort, RunState
from weirscale.gateway.routing.probe_permits import ProbePermits
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

PROBE_TIMEOUTS_S = (0.2, 0.8)
"""Seconds to wait for the answer to each probe: a lost packet is sent again after 0.2 s, and a
health check may wait for a slot."""

MAX_WAIT_S = 1.0
"""Maximum seconds for which the end of an answer is held back."""


class EndProof(msgspec.Struct, frozen=True):
    """What is known about the end of a connection that ended an answer.

    Attributes:
        state: State of the run after that end. The answer is whole only if the run was running.
        waited_s: Seconds from the end to this result.
    """

    state: RunState
    waited_s: float

    @property
    def is_whole(self) -> bool:
        """Return whether the back end, not its crash, ended the answer."""
        return self.state is RunState.RUNNING


class _WatchedRun:
    """What is known about a run while answers wait for a proof.

    Attributes:
        probing: Held while a probe of the run is in progress.
        num_waiting: Number of answers that wait.
    """

    def __init__(self) -> None:
        self.probing = anyio.Lock()
        self.num_waiting = 0
        self._running_at_s = -math.inf
        self._ended_at_s = math.inf
        self._changed = anyio.Event()

    def learn(self, state: RunState, sent_at_s: float) -> None:
        """Record the state found by a call that was sent at a time."""
        if state is RunState.RUNNING:
            self._running_at_s = max(self._running_at_s, sent_at_s)
        elif state is RunState.ENDED:
            self._ended_at_s = min(self._ended_at_s, sent_at_s)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def state_after(self, at_s: float) -> RunState:
        """Return what is known about the run's state after a time."""
        if self._running_at_s >= at_s:
            return RunState.RUNNING
        return RunState.UNKNOWN if math.isinf(self._ended_at_s) else RunState.ENDED

    async def wait_for_state_after(self, at_s: float) -> RunState:
        """Wait until the run's state after a time is known, and return it."""
        while (state := self.state_after(at_s)) is RunState.UNKNOWN:
            await self._changed.wait()
        return state


class AnswerEnds:
    """Proves answers whole whose end nothing but their connection marks.

    Args:
        cluster: Provides the paths of health checks.
        permits: Permits for health checks.
        event_log: Receives a line for each answer that is not proved whole.
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        permits: ProbePermits,
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._permits = permits
        self._event_log = event_log
        self._clock = clock
        self._watched: dict[RunId, _WatchedRun] = {}

    def answered(self, back_end: BackEnd, sent_at_s: float) -> None:
        """Record that a run answered a request.

        Args:
            back_end: The run that gave the answer.
            sent_at_s: When the request was sent.
        """
        watched = self._watched.get(back_end.run_id)
        if watched is not None:
            watched.learn(RunState.RUNNING, sent_at_s)

    async def prove(self, back_end: BackEnd, port: BackEndPort) -> EndProof:
        """Find out whether a run outlived the end of a connection that has just ended.

        Args:
            back_end: The run.
            port: Its port; it may have been retired, as the run may have left the registry.
        """
        ended_at_s = self._clock()
        if self._is_replaced(back_end):
            return self._judged(back_end, EndProof(RunState.ENDED, 0.0))
        watched = self._watched.setdefault(back_end.run_id, _WatchedRun())
        watched.num_waiting += 1
        try:
            probe = partial(self._probe, watched, back_end, port, ended_at_s)
            state = await _find_state(watched, probe, ended_at_s)
        finally:
            watched.num_waiting -= 1
            if not watched.num_waiting:
                del self._watched[back_end.run_id]
        return self._judged(back_end, EndProof(state, self._clock() - ended_at_s))

    def _is_replaced(self, back_end: BackEnd) -> bool:
        """Return whether a later run is registered under the name of this one."""
        registered = self._cluster.directory.get(back_end.instance)
        return registered is not None and registered.run_id != back_end.run_id

    def _judged(self, back_end: BackEnd, proof: EndProof) -> EndProof:
        """Return a proof, and log it if the answer is not whole."""
        if not proof.is_whole:
            self._event_log.event(
                "answer_end_unproved", instance=back_end.instance, run=back_end.run_id,
                state=proof.state.value, waited_s=round(proof.waited_s, 3),
            )  # fmt: skip
        return proof

    async def _probe(
        self, watched: _WatchedRun, back_end: BackEnd, port: BackEndPort, ended_at_s: float
    ) -> None:
        """Probe a run, one probe at a time for all answers that wait."""
        path = self._cluster.health_path(back_end.service)
        for timeout_s in PROBE_TIMEOUTS_S:
            async with watched.probing:
                if watched.state_after(ended_at_s) is not RunState.UNKNOWN:
                    return
                sent_at_s = self._clock()
                state = await port.check_run_without_slot(timeout_s)
                if state is RunState.UNKNOWN and self._permits.take_in_advance(back_end):
                    state = await port.check_run(path, timeout_s)
                watched.learn(state, sent_at_s)
            await anyio.sleep(max(0.0, sent_at_s + timeout_s - self._clock()))


async def _find_state(
    watched: _WatchedRun, probe: Callable[[], Coroutine[Any, Any, None]], ended_at_s: float
) -> RunState:
    """Probe a run until its state after a time is known, or the maximum wait is over."""
    state = RunState.UNKNOWN
    with anyio.move_on_after(MAX_WAIT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(probe)
            state = await watched.wait_for_state_after(ended_at_s)
            tasks.cancel_scope.cancel()
    return state
