"""Selects the back end for the next attempt at a request."""

from collections.abc import Collection

from weirscale.domain.identifiers import SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.requests.admission import AdmittedRequest
from weirscale.gateway.requests.retry_decision import AttemptHistory
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.rollouts.gate import Track
from weirscale.gateway.routing.back_pressure import NextAvailability
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.candidates import DispatchQuery
from weirscale.gateway.routing.dispatcher import Dispatcher


class BackEndSelector:
    """Selects back ends for attempts.

    Args:
        dispatcher: Ranks back ends.
        canary_traffic: Decides which requests go to the target version of a rollout.
    """

    def __init__(self, dispatcher: Dispatcher, canary_traffic: CanaryTraffic) -> None:
        self._dispatcher = dispatcher
        self._canary_traffic = canary_traffic

    def choose(self, admitted: AdmittedRequest, history: AttemptHistory) -> Choice | None:
        """Return the best back end that was not tried yet, or else one that may have recovered.

        A back end that was unreachable when last tried is not tried again. A refused connection
        takes about a millisecond, so the request would otherwise only reconnect until its
        deadline.
        """
        chosen = self._choose_on(Track.STABLE, admitted, history)
        if chosen is None and history.stream_version is not None:
            chosen = self._choose_canary_of_stream(admitted, history, history.stream_version)
        return chosen

    def _choose_on(
        self, track: Track, admitted: AdmittedRequest, history: AttemptHistory
    ) -> Choice | None:
        version = history.stream_version
        chosen = self._dispatcher.choose(_query(admitted, history.tried, version, track))
        if chosen is None and history.reached:
            chosen = self._dispatcher.choose(_query(admitted, history.unreachable, version, track))
        return chosen

    def _choose_canary_of_stream(
        self, admitted: AdmittedRequest, history: AttemptHistory, version: SoftwareVersion
    ) -> Choice | None:
        """Return a canary for a stream that the target of a rollout began.

        It counts against the canary's allowance like any other request.
        """
        if not self._canary_traffic.try_continue(admitted.service, version):
            return None
        chosen = self._choose_on(Track.CANARY, admitted, history)
        if chosen is None:
            self._canary_traffic.refund_attempt(admitted.service)
        return chosen

    def has_other(self, admitted: AdmittedRequest, history: AttemptHistory) -> bool:
        """Return whether a back end not tried yet may continue the stream, if one began."""
        version = history.stream_version
        return version is None or self._dispatcher.has_usable(
            _query(admitted, history.tried, version)
        )

    async def wait_for_permit(
        self, admitted: AdmittedRequest, history: AttemptHistory, max_wait_s: float
    ) -> bool:
        """Wait until a back end with a request limit may have a permit.

        Args:
            admitted: The request.
            history: Earlier attempts at the request.
            max_wait_s: Maximum time to wait.

        Returns:
            Whether to choose a back end again.
        """
        return await self._dispatcher.wait_for_permit(
            _query(admitted, history.unreachable, history.stream_version), max_wait_s
        )

    def next_availability(
        self, admitted: AdmittedRequest, history: AttemptHistory
    ) -> NextAvailability | None:
        """Return when the first back end that rests or has a request limit accepts one again."""
        return self._dispatcher.next_availability(_query(admitted, (), history.stream_version))

    def request_sent(self, back_end: BackEnd) -> None:
        """Use up a permit for a request that is sent now, if the back end has a request limit."""
        self._dispatcher.back_pressure.request_sent(back_end.run_id)

    def prefer_canary(
        self, admitted: AdmittedRequest, history: AttemptHistory, choice: Choice
    ) -> Choice:
        """Return a canary instead of the choice if this request should go to one.

        The overload check has already been made with the stable back ends, because a canary never
        has capacity for the other requests.
        """
        if (
            history.num_attempts
            or history.stream_version is not None
            or self._canary_traffic.choose_track(admitted.service, admitted.route) is Track.STABLE
        ):
            return choice
        canary = self._dispatcher.choose(_query(admitted, (), None, Track.CANARY))
        if canary is None:
            self._canary_traffic.refund_attempt(admitted.service)
            return choice
        return canary


def _query(
    admitted: AdmittedRequest,
    excluded: Collection[InstanceId],
    stream_version: SoftwareVersion | None,
    track: Track = Track.STABLE,
) -> DispatchQuery:
    return DispatchQuery(
        admitted.service, admitted.request.prompt, admitted.tenant, excluded, track, stream_version
    )
