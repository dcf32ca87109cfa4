"""This node's alarms about rollouts: looks at the tallies of all nodes, and stops its own canary.

A return therefore needs no holder: each node judges by itself (`verdict.AlarmTest`).
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

LOOK_INTERVAL_S = 0.2
"""Seconds between two looks at the tallies of open rollouts. Not measured."""


class RolloutAlarms:
    """Looks at the tallies of open rollouts.

    Args:
        cluster: Orders.
        reader: What is known of rollouts.
        fleet_sums: Returns what all nodes have counted, as far as it was received.
        event_log: Logs each alarm once.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reader: RecordReader,
        fleet_sums: Callable[[], Tallies],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._reader = reader
        self._fleet_sums = fleet_sums
        self._event_log = event_log
        self._clock = clock
        self._tests: dict[Epoch, AlarmTest] = {}
        self._known: dict[Epoch, dict[str, RouteEvidence]] = {}
        self._looked_at_s = float("-inf")

    def alarm(self, epoch: Epoch) -> Verdict | None:
        """Return this node's own alarm about a rollout's target, if it has one."""
        test = self._tests.get(epoch)
        return None if test is None else test.alarm

    def evidence(self, epoch: Epoch) -> Mapping[str, RouteEvidence]:
        """Return what was known of an open rollout at the last look, by route."""
        return self._known.get(epoch, {})

    def check(self) -> frozenset[Epoch] | None:
        """Look at the open rollouts and return them; None if it is not time yet."""
        now_s = self._clock()
        orders = self._cluster.rollouts.orders
        if not orders or now_s - self._looked_at_s < LOOK_INTERVAL_S:
            return None
        self._looked_at_s = now_s
        sums = self._fleet_sums()
        open_epochs = set()
        for service in tuple(orders):
            view = self._reader.open_view(service)
            if view is None:
                continue
            open_epochs.add(view.epoch)
            if view.stage in (Stage.CANARY, Stage.MOVING):
                self._look_at(service, view, sums, now_s)
        self._tests = {epoch: one for epoch, one in self._tests.items() if epoch in open_epochs}
        self._known = {epoch: one for epoch, one in self._known.items() if epoch in open_epochs}
        return frozenset(open_epochs)

    def _look_at(
        self, service: ServiceName, view: RolloutView, sums: Tallies, now_s: float
    ) -> None:
        test = self._tests.get(view.epoch)
        if test is None:
            order = self._cluster.rollouts.orders[service]
            test = self._tests[view.epoch] = AlarmTest(order.deadline_s)
        had_alarm = test.alarm is not None
        known = self._known[view.epoch] = by_route(sums, service, view.epoch)
        alarm = test.check(known, now_s)
        if alarm is not None and not had_alarm:
            self._event_log.event(
                "rollout_alarm", service=service, target=view.target, epoch=view.epoch,
                stratum=alarm.reason, **verdict_fields(alarm),
            )  # fmt: skip
