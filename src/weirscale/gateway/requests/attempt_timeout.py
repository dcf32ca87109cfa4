"""Ends attempts whose back end is silent for too long, where the request may go on elsewhere.

An attempt is ended only with a repeat of the shared budget in hand: an answer that was broken off
and cannot go on would be lost, while a slow one may still come. One task looks at all of them on
ticks; a timer for each event of each stream would cost more than passing the event on.
"""

import math
from collections.abc import Callable

import anyio

from weirscale.gateway.ticks import sleep_to_tick

LOOK_INTERVAL_S = 0.08
"""How much later than due an attempt may be ended."""

AGAIN_S = 0.25
"""One that cannot be ended for lack of a repeat is looked at again after this."""


class Patience:
    """How long one attempt is waited for.

    Args:
        scope: Cancelled when the attempt is ended.
        may_leave: Takes what is needed to go on elsewhere; False if that cannot be had.
    """

    def __init__(self, scope: anyio.CancelScope, may_leave: Callable[[], bool]) -> None:
        self.scope = scope
        self.deadline_s = math.inf
        self._may_leave = may_leave

    def look(self, now_s: float) -> None:
        """End the attempt if it is overdue and the request can go on."""
        if now_s < self.deadline_s:
            return
        if self._may_leave():
            self.scope.cancel()
            self.deadline_s = math.inf
        else:
            self.deadline_s = now_s + AGAIN_S


class PatienceKeeper:
    """Looks at all attempts under way; `run` must be running.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._watched: dict[Patience, None] = {}
        """In the order in which they began: who waits longest gets the last repeat."""

    def watch(self, patience: Patience) -> None:
        """Look at an attempt from now on."""
        self._watched[patience] = None

    def forget(self, patience: Patience) -> None:
        """Look at an attempt no more."""
        self._watched.pop(patience, None)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await sleep_to_tick(LOOK_INTERVAL_S)
            now_s = self._clock()
            for patience in tuple(self._watched):
                patience.look(now_s)
