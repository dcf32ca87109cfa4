"""Decides which requests of this node go to a canary, and counts the outcomes of all attempts.

A request goes to the target if the canary stage is known from fresh state, there is no alarm, the
node's allowance has an attempt left, and no other route needs canary requests more. Non-retryable
requests follow once the target has answered some requests or part of the deadline has passed.
"""

from collections.abc import Callable
from random import Random

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.alarms import RolloutAlarms
from weirscale.gateway.rollouts.allowance import Allowance, start_credit
from weirscale.gateway.rollouts.gate import Track, VersionGate
from weirscale.gateway.rollouts.pace import AnswerTimes, BaselineTimes
from weirscale.gateway.rollouts.tallies import (
    PREDECESSORS,
    Counts,
    FleetTallies,
    RouteEvidence,
    TallyKey,
    evidence_of,
)
from weirscale.gateway.rollouts.verdict import MAIN_ROUTE_SHARE
from weirscale.gateway.rollouts.view import RecordReader, RolloutView
from weirscale.gateway.settings import CanaryLimits
from weirscale.gateway.state.cluster_state import ClusterState

NON_RETRYABLE_MIN_REQUESTS = 10
"""Canary requests after which non-retryable requests may go to the target as well."""

SUFFICIENT_ROUTE_REQUESTS = 10
"""Canary requests of a route after which it yields to routes that have had fewer, since each route
must show by itself that the target does no harm there. Without this rule, a sound version was
rolled back as undecided after 2 of the 11 canary requests of one route had failed by chance."""

NON_RETRYABLE_AFTER_SHARE = 0.2
"""Fraction of an order's deadline after which non-retryable requests may go to the canary in any
case, since some services have no others."""

CountOutcome = Callable[[ServiceName, str, str], None]
"""Counts an attempt. Arguments: service, side of its rollout (`target` or `old`), outcome."""


class VersionOutcome(msgspec.Struct, frozen=True):
    """Outcome of an attempt, as evidence about its back end's version.

    Attributes:
        is_sound: Whether a complete answer arrived that was not a failure.
        times: Times of the answer, or None if nothing arrived.
    """

    is_sound: bool
    times: AnswerTimes | None = None


