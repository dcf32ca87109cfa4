"""Abandons attempts whose back end is silent for too long, if the request may be retried elsewhere.

An attempt is abandoned only after a retry was taken from the shared budget. Without a retry the
request would be lost, whereas a slow answer may still arrive. An attempt is also kept while its
engine prefills the prompts of other requests: another engine would have to repeat this request's
prefill, which makes the streams there pause as well. A single task checks all attempts on ticks,
because a timer for each event of each stream would cost more than relaying the event.
"""

import math
from collections.abc import Callable

import anyio

from weirscale.gateway.ticks import sleep_to_tick

CHECK_INTERVAL_S = 0.08
"""Seconds between checks, and thus the maximum delay of a timeout. It is two ticks long, so that
the check coincides with other work and does not wake the process on its own."""

RECHECK_DELAY_S = 0.25
"""Seconds until an overdue attempt that was not abandoned is checked again."""

SUSPENSION_THRESHOLD_S = 0.25
"""A check that runs late by more than this, in seconds, shows that the process was suspended."""

BUSY_ENGINE_FACTOR = 3.0
"""An attempt whose engine is busy with other requests is abandoned after this multiple of its
timeout, because its own connection may be dead while the engine works."""


class AttemptTimeout:
    """The timeout of one attempt.

    Args:
        scope: Cancelled when the attempt is abandoned.
        take_retry: Takes a retry from the shared budget; returns False if none is left.
        is_busy_with_others: Returns whether the attempt's engine worked after the given time and
            has prompts of other requests to prefill.
    """

    def __init__(
        self,
        scope: anyio.CancelScope,
        take_retry: Callable[[], bool],
        is_busy_with_others: Callable[[float], bool],
    ) -> None:
        self.scope = scope
        self._take_retry = take_retry
        self._is_busy_with_others = is_busy_with_others
        self._timeout_s = math.inf
        self._deadline_s = math.inf
        self._last_deadline_s = math.inf

    def start(self, now_s: float, timeout_s: float) -> None:
        """Start or restart the timeout for the next event."""
        self._timeout_s = timeout_s
        self._deadline_s = now_s + timeout_s
        self._last_deadline_s = now_s + BUSY_ENGINE_FACTOR * timeout_s

    def stop(self) -> None:
        """Stop the timeout, because the whole body has arrived."""
        self._deadline_s = math.inf

    def check(self, now_s: float) -> None:
        """Abandon the attempt if it is overdue and a retry is available."""
        if now_s < self._deadline_s:
            return
        if now_s < self._last_deadline_s and self._is_busy_with_others(now_s - self._timeout_s):
            self._deadline_s = now_s + RECHECK_DELAY_S
        elif self._take_retry():
            self.scope.cancel()
            self._deadline_s = math.inf
        else:
            self._deadline_s = now_s + RECHECK_DELAY_S


class AttemptTimeoutWatch:
    """Checks the timeouts of all attempts in progress; `run` must be running.

    Args:
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watched: dict[AttemptTimeout, None] = {}
        """Timeouts in the order in which the attempts started, so that the attempt that has waited
        longest is the first to take a retry."""

    def watch(self, timeout: AttemptTimeout) -> None:
        """Start checking a timeout."""
        self._watched[timeout] = None

    def unwatch(self, timeout: AttemptTimeout) -> None:
        """Stop checking a timeout; do nothing if it is not checked."""
        self._watched.pop(timeout, None)

    async def run(self) -> None:
        """Check all timeouts periodically until cancelled."""
        checked_at_s = self._clock()
        while True:
            await sleep_to_tick(CHECK_INTERVAL_S)
            now_s = self._clock()
            was_suspended = now_s - checked_at_s > CHECK_INTERVAL_S + SUSPENSION_THRESHOLD_S
            checked_at_s = now_s
            if was_suspended:
                # Events that arrived during the suspension have not been processed yet, so the
                # back ends may not have been silent.
                continue
            for timeout in tuple(self._watched):
                timeout.check(now_s)
