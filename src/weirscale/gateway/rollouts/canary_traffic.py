"""This node's part in rollouts: which requests try a target, and how they end."""

from collections.abc import Callable
from random import Random

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.allowance import Allowance, start_credit
from weirscale.gateway.rollouts.gate import Track, VersionGate
from weirscale.gateway.rollouts.pace import AnswerTimes, UsualPace
from weirscale.gateway.rollouts.record import Stage
from weirscale.gateway.rollouts.tallies import (
    PREDECESSORS,
    Counts,
    FleetTallies,
    RouteEvidence,
    Tallies,
    TallyKey,
    by_route,
    evidence_of,
)
from weirscale.gateway.rollouts.verdict import MAIN_ROUTE_SHARE, AlarmTest, Verdict
from weirscale.gateway.rollouts.view import RecordReader, RolloutView
from weirscale.gateway.settings import CanaryLimits
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

LOOK_INTERVAL_S = 0.2
"""How often this node looks at the tallies of an open rollout."""

PROVEN_TRIALS = 10
"""Requests that may not be repeated try the target after so many trials, ..."""

ENOUGH_TRIALS = 10
"""A route with so many trials leaves the next ones to routes that have had fewer: each must show
by itself that the target does no harm there."""

LAST_KINDS_SHARE = 0.2
"""... or once this share of the time has passed: some services have no others."""

CountEnd = Callable[[ServiceName, str, str], None]
"""Takes a service, a side of its rollout and how an attempt ended there."""


class Ending(msgspec.Struct, frozen=True):
    """How an attempt ended, as far as it tells of its back end's version.

    Attributes:
        is_sound: Whether a whole answer came that was no failure.
        times: What it took, or None where nothing came.
    """

    is_sound: bool
    times: AnswerTimes | None = None


