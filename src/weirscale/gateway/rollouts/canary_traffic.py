"""The rule of which requests of this node go to a canary, and the count of how all of them end.

A request goes to the target while the canary runs with a fresh proof and without an alarm, the
node's allowance has an attempt left, and its route needs canary requests as much as any other.
Requests that may not be repeated follow once the target has proved itself a little.
"""

from collections.abc import Callable
from random import Random

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.alarms import RolloutAlarms
from weirscale.gateway.rollouts.allowance import Allowance, start_credit
from weirscale.gateway.rollouts.gate import Track, VersionGate
from weirscale.gateway.rollouts.pace import AnswerTimes, UsualPace
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

PROVEN_REQUESTS = 10
"""Canary requests after which those follow that may not be repeated. Not measured."""

ENOUGH_REQUESTS = 10
"""Canary requests of a route after which it leaves the next ones to routes that have had fewer:
each must show by itself that the target does no harm there. A sound version with 11 on one route, 2
of which had failed by chance, was returned as undecided before."""

UNREPEATABLE_AFTER_SHARE = 0.2
"""Part of an order's deadline after which requests that may not be repeated go to the canary in any
case: some services have no others. Not measured."""

CountEnd = Callable[[ServiceName, str, str], None]
"""Takes a service, a side of its rollout (`target`, `old`) and how an attempt ended there."""


class VersionOutcome(msgspec.Struct, frozen=True):
    """How an attempt ended, as far as it shows something of its back end's version.

    Attributes:
        is_sound: Whether a whole answer came that was no failure.
        times: What it took, or None where nothing came.
    """

    is_sound: bool
    times: AnswerTimes | None = None


class CanaryTraffic:
    """Decides which requests of this node go to a target, and counts how all of them end.

    Args:
        limits: What an unproved version may get.
        cluster: Orders.
        reader: Records.
        gate: Which versions may be used.
        num_nodes: Returns how many nodes may be running.
        alarms: What is known of open rollouts.
        tallies: Where the ends of requests are counted.
        random: Draws where an allowance begins.
        clock: Monotonic seconds.
        count: Counts an attempt by service, side and end.
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
        count: CountEnd,
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
        self.pace = UsualPace()
        self._allowances: dict[Epoch, Allowance] = {}

    def set_limits(self, limits: CanaryLimits) -> None:
        """Change what an unproved version may get; allowances that have begun keep their share."""
        self._limits = limits

    def choose_track(self, service: ServiceName, route: Route) -> Track:
        """Return which versions a request that was not sent yet is for, and spend the allowance."""
        view = self._reader.open_view(service)
        if view is None or not self._gate.allows_canary(view):
            return Track.STABLE
        if self._alarms.alarm(view.epoch) is not None:
            return Track.STABLE
        if not route.is_retryable and not self._may_send_unrepeatable(service, view):
            return Track.STABLE
        allowance = self._allowance(service, view)
        if not self._is_wanted(route, view.epoch) and not allowance.is_full():
            return Track.STABLE
        return Track.CANARY if allowance.try_take() else Track.STABLE

    def _is_wanted(self, route: Route, epoch: Epoch) -> bool:
        """Whether no other route needs canary requests more than this one does."""
        known = self._alarms.evidence(epoch)
        if _num_canary(known.get(route.name)) < ENOUGH_REQUESTS:
            return True
        total = sum(one.old.num for one in known.values())
        return all(
            _num_canary(one) >= ENOUGH_REQUESTS or one.old.num < MAIN_ROUTE_SHARE * total
            for one in known.values()
        )

    def refund_attempt(self, service: ServiceName) -> None:
        """A request for the canary did not go there: there is no engine for it."""
        view = self._reader.open_view(service)
        if view is not None:
            self._allowance(service, view).refund()

    def record_request(self, service: ServiceName) -> None:
        """A request is sent on for the first time."""
        view = self._reader.open_view(service)
        if view is not None:
            self._allowance(service, view).accrue()

    def record_unsent_request(self, service: ServiceName) -> None:
        """A request that was sent on for the first time reached nobody."""
        view = self._reader.open_view(service)
        if view is not None:
            self._allowance(service, view).cancel_accrual()

    def record_outcome(self, back_end: BackEnd, route: Route, outcome: VersionOutcome) -> None:
        """An attempt ended and shows something of its back end's version."""
        view = self._reader.open_view(back_end.service)
        if view is None:
            return
        is_target = back_end.software == view.target
        is_slow = self._judge_times(back_end, route, outcome, is_target)
        counts = Counts(1, int(not outcome.is_sound), int(is_slow))
        self._count(back_end.service, "target" if is_target else "old", _end_name(counts))
        instance = back_end.instance if is_target else PREDECESSORS
        self._tallies.record(TallyKey(back_end.service, view.epoch, route.name, instance), counts)

    def _judge_times(
        self, back_end: BackEnd, route: Route, outcome: VersionOutcome, is_target: bool
    ) -> bool:
        if not outcome.is_sound or outcome.times is None:
            return False
        is_slow = self.pace.is_slow(back_end.service, route.name, outcome.times)
        if not is_target:
            self.pace.learn(back_end.service, route.name, outcome.times)
        return is_slow

    def has_open_rollout(self, service: ServiceName) -> bool:
        """Whether a rollout of a service is under way."""
        return self._reader.open_view(service) is not None

    def stages(self) -> dict[ServiceName, str]:
        """Return how far the rollouts of all services are that have an order."""
        views = {one: self._reader.view(one) for one in self._cluster.rollouts.orders}
        return {
            service: view.stage.value if view.stage else "ordered"
            for service, view in views.items()
            if view is not None
        }

    def _may_send_unrepeatable(self, service: ServiceName, view: RolloutView) -> bool:
        """Whether requests that may not be repeated may go to the target."""
        order = self._cluster.rollouts.orders.get(service)
        if order is not None:
            elapsed_s = self._clock() - order.seen_at_s
            if elapsed_s >= UNREPEATABLE_AFTER_SHARE * order.deadline_s:
                return True
        known = evidence_of(self._alarms.evidence(view.epoch))
        return known.target.num >= PROVEN_REQUESTS

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
        """Look for alarms, if it is time, and forget the tallies of ended rollouts."""
        open_epochs = self._alarms.check()
        if open_epochs is not None:
            self._tallies.keep(open_epochs)


def _num_canary(known: RouteEvidence | None) -> int:
    return 0 if known is None else sum(one.num for one in known.target.values())


def _end_name(counts: Counts) -> str:
    if counts.num_failed:
        return "failed"
    return "slow" if counts.num_slow else "sound"