class CanaryTraffic:
    """Decides which requests of this node go to a target, and counts the outcomes of all attempts.

    Args:
        limits: Limits on the traffic of a version under test.
        cluster: Holds the orders.
        reader: Reads the state of rollouts.
        gate: Decides which versions may be used.
        num_nodes: Returns the number of nodes that may be running.
        alarms: Evidence and alarms about open rollouts.
        tallies: Counts the outcomes.
        random: Draws the starting credit of an allowance.
        clock: Returns monotonic seconds.
        count: Counts an attempt by service, side and outcome for the metrics.
    """

    def __init__(
        self,
        limits: CanaryLimits,
        cluster: ClusterState,
        reader: RecordReader,
        gate: VersionGate,
        num_nodes: Callable[[], int],
        alarms: RolloutAlarms,
        tallies: FleetTallies,
        random: Random,
        clock: Callable[[], float],
        count: CountOutcome,
    ) -> None:
        self._count = count
        self._limits = limits
        self._cluster = cluster
        self._reader = reader
        self._gate = gate
        self._num_nodes = num_nodes
        self._alarms = alarms
        self._random = random
        self._clock = clock
        self._tallies = tallies
        self.baseline_times = BaselineTimes()
        self._allowances: dict[Epoch, Allowance] = {}

    def set_limits(self, limits: CanaryLimits) -> None:
        """Set the limits of later rollouts; existing allowances keep their share."""
        self._limits = limits

    def choose_track(self, service: ServiceName, route: Route) -> Track:
        """Return the track of a request that has not been forwarded yet.

        `Track.CANARY` spends one attempt of the allowance.
        """
        view = self._reader.open_view(service)
        if view is None or not self._gate.allows_canary(view):
            return Track.STABLE
        if self._alarms.alarm(view.epoch) is not None:
            return Track.STABLE
        if not route.is_retryable and not self._may_send_non_retryable(service, view):
            return Track.STABLE
        allowance = self._allowance(service, view)
        if not self._has_priority(route, view.epoch) and not allowance.is_full():
            return Track.STABLE
        return Track.CANARY if allowance.try_take() else Track.STABLE

    def try_continue(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Spend an attempt of the allowance on a stream that a version began, if it is a canary.

        Returns:
            Whether the version is a canary and had an attempt left.
        """
        view = self._reader.open_view(service)
        if view is None or version != view.target:
            return False
        is_sound = self._gate.allows_canary(view) and self._alarms.alarm(view.epoch) is None
        return is_sound and self._allowance(service, view).try_take()

    def _has_priority(self, route: Route, epoch: Epoch) -> bool:
        """Return whether no other route needs canary requests more than this one."""
        evidence = self._alarms.evidence(epoch)
        if _num_target_requests(evidence.get(route.name)) < SUFFICIENT_ROUTE_REQUESTS:
            return True
        total = sum(other.old.num for other in evidence.values())
        return all(
            _num_target_requests(other) >= SUFFICIENT_ROUTE_REQUESTS
            or other.old.num < MAIN_ROUTE_SHARE * total
            for other in evidence.values()
        )

    def refund_attempt(self, service: ServiceName) -> None:
        """Refund the attempt of a canary request for which the target had no available engine."""
        view = self._reader.open_view(service)
        if view is not None:
            self._allowance(service, view).refund()

    def record_request(self, service: ServiceName) -> None:
        """Record that a request is forwarded for the first time."""
        view = self._reader.open_view(service)
        if view is not None:
            self._allowance(service, view).accrue()

    def record_unsent_request(self, service: ServiceName) -> None:
        """Record that the first attempt of a recorded request reached no back end."""
        view = self._reader.open_view(service)
        if view is not None:
            self._allowance(service, view).cancel_accrual()

    def record_outcome(self, back_end: BackEnd, route: Route, outcome: VersionOutcome) -> None:
        """Count the outcome of an attempt for its back end's version."""
        view = self._reader.open_view(back_end.service)
        if view is None:
            return
        is_target = back_end.software == view.target
        is_slow = self._judge_times(back_end, route, outcome, is_target)
        counts = Counts(1, int(not outcome.is_sound), int(is_slow))
        self._count(back_end.service, "target" if is_target else "old", _outcome_name(counts))
        instance = back_end.instance if is_target else PREDECESSORS
        self._tallies.record(TallyKey(back_end.service, view.epoch, route.name, instance), counts)

    def _judge_times(
        self, back_end: BackEnd, route: Route, outcome: VersionOutcome, is_target: bool
    ) -> bool:
        """Return whether a sound answer was slow; learn the usual times from older versions."""
        if not outcome.is_sound or outcome.times is None:
            return False
        is_slow = self.baseline_times.is_slow(back_end.service, route.name, outcome.times)
        if not is_target:
            self.baseline_times.learn(back_end.service, route.name, outcome.times)
        return is_slow

    def has_open_rollout(self, service: ServiceName) -> bool:
        """Return whether a rollout of a service is in progress."""
        return self._reader.open_view(service) is not None

    def stages(self) -> dict[ServiceName, str]:
        """Return the rollout stage of each service that has an order."""
        views = {service: self._reader.view(service) for service in self._cluster.rollouts.orders}
        return {
            service: view.stage.value if view.stage else "ordered"
            for service, view in views.items()
            if view is not None
        }

    def _may_send_non_retryable(self, service: ServiceName, view: RolloutView) -> bool:
        """Return whether non-retryable requests may go to the target."""
        order = self._cluster.rollouts.orders.get(service)
        if order is not None:
            elapsed_s = self._clock() - order.seen_at_s
            if elapsed_s >= NON_RETRYABLE_AFTER_SHARE * order.deadline_s:
                return True
        evidence = evidence_of(self._alarms.evidence(view.epoch))
        return evidence.target.num >= NON_RETRYABLE_MIN_REQUESTS

    def _allowance(self, service: ServiceName, view: RolloutView) -> Allowance:
        allowance = self._allowances.get(view.epoch)
        if allowance is None:
            order = self._cluster.rollouts.orders.get(service)
            has_seen_order = order is not None and not order.predates_node
            credit = start_credit(
                self._limits, self._num_nodes(), has_seen_order, self._random.random()
            )
            allowance = self._allowances[view.epoch] = Allowance(self._limits.share, credit)
        return allowance

    def tick(self) -> None:
        """Check for alarms if that is due, and drop the tallies of ended rollouts."""
        open_epochs = self._alarms.check()
        if open_epochs is not None:
            self._tallies.keep(open_epochs)


def _num_target_requests(evidence: RouteEvidence | None) -> int:
    return 0 if evidence is None else sum(counts.num for counts in evidence.target.values())


def _outcome_name(counts: Counts) -> str:
    if counts.num_failed:
        return "failed"
    return "slow" if counts.num_slow else "sound"
