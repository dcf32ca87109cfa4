"""Back pressure from back ends: rests, and request limits that hold for all nodes together."""

from collections.abc import Iterable, Sequence

import anyio
import msgspec

from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.request_limits.brittle import BrittleBackEnds
from weirscale.gateway.request_limits.request_permits import RequestPermits
from weirscale.gateway.routing.back_end_rests import BackEndRests

MAX_PERMIT_WAIT_S = 0.3
"""Maximum seconds that a request waits for a permit if only back ends with an exhausted request
limit could serve it. This is about the time of a query to another node. A caller that is refused
retries later."""


FULL_RETRY_S = 0.25
"""Seconds after which a caller may find a place at a brittle back end."""


class NextAvailability(msgspec.Struct, frozen=True):
    """The time after which a back end under back pressure can be sent a request again.

    Attributes:
        after_s: Seconds from now; 0 if it may be at any moment.
        is_limited: Whether the cause is a request limit, not a rest.
        is_full: Whether the cause is that a brittle back end has no place for this node.
    """

    after_s: float
    is_limited: bool
    is_full: bool = False


class BackPressure:
    """Decides which back ends this node may send a request now, and when it may do so again.

    Args:
        rests: Rests of back ends.
        permits: Permits for back ends that state a request limit; None to ignore request limits.
        brittle: Places at brittle back ends.
    """

    def __init__(
        self, rests: BackEndRests, permits: RequestPermits | None, brittle: BrittleBackEnds
    ) -> None:
        self.rests = rests
        self.brittle = brittle
        self._permits = permits
        self._num_waiting = 0
        """Number of requests of this node that wait for a permit."""

    def admitted(
        self, back_ends: Iterable[BackEnd], now_s: float, of_service: Sequence[BackEnd]
    ) -> list[BackEnd]:
        """Return the back ends that may be sent a request now.

        If this node lacks a permit for a back end with a request limit, it asks for one.

        A back end that runs few requests looks idle and would always be tried first. If it were
        tried while it rests, it would turn away requests that other back ends could have served. If
        its limit were ignored, it would be sent as many requests as without one. It is left out
        even if no other back end is left, since it has stated when or how often it takes requests.
        """
        resting = self.rests.resting(now_s)
        return [
            back_end
            for back_end in back_ends
            if back_end.run_id not in resting
            and self.brittle.admits(back_end, of_service)
            and self._has_permit(back_end.run_id)
        ]

    def has_spare_permit(self, run: RunId) -> bool:
        """Return whether this node holds a permit for a run that expires unless it is used."""
        return self._permits is not None and self._permits.has_spare(run)

    def request_sent(self, run: RunId) -> None:
        """Use a permit for a request that is sent to a run now, if the run has a request limit."""
        if self._permits is not None:
            self._permits.take(run)
        self.brittle.request_sent(run)

    def next_availability(
        self, back_ends: Iterable[BackEnd], now_s: float, of_service: Sequence[BackEnd]
    ) -> NextAvailability | None:
        """Return the earliest availability of the back ends that may not be sent a request now.

        Returns None if there is no such back end.
        """
        times = [self._availability(back_end, now_s, of_service) for back_end in back_ends]
        later = [availability for availability in times if availability is not None]
        return min(later, key=lambda availability: availability.after_s, default=None)

    async def wait_for_permit(
        self,
        back_ends: Sequence[BackEnd],
        now_s: float,
        max_wait_s: float,
        of_service: Sequence[BackEnd],
    ) -> bool:
        """Wait until a permit may have arrived.

        The number of waiting requests is limited to the number of expected permits, but at least
        one may wait.

        Args:
            back_ends: Back ends that could serve the request.
            now_s: Current time.
            max_wait_s: Maximum wait in seconds.
            of_service: All ready back ends of the service.

        Returns:
            Whether the request has waited and a back end should be chosen again.
        """
        first = self.next_availability(back_ends, now_s, of_service)
        if self._permits is None or first is None or not first.is_limited:
            return False
        num_expected = self._permits.num_expected(
            (back_end.run_id for back_end in back_ends), MAX_PERMIT_WAIT_S
        )
        if not 0.0 < max_wait_s >= first.after_s or self._num_waiting >= max(1.0, num_expected):
            return False
        self._num_waiting += 1
        try:
            with anyio.move_on_after(first.after_s or max_wait_s):
                await self._permits.wait_for_reply()
        finally:
            self._num_waiting -= 1
        return True

    def _availability(
        self, back_end: BackEnd, now_s: float, of_service: Sequence[BackEnd]
    ) -> NextAvailability | None:
        run = back_end.run_id
        rest_s = self.rests.left_s(run, now_s)
        if rest_s > 0.0:
            return NextAvailability(rest_s, is_limited=False)
        if not self.brittle.admits(back_end, of_service):
            return NextAvailability(FULL_RETRY_S, is_limited=False, is_full=True)
        if self._has_permit(run) or self._permits is None:
            return None
        return NextAvailability(self._permits.permit_wait_s(run), is_limited=True)

    def _has_permit(self, run: RunId) -> bool:
        return self._permits is None or self._permits.admits(run)
