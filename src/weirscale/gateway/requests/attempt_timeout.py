"""Ends attempts whose back end is silent for too long, where the request may go on elsewhere.

An attempt is ended only with a retry of the shared budget in hand: an answer that was broken off
and cannot go on would be lost, while a slow one may still come. Nor is it ended while its engine
reads the prompts of others: another engine would have to read this one's prompt once more, which
makes the streams there silent as well. One task checks all attempts on ticks; a timer for each
event of each stream would cost more than passing the event on.
"""

import math
from collections.abc import Callable

import anyio

from weirscale.gateway.ticks import sleep_to_tick

CHECK_INTERVAL_S = 0.08
"""Seconds between checks, so the most that an attempt may outlive its timeout. Two ticks, so that
the check wakes no process by itself."""

RECHECK_S = 0.25
"""An overdue attempt that is not ended is checked again after this."""

SUSPENSION_THRESHOLD_S = 0.25
"""Seconds. A check that comes this much late shows that the process stood still."""

READING_FACTOR = 3.0
"""An attempt whose engine reads for others is ended after this multiple of its timeout all the
same: a connection of its own may have gone silent while the engine works."""


class AttemptTimeout:
    """The timeout of one attempt.

    Args:
        scope: Cancelled when the attempt is ended.
        take_retry: Takes a retry of the shared budget; False if none is left.
        reads_for_others: Returns whether the attempt's engine has worked since a time, and has
            prompts of other requests to read.
    """

    def __init__(
        self,
        scope: anyio.CancelScope,
        take_retry: Callable[[], bool],
        reads_for_others: Callable[[float], bool],
    ) -> None:
        self.scope = scope
        self._take_retry = take_retry
        self._reads_for_others = reads_for_others
        self._timeout_s = math.inf
        self._deadline_s = math.inf
        self._last_deadline_s = math.inf

    def start(self, now_s: float, timeout_s: float) -> None:
        """Wait for the next event from now on."""
        self._timeout_s = timeout_s
        self._deadline_s = now_s + timeout_s
        self._last_deadline_s = now_s + READING_FACTOR * timeout_s

    def check(self, now_s: float) -> None:
        """End the attempt if it is overdue and the request can go on."""
        if now_s < self._deadline_s:
            return
        if now_s < self._last_deadline_s and self._reads_for_others(now_s - self._timeout_s):
            self._deadline_s = now_s + RECHECK_S
        elif self._take_retry():
            self.scope.cancel()
            self._deadline_s = math.inf
        else:
            self._deadline_s = now_s + RECHECK_S


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
        checked_at_s = self._clock()
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            now_s = self._clock()
            was_suspended = now_s - checked_at_s > CHECK_INTERVAL_S + SUSPENSION_THRESHOLD_S
            checked_at_s = now_s
            if was_suspended:
                # What arrived meanwhile has not been looked at yet: nobody was silent.
                continue
            for timeout in tuple(self._watched):
                timeout.check(now_s)
