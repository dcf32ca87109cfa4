"""Cancellation of abandoned work on engines, outside the tasks that serve requests."""

from collections import deque

import anyio
import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.node.execution.stall_watch import StallWatch
from weirscale.node.mailbox import Mailbox
from weirscale.ports.engine import EnginePort

NUM_WORKERS = 8
"""Maximum number of cancel calls in flight; a dead engine occupies one for `CANCEL_TIMEOUT_S`."""

CANCEL_TIMEOUT_S = 2.0
"""Timeout of a cancel call; work that is not cancelled ends with the engine's own `time_left_s`."""


class _Cancel(msgspec.Struct, frozen=True):
    port: EnginePort
    request_id: RequestId
    attempt: int


class EngineCanceller:
    """A task that cancels the engines' work for abandoned attempts.

    It also runs the stall watch. The attempts of stalled streams are cancelled here as well.

    `post` never waits, so it is safe to call while the request's own task is being cancelled.

    Attributes:
        num_dropped: Cancellations that were dropped because the mailbox was full.
        stall_watch: Detects stalled streams.
    """

    def __init__(self) -> None:
        self._mailbox: Mailbox[_Cancel] = Mailbox()
        self._num_pending = 0
        self._idle_waiters: deque[anyio.Event] = deque()
        self.num_dropped = 0
        self.stall_watch = StallWatch()

    def post(self, port: EnginePort, request_id: RequestId, attempt: int) -> None:
        """Queue the cancellation of an attempt's work; drop it if the queue is full."""
        if self._mailbox.post(_Cancel(port, request_id, attempt)):
            self._num_pending += 1
        else:
            self.num_dropped += 1

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.stall_watch.run)
            for _ in range(NUM_WORKERS):
                tasks.start_soon(self._work)

    async def wait_idle(self) -> None:
        """Wait until each queued cancellation has been sent or has timed out."""
        if self._num_pending == 0:
            return
        event = anyio.Event()
        self._idle_waiters.append(event)
        await event.wait()

    async def _work(self) -> None:
        while True:
            cancel = await self._mailbox.receive()
            with anyio.move_on_after(CANCEL_TIMEOUT_S):
                await cancel.port.cancel(cancel.request_id, cancel.attempt)
            self._num_pending -= 1
            if self._num_pending == 0:
                self._wake_idle_waiters()

    def _wake_idle_waiters(self) -> None:
        while self._idle_waiters:
            self._idle_waiters.popleft().set()
