"""Cancels abandoned work on engines, off the request path."""

from collections import deque

import anyio
import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.node.execution.stall_watch import StallWatch
from weirscale.node.mailbox import Mailbox
from weirscale.ports.engine import EnginePort

NUM_WORKERS = 8
"""Cancels in flight at once; a dead engine holds one for `CANCEL_TIMEOUT_S`."""

CANCEL_TIMEOUT_S = 2.0
"""A cancel that takes longer is dropped: the engine's own `time_left_s` ends the work."""


class _Cancel(msgspec.Struct, frozen=True):
    port: EnginePort
    request_id: RequestId
    attempt: int


class EngineCanceller:
    """A task that tells engines to stop the work of attempts nobody waits for.

    Runs the watch over stalled streams, too, whose attempts it is then asked to cancel.

    `post` never waits, so it is safe while the request's own task is being cancelled.
    """

    def __init__(self) -> None:
        self._mailbox: Mailbox[_Cancel] = Mailbox()
        self._num_pending = 0
        self._idle_waiters: deque[anyio.Event] = deque()
        self.num_dropped = 0
        self.stall_watch = StallWatch()

    def post(self, port: EnginePort, request_id: RequestId, attempt: int) -> None:
        """Have an attempt's work stopped soon."""
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
        """Wait until every posted cancel has been tried."""
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
