"""Which back end the next attempt at a request goes to."""

from collections.abc import Collection

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
    """Chooses back ends for attempts.

    Args:
        dispatcher: Ranks back ends.
        canary_traffic: Which requests try the target of a rollout.
    """

    def __init__(self, dispatcher: Dispatcher, canary_traffic: CanaryTraffic) -> None:
        self._dispatcher = dispatcher
        self._canary_traffic = canary_traffic

    def choose(self, admitted: AdmittedRequest, history: AttemptHistory) -> Choice | None:
        """Return the best back end that was not asked yet, else one that may have recovered.

        One that was not there just now is not asked again: its refusals take a millisecond, and a
        request would do nothing but connect until its time is over.
        """
        chosen = self._dispatcher.choose(_query(admitted, history.tried))
        if chosen is None and history.reached:
            chosen = self._dispatcher.choose(_query(admitted, history.unreachable))
        return chosen

    async def wait_for_permit(
        self, admitted: AdmittedRequest, history: AttemptHistory, most_s: float
    ) -> bool:
        """Wait for a back end that states a request limit; returns whether to choose again."""
        return await self._dispatcher.wait_for_permit(_query(admitted, history.unreachable), most_s)

    def first_return(self, admitted: AdmittedRequest) -> NextAvailability | None:
        """Return when the first of those that ask to be spared a request takes one again."""
        return self._dispatcher.next_availability(_query(admitted, ()))

    def request_sent(self, back_end: BackEnd) -> None:
        """Use a permit for a request that is sent to a back end now, if it takes one."""
        self._dispatcher.back_pressure.request_sent(back_end.run_id)

    def prefer_canary(
        self, admitted: AdmittedRequest, history: AttemptHistory, choice: Choice
    ) -> Choice:
        """Return a back end of the rollout's target instead, if this request is to try it.

        Whether the service has room was judged by the back ends that serve: one that is tried has
        room for the others' requests in no case.
        """
        if (
            history.num_attempts
            or self._canary_traffic.choose_track(admitted.service, admitted.route) is Track.STABLE
        ):
            return choice
        canary = self._dispatcher.choose(_query(admitted, (), Track.CANARY))
        if canary is None:
            self._canary_traffic.refund_attempt(admitted.service)
            return choice
        return canary


def _query(
    admitted: AdmittedRequest, excluded: Collection[InstanceId], track: Track = Track.STABLE
) -> DispatchQuery:
    return DispatchQuery(
        admitted.service, admitted.request.prompt, admitted.tenant, excluded, track
    )
