"""What back ends ask this node to spare them: rests, and request limits for all nodes together."""

from collections.abc import Iterable, Sequence

import anyio
import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.routing.back_end_rests import BackEndRests

MAX_PERMIT_WAIT_S = 0.3
"""Seconds that a request may wait until a back end with a request limit takes one more, where no
other one is there. About what it takes to ask another node; a caller that is refused returns
later."""


class NextAvailability(msgspec.Struct, frozen=True):
    """When a back end that may not be sent a request now may be sent one again.

    Attributes:
        after_s: In how many seconds; 0 if that may be any moment.
        is_limited: Whether it is its request limit that holds it back, not a rest.
    """

    after_s: float
    is_limited: bool


class BackPressure:
    """Tells whom this node may send a request now, and when it may again.

    Args:
        rests: Back ends that want nothing from this node.
        permits: What this node may send to those that state a limit; None where none do.
    """

    def __init__(self, rests: BackEndRests, permits: RequestPermits | None) -> None:
        self.rests = rests
        self._permits = permits
        self._num_waiting = 0
        """Requests that wait for a permit at this node."""

    def admitted(self, back_ends: Iterable[BackEnd], now_s: float) -> list[BackEnd]:
        """Return those that may be sent a request now; permits are fetched for limited ones.

        One that runs little looks idle and would be tried first all the time: while it rests, only
        to turn callers away whom others would have served; with a limit, as often as without one.
        Neither is tried for want of others: it has said when, or how often.
        """
        resting = self.rests.resting(now_s)
        return [
            one for one in back_ends if one.run_id not in resting and self._has_permit(one.run_id)
        ]

    def request_sent(self, run: RunId) -> None:
        """Use a permit for a request that is sent to a run now, if it takes one."""
        if self._permits is not None:
            self._permits.take(run)

    def next_availability(
        self, back_ends: Iterable[BackEnd], now_s: float
    ) -> NextAvailability | None:
        """Return who comes back first of those that may be sent nothing now; None without any."""
        returns = [self._return(one.run_id, now_s) for one in back_ends]
        found = [one for one in returns if one is not None]
        return min(found, key=lambda one: one.after_s, default=None)

    async def wait_for_permit(
        self, back_ends: Sequence[BackEnd], now_s: float, most_s: float
    ) -> bool:
        """Wait until a permit may be there; returns whether that was worth trying.

        As many requests wait as permits may be hoped for, or one: the others are not held.

        Args:
            back_ends: Those that might be sent the request.
            now_s: The time.
            most_s: Longest wait in seconds that makes sense.
        """
        first = self.next_availability(back_ends, now_s)
        if self._permits is None or first is None or not first.is_limited:
            return False
        hoped_for = self._permits.num_expected((one.run_id for one in back_ends), MAX_PERMIT_WAIT_S)
        if not 0.0 < most_s >= first.after_s or self._num_waiting >= max(1.0, hoped_for):
            return False
        self._num_waiting += 1
        try:
            with anyio.move_on_after(first.after_s or most_s):
                await self._permits.wait_for_reply()
        finally:
            self._num_waiting -= 1
        return True

    def _return(self, run: RunId, now_s: float) -> NextAvailability | None:
        rest_s = self.rests.left_s(run, now_s)
        if rest_s > 0.0:
            return NextAvailability(rest_s, is_limited=False)
        if self._has_permit(run) or self._permits is None:
            return None
        return NextAvailability(self._permits.permit_wait_s(run), is_limited=True)

    def _has_permit(self, run: RunId) -> bool:
        return self._permits is None or self._permits.admits(run)