class CanaryTraffic:
    """Decides which requests of this node try a target, and counts how all of them end.

    Args:
        bounds: What an unproved version may get.
        knowledge: Orders.
        reader: Records.
        gate: Which versions may be used.
        num_nodes: Returns how many nodes may be running.
        fleet_sums: Returns what all nodes have seen, as far as it was told.
        event_log: Where this node's own alarms are told.
        random: Draws where an allowance begins.
        clock: Monotonic seconds.
        count: Counts an attempt by service, side and end.
    """

    def __init__(
        self,
        bounds: CanaryLimits,
        cluster: ClusterState,
        reader: RecordReader,
        gate: VersionGate,
        num_nodes: Callable[[], int],
        fleet_sums: Callable[[], Tallies],
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float],
        count: CountEnd,
    ) -> None:
        self._count = count
        self._bounds = bounds
        self._cluster = cluster
        self._reader = reader
        self._gate = gate
        self._num_nodes = num_nodes
        self._fleet_sums = fleet_sums
        self._event_log = event_log
        self._random = random
        self._clock = clock
        self.tallies = FleetTallies()
        self.pace = UsualPace()
        self._allowances: dict[Epoch, Allowance] = {}
        self._tests: dict[Epoch, AlarmTest] = {}
        self._known: dict[Epoch, dict[str, RouteEvidence]] = {}
        """What was known of each open rollout at the last look."""
        self._looked_at_s = float("-inf")

    def set_bounds(self, bounds: CanaryLimits) -> None:
        """Change what an unproved version may get; allowances that have begun keep their share."""
        self._bounds = bounds

    def track_of(self, service: ServiceName, route: Route) -> Track:
        """Return which versions a request that was not sent yet is for, and spend the allowance."""
        view = self._open_view(service)
        if view is None or not self._gate.may_try(view) or self.alarm(view.epoch) is not None:
            return Track.STABLE
        if not route.is_retryable and not self._may_try_once(service, view):
            return Track.STABLE
        allowance = self._allowance(service, view)
        if not self._is_wanted(route, view.epoch) and not allowance.is_full():
            return Track.STABLE
        return Track.CANARY if allowance.try_take() else Track.STABLE

    def _is_wanted(self, route: Route, epoch: Epoch) -> bool:
        """Whether no other route needs trials more than this one, which has had enough."""
        known = self._known.get(epoch, {})
        if _num_trials(known.get(route.name)) < ENOUGH_TRIALS:
            return True
        total = sum(one.old.num for one in known.values())
        return all(
            _num_trials(one) >= ENOUGH_TRIALS or one.old.num < MAIN_ROUTE_SHARE * total
            for one in known.values()
        )

    def give_back(self, service: ServiceName) -> None:
        """A request that was to try the target did not: there is no engine for it."""
        view = self._open_view(service)
        if view is not None:
            self._allowance(service, view).give_back()

    def note_request(self, service: ServiceName) -> None:
        """A request is sent on for the first time."""
        view = self._open_view(service)
        if view is not None:
            self._allowance(service, view).earn()

    def note_unsent(self, service: ServiceName) -> None:
        """A request that was sent on for the first time reached nobody."""
        view = self._open_view(service)
        if view is not None:
            self._allowance(service, view).lose()

    def note_end(self, back_end: BackEnd, route: Route, ending: Ending) -> None:
        """An attempt ended and tells of its back end's version."""
        view = self._open_view(back_end.service)
        if view is None:
            return
        is_target = back_end.software == view.target
        is_slow = self._judge_times(back_end, route, ending, is_target)
        counts = Counts(1, int(not ending.is_sound), int(is_slow))
        self._count(back_end.service, "target" if is_target else "old", _end_name(counts))
        instance = back_end.instance if is_target else PREDECESSORS
        self.tallies.note(TallyKey(back_end.service, view.epoch, route.name, instance), counts)

    def _judge_times(
        self, back_end: BackEnd, route: Route, ending: Ending, is_target: bool
    ) -> bool:
        if not ending.is_sound or ending.times is None:
            return False
        is_slow = self.pace.is_slow(back_end.service, route.name, ending.times)
        if not is_target:
            self.pace.learn(back_end.service, route.name, ending.times)
        return is_slow

    def is_open(self, service: ServiceName) -> bool:
        """Whether a rollout of a service is under way."""
        return self._open_view(service) is not None

    def stages(self) -> dict[ServiceName, str]:
        """Return how far the rollouts of all services are that have an order."""
        views = {one: self._reader.view(one) for one in self._cluster.rollouts.orders}
        return {
            service: view.stage.value if view.stage else "ordered"
            for service, view in views.items()
            if view is not None
        }

    def _open_view(self, service: ServiceName) -> RolloutView | None:
        if not self._cluster.rollouts.orders:
            return None
        view = self._reader.view(service)
        return view if view is not None and view.is_open() else None

    def _may_try_once(self, service: ServiceName, view: RolloutView) -> bool:
        """Whether requests that may not be repeated may try the target."""
        order = self._cluster.rollouts.orders.get(service)
        if order is not None:
            elapsed_s = self._clock() - order.seen_at_s
            if elapsed_s >= LAST_KINDS_SHARE * order.deadline_s:
                return True
        known = evidence_of(self._known.get(view.epoch, {}))
        return known.target.num >= PROVEN_TRIALS

    def _allowance(self, service: ServiceName, view: RolloutView) -> Allowance:
        allowance = self._allowances.get(view.epoch)
        if allowance is None:
            order = self._cluster.rollouts.orders.get(service)
            has_seen_order = order is not None and not order.was_there
            credit = start_credit(
                self._bounds, self._num_nodes(), has_seen_order, self._random.random()
            )
            allowance = self._allowances[view.epoch] = Allowance(self._bounds.share, credit)
        return allowance

    def alarm(self, epoch: Epoch) -> Verdict | None:
        """Return this node's own alarm about a rollout's target, if it has one."""
        test = self._tests.get(epoch)
        return None if test is None else test.alarm

    def tick(self) -> None:
        """Look at the tallies of the open rollouts, if it is time, and forget the ended ones."""
        now_s = self._clock()
        orders = self._cluster.rollouts.orders
        if not orders or now_s - self._looked_at_s < LOOK_INTERVAL_S:
            return
        self._looked_at_s = now_s
        sums = self._fleet_sums()
        for service in tuple(orders):
            view = self._open_view(service)
            if view is not None and view.stage in (Stage.CANARY, Stage.MOVING):
                self._look(service, view, sums, now_s)
        self._forget_ended()

    def _look(self, service: ServiceName, view: RolloutView, sums: Tallies, now_s: float) -> None:
        test = self._tests.get(view.epoch)
        if test is None:
            order = self._cluster.rollouts.orders[service]
            test = self._tests[view.epoch] = AlarmTest(order.deadline_s)
        had_alarm = test.alarm is not None
        known = self._known[view.epoch] = by_route(sums, service, view.epoch)
        alarm = test.look(known, now_s)
        if alarm is not None and not had_alarm:
            self._event_log.event(
                "rollout_alarm", service=service, target=view.target, epoch=view.epoch,
                stratum=alarm.reason, **verdict_fields(alarm),
            )  # fmt: skip

    def _forget_ended(self) -> None:
        open_epochs = [
            view.epoch
            for view in map(self._open_view, tuple(self._cluster.rollouts.orders))
            if view is not None
        ]
        self.tallies.keep(open_epochs)
        self._tests = {epoch: one for epoch, one in self._tests.items() if epoch in open_epochs}
        self._known = {epoch: one for epoch, one in self._known.items() if epoch in open_epochs}


def _num_trials(known: RouteEvidence | None) -> int:
    return 0 if known is None else sum(one.num for one in known.target.values())


def _end_name(counts: Counts) -> str:
    if counts.num_failed:
        return "failed"
    return "slow" if counts.num_slow else "sound"


def verdict_fields(verdict: Verdict) -> dict[str, object]:
    """Return the counts of a verdict for the log."""
    return {
        "trials": verdict.target.num,
        "trials_failed": verdict.target.num_failed,
        "trials_slow": verdict.target.num_slow,
        "others": verdict.old.num,
        "others_bad": verdict.old.num_bad,
    }
