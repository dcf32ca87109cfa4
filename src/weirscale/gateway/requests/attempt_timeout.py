"""Ends attempts whose back end is silent for too long, where the request may go on elsewhere.

An attempt is ended only with a retry of the shared budget in hand: an answer that was broken off
and cannot go on would be lost, while a slow one may still come. One task checks all attempts on
ticks; a timer for each event of each stream would cost more than passing the event on.
"""

import math
from collections.abc import Callable

import anyio

from weirscale.gateway.ticks import sleep_to_tick

CHECK_INTERVAL_S = 0.08
"""Seconds between checks, so the most that an attempt may outlive its timeout. Two ticks, so that
the check wakes no process by itself. Not measured apart from the change to ticks."""

RECHECK_S = 0.25
"""An attempt that cannot be ended for lack of a retry is checked again after this. Not measured."""


class AttemptTimeout:
    """The timeout of one attempt.

    Args:
        scope: Cancelled when the attempt is ended.
        take_retry: Takes a retry of the shared budget; False if none is left.
    """

    def __init__(self, scope: anyio.CancelScope, take_retry: Callable[[], bool]) -> None:
        self.scope = scope
        self.deadline_s = math.inf
        self._take_retry = take_retry

    def check(self, now_s: float) -> None:
        """End the attempt if it is overdue and the request can go on."""
        if now_s < self.deadline_s:
            return
        if self._take_retry():
            self.scope.cancel()
            self.deadline_s = math.inf
        else:
            self.deadline_s = now_s + RECHECK_S


class AttemptTimeoutWatch:
    """Checks the timeouts of all attempts under way; `run` must be running.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watched: dict[AttemptTimeout, None] = {}
        """In the order in which they began: the one that waits longest gets the last retry."""

    def watch(self, timeout: AttemptTimeout) -> None:
        """Check a timeout from now on."""
        self._watched[timeout] = None

    def forget(self, timeout: AttemptTimeout) -> None:
        """Check a timeout no more."""
        self._watched.pop(timeout, None)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            now_s = self._clock()
            for timeout in tuple(self._watched):
                timeout.check(now_s)
