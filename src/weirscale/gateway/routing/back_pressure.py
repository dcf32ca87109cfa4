"""What back ends ask this node to spare them: rests, and request limits for all nodes together."""

from collections.abc import Iterable

import anyio
import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.routing.back_end_rests import BackEndRests


class Return(msgspec.Struct, frozen=True):
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

    def admitted(self, back_ends: Iterable[BackEnd], now_s: float) -> list[BackEnd]:
        """Return those that may be sent a request now; permits are fetched for limited ones.

        One that runs little looks idle and would be tried first all the time. One that rests turns
        callers away whom others would have served: 186 of them within 5 s at seven nodes, by three
        of nine engines that had asked for 3 s (a recorded day). One with a limit would get as much
        as before: 3 to 4 requests a second at a limit of 1.1 (another one). Neither is tried for
        want of others: it has said when, or how often.
        """
        resting = self.rests.resting(now_s)
        return [
            one for one in back_ends if one.run_id not in resting and self._has_permit(one.run_id)
        ]

    def request_sent(self, run: RunId) -> None:
        """Use a permit for a request that is sent to a run now, if it takes one."""
        if self._permits is not None:
            self._permits.take(run)

    def first_return(self, back_ends: Iterable[BackEnd], now_s: float) -> Return | None:
        """Return who comes back first of those that may be sent nothing now; None without any."""
        returns = [self._return(one.run_id, now_s) for one in back_ends]
        found = [one for one in returns if one is not None]
        return min(found, key=lambda one: one.after_s, default=None)

    async def wait_for_permit(self, first: Return, most_s: float) -> bool:
        """Wait until a permit may be there; returns whether that is worth trying.

        Args:
            first: Who comes back first.
            most_s: Longest wait in seconds that makes sense.
        """
        if self._permits is None or not first.is_limited or not 0.0 < most_s >= first.after_s:
            return False
        with anyio.move_on_after(first.after_s or most_s):
            await self._permits.wait_for_reply()
        return True

    def _return(self, run: RunId, now_s: float) -> Return | None:
        rest_s = self.rests.left_s(run, now_s)
        if rest_s > 0.0:
            return Return(rest_s, is_limited=False)
        if self._has_permit(run) or self._permits is None:
            return None
        return Return(self._permits.wait_left_s(run), is_limited=True)

    def _has_permit(self, run: RunId) -> bool:
        return self._permits is None or self._permits.admits(run)
