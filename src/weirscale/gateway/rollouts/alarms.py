"""This node's alarms about rollouts: checks the tallies of all nodes and stops its own canary.

Each node judges by itself (`verdict.AlarmTest`), so stopping the canary does not depend on the
lease holder.
"""

from collections.abc import Callable, Mapping

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.rollouts.record import Stage
from weirscale.gateway.rollouts.tallies import RouteEvidence, Tallies, by_route
from weirscale.gateway.rollouts.verdict import AlarmTest, Verdict, verdict_fields
from weirscale.gateway.rollouts.view import RecordReader, RolloutView
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog

CHECK_INTERVAL_S = 0.2
"""Seconds between two checks of the tallies of open rollouts."""


class RolloutAlarms:
    """Checks the tallies of open rollouts.

    Args:
        cluster: Holds the orders.
        reader: Reads the state of rollouts.
        fleet_tallies: Returns the tallies of all nodes, as far as they were received.
        event_log: Logs each alarm once.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reader: RecordReader,
        fleet_tallies: Callable[[], Tallies],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._reader = reader
        self._fleet_tallies = fleet_tallies
        self._event_log = event_log
        self._clock = clock
        self._tests: dict[Epoch, AlarmTest] = {}
        self._evidence: dict[Epoch, dict[str, RouteEvidence]] = {}
        self._checked_at_s = float("-inf")

    def alarm(self, epoch: Epoch) -> Verdict | None:
        """Return this node's own alarm about a rollout's target, if it has raised one."""
        test = self._tests.get(epoch)
        return None if test is None else test.alarm

    def evidence(self, epoch: Epoch) -> Mapping[str, RouteEvidence]:
        """Return the evidence about an open rollout as of the last check, by route."""
        return self._evidence.get(epoch, {})

    def check(self) -> frozenset[Epoch] | None:
        """Check the open rollouts and return their epochs; None if no check is due yet."""
        now_s = self._clock()
        orders = self._cluster.rollouts.orders
        if not orders or now_s - self._checked_at_s < CHECK_INTERVAL_S:
            return None
        self._checked_at_s = now_s
        tallies = self._fleet_tallies()
        open_epochs = set()
        for service in tuple(orders):
            view = self._reader.open_view(service)
            if view is None:
                continue
            open_epochs.add(view.epoch)
            if view.stage in (Stage.CANARY, Stage.MOVING):
                self._check_rollout(service, view, tallies, now_s)
        self._tests = {epoch: test for epoch, test in self._tests.items() if epoch in open_epochs}
        self._evidence = {
            epoch: routes for epoch, routes in self._evidence.items() if epoch in open_epochs
        }
        return frozenset(open_epochs)

    def _check_rollout(
        self, service: ServiceName, view: RolloutView, tallies: Tallies, now_s: float
    ) -> None:
        test = self._tests.get(view.epoch)
        if test is None:
            order = self._cluster.rollouts.orders[service]
            test = self._tests[view.epoch] = AlarmTest(order.deadline_s)
        had_alarm = test.alarm is not None
        routes = self._evidence[view.epoch] = by_route(tallies, service, view.epoch)
        alarm = test.check(routes, now_s)
        if alarm is not None and not had_alarm:
            self._event_log.event(
                "rollout_alarm", service=service, target=view.target, epoch=view.epoch,
                stratum=alarm.reason, **verdict_fields(alarm),
            )  # fmt: skip
