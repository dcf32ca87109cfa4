"""What attempts say of their back ends: health, weights, and the version of their program."""

from collections.abc import Callable

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.peers.messages import SuspectGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.ports.back_end import Answer
from weirscale.gateway.requests.attempt_verdict import (
    BACK_END_FAULTS,
    CANCELLED,
    AttemptEnd,
    Verdict,
    is_about_weights,
)
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic, VersionOutcome
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.weights.version_check import VersionCheck

OVERDUE_FACTOR = 2.0
"""An attempt that its caller left without an event counts as failed after this multiple of the
objective: callers and deadlines end what hangs. Not measured."""


class BackEndVerdicts:
    """Judges back ends by the ends of attempts.

    Args:
        cluster: The platform's state, with believed weights.
        dispatcher: Avoids back ends that refused for a while.
        health: Circuits.
        outbox: Gossip.
        version_check: Asks engines that have other weights than believed.
        canary_traffic: Rollouts of services' programs.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        dispatcher: Dispatcher,
        health: BackEndHealth,
        outbox: GossipOutbox,
        version_check: VersionCheck,
        canary_traffic: CanaryTraffic,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._dispatcher = dispatcher
        self._health = health
        self._outbox = outbox
        self._version_check = version_check
        self._canary_traffic = canary_traffic
        self._clock = clock

    def judge_health(self, instance: InstanceId, verdict: Verdict) -> None:
        """Judge whether a back end works."""
        now_s = self._clock()
        if verdict.end is AttemptEnd.ANSWERED:
            self._health.succeeded(instance, now_s)
            self._cluster.back_ends.mark_answered(instance)
        elif verdict.end is AttemptEnd.NOT_RUN:
            self._dispatcher.request_refused(instance)
            if is_about_weights(verdict):
                self._version_check.request(instance)
        elif verdict.end is AttemptEnd.NEVER_SENT:
            self._health.unreachable(instance, verdict.reason, now_s)
            self._outbox.add_suspect(SuspectGossip(instance))
        elif verdict.end is AttemptEnd.FAILED or verdict.reason in BACK_END_FAULTS:
            self._health.failed(instance, verdict.reason, now_s)

    def learn_weights(self, choice: Choice, prompt: Prompt | None, answer: Answer) -> None:
        """Learn from the head of an answer which weights the engine has."""
        if prompt is None or answer.weight_version is None or choice.scope is None:
            return
        instance = choice.candidate.back_end.instance
        self._cluster.engine_versions.record_version(
            instance, prompt.model, answer.weight_version, "answer"
        )

    def judge_version(
        self,
        choice: Choice,
        route: Route,
        verdict: Verdict,
        times: AttemptTimes,
        took_s: float,
    ) -> None:
        """Count an attempt for its back end's program version, where a rollout is under way.

        One that did not run because of its engine's weights does not count, nor does one that its
        caller left before it was overdue.
        """
        back_end = choice.candidate.back_end
        is_overdue = times.first_event_s is None and took_s > OVERDUE_FACTOR * route.objective_s
        if is_about_weights(verdict) or (verdict.reason == CANCELLED and not is_overdue):
            return
        if not self._canary_traffic.has_open_rollout(back_end.service):
            return
        expected_s = None if choice.scope is None else choice.estimate_s
        is_sound = verdict.end is AttemptEnd.ANSWERED
        outcome = VersionOutcome(is_sound, times.answer_times(took_s, expected_s))
        self._canary_traffic.record_outcome(back_end, route, outcome)

    def add_canary_share(self, service: ServiceName) -> None:
        """Let a request that is sent for the first time raise what the canary may get."""
        self._canary_traffic.record_request(service)

    def take_back_canary_share(self, service: ServiceName, verdict: Verdict) -> None:
        """Take that back if the request's first attempt reached nobody."""
        if verdict.end is AttemptEnd.NEVER_SENT:
            self._canary_traffic.record_unsent_request(service)
