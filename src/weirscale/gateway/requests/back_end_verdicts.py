"""Evaluates back ends by the ends of attempts: health, weights and service version."""

from collections.abc import Callable

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.peers.gossip_entries import SuspectGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.ports.back_end import Answer
from weirscale.gateway.requests.attempt_verdict import (
    BACK_END_FAULTS,
    BODY_BROKEN,
    CANCELLED,
    NO_ANSWER,
    NOT_CONNECTED,
    TOO_SLOW,
    UNSENDABLE,
    AttemptEnd,
    Verdict,
    is_target_mismatch,
)
from weirscale.gateway.requests.path_verdicts import PathVerdicts
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic, VersionOutcome
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.weights.version_check import VersionCheck

OVERDUE_FACTOR = 2.0
"""A cancelled attempt without an event counts as failed if it lasted longer than this multiple of
the route's objective: attempts at a hanging back end end only when callers give up or at the
deadline."""


UNCONFIRMED = "connect_unconfirmed"
"""Reason for which this node alone avoids a back end: no connection was made, and no other node has
confirmed that none can be."""

SILENT_ENDS = frozenset({NO_ANSWER, BODY_BROKEN, TOO_SLOW})
"""Reasons of failed attempts that a lost path could have caused."""

LOST_PATH_ENDS = SILENT_ENDS | {NOT_CONNECTED, CANCELLED}


class BackEndVerdicts:
    """Evaluates back ends by the ends of attempts.

    Args:
        cluster: State of the platform, with the presumed weights of the engines.
        dispatcher: Avoids back ends for a while after they refused a request.
        health: Circuit breakers of the back ends.
        outbox: Queues gossip for the other nodes.
        send_gossip_now: Sends queued gossip without waiting for the next regular message.
        version_check: Queries engines whose weights differ from the presumed ones.
        canary_traffic: Rollouts of new service versions.
        paths: Tells failures of back ends from lost paths of this node.
        clock: Returns the current time in monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        dispatcher: Dispatcher,
        health: BackEndHealth,
        outbox: GossipOutbox,
        send_gossip_now: Callable[[], None],
        version_check: VersionCheck,
        canary_traffic: CanaryTraffic,
        paths: PathVerdicts,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._dispatcher = dispatcher
        self._health = health
        self._outbox = outbox
        self._send_gossip_now = send_gossip_now
        self._version_check = version_check
        self._canary_traffic = canary_traffic
        self._paths = paths
        self._clock = clock

    def update_health(self, back_end: BackEnd, verdict: Verdict) -> None:
        """Update the health of a back end after an attempt."""
        instance, now_s = back_end.instance, self._clock()
        if verdict.end is AttemptEnd.ANSWERED:
            self._health.succeeded(instance, now_s)
            self._cluster.back_ends.mark_answered(instance)
        elif verdict.end is AttemptEnd.NOT_RUN:
            self._dispatcher.request_refused(instance)
            if is_target_mismatch(verdict):
                self._version_check.request(instance)
            else:
                self._report_if_brittle(back_end)
        elif verdict.reason == UNSENDABLE:
            return  # The fault is in the request, not in the back end.
        elif verdict.end is AttemptEnd.NEVER_SENT:
            self._record_unreachable(back_end, verdict.reason, now_s)
        elif verdict.end is AttemptEnd.FAILED or verdict.reason in BACK_END_FAULTS:
            self._health.failed(instance, verdict.reason, now_s)
            if verdict.reason in SILENT_ENDS:
                self._paths.connection_failed(back_end.address)

    def _report_if_brittle(self, back_end: BackEnd) -> None:
        """Inform the other nodes at once that a brittle back end is full."""
        refusal = self._dispatcher.back_pressure.brittle.refused(back_end)
        if refusal is not None:
            self._outbox.add_brittle(refusal)
            self._send_gossip_now()

    def _record_unreachable(self, back_end: BackEnd, reason: str, now_s: float) -> None:
        """Avoid a back end, and inform the other nodes only if it is not this node's own path."""
        if self._paths.is_unreachable_for_all(back_end.address):
            self._health.unreachable(back_end.instance, reason, now_s)
            self._outbox.add_suspect(SuspectGossip(back_end.instance))
        else:
            self._health.unreachable(back_end.instance, UNCONFIRMED, now_s)

    def record_weights(self, choice: Choice, prompt: Prompt | None, answer: Answer) -> None:
        """Record the version of the engine's weights that the head of an answer states."""
        if prompt is None or answer.weight_version is None or choice.scope is None:
            return
        instance = choice.candidate.back_end.instance
        self._cluster.engine_versions.record_version(
            instance, prompt.model, answer.weight_version, "answer"
        )

    def count_version_outcome(
        self,
        choice: Choice,
        route: Route,
        verdict: Verdict,
        times: AttemptTimes,
        took_s: float,
    ) -> None:
        """Count an attempt for its back end's service version while a rollout is open.

        Attempts that the back end refused because of its instance or weights do not count, nor do
        attempts that were cancelled before they were overdue, or that failed on a lost path.
        """
        back_end = choice.candidate.back_end
        is_overdue = times.first_event_s is None and took_s > OVERDUE_FACTOR * route.objective_s
        if is_target_mismatch(verdict) or (verdict.reason == CANCELLED and not is_overdue):
            return
        if verdict.reason in LOST_PATH_ENDS and self._paths.may_be_lost(back_end.address):
            return
        if not self._canary_traffic.has_open_rollout(back_end.service):
            return
        expected_s = None if choice.scope is None else choice.estimate_s
        is_sound = verdict.end is AttemptEnd.ANSWERED
        outcome = VersionOutcome(is_sound, times.answer_times(took_s, expected_s))
        self._canary_traffic.record_outcome(back_end, route, outcome)

    def add_canary_allowance(self, service: ServiceName) -> None:
        """Raise the canary's allowance for a request that is sent for the first time."""
        self._canary_traffic.record_request(service)

    def remove_canary_allowance(self, service: ServiceName, verdict: Verdict) -> None:
        """Undo `add_canary_allowance` if the request's first attempt did not reach a back end."""
        if verdict.end is AttemptEnd.NEVER_SENT:
            self._canary_traffic.record_unsent_request(service)
