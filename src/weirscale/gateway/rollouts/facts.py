"""Collects the facts about a rollout on which the lease holder bases its plan."""

from collections.abc import Callable, Sequence

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import ACCEPTING_STATES, BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder
from weirscale.gateway.rollouts.plan import RolloutFacts
from weirscale.gateway.rollouts.record import RolloutRecord, Stage
from weirscale.gateway.rollouts.tallies import (
    Evidence,
    Tallies,
    by_route,
    evidence_of,
)
from weirscale.gateway.rollouts.verdict import Judgement, Verdict, judge_completion
from weirscale.gateway.rollouts.view import RecordReader
from weirscale.gateway.state.cluster_state import ClusterState


class FleetSources(msgspec.Struct, frozen=True):
    """Sources of the fleet-wide values that the lease holder needs.

    Attributes:
        tallies: Returns the tallies of all nodes, as far as they were received.
        alarm_of: Returns this node's alarm about an epoch, if it has raised one.
        num_moved: Returns how many nodes have moved for a service and an epoch.
        num_nodes: Returns the number of registered nodes.
        num_requests: Returns the number of requests that all nodes have in flight at a back end.
        rollback_s: Returns the seconds allowed for a rollback.
    """

    tallies: Callable[[], Tallies]
    alarm_of: Callable[[Epoch], Verdict | None]
    num_moved: Callable[[ServiceName, Epoch], int]
    num_nodes: Callable[[], int]
    num_requests: Callable[[InstanceId], int]
    rollback_s: Callable[[], float]


class RolloutClock:
    """Measures how long rollouts and their stages have lasted, as observed by this node.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entered_at_s: dict[tuple[Epoch, Stage], float] = {}
        self._all_moved_since_s: dict[Epoch, float] = {}

    def elapsed_s(self, order: RolloutOrder, record: RolloutRecord | None) -> float:
        """Return the seconds since an order.

        Counts from the last time at which the order was known not to exist yet. If the order is
        older than this node, the result is a lower bound.
        """
        elapsed_s = self._clock() - order.seen_at_s
        if record is None or not order.predates_node:
            return elapsed_s
        # This node started after the order arrived. The record gives a lower bound on its age.
        return max(elapsed_s, record.elapsed_s + self.in_stage_s(record))

    def in_stage_s(self, record: RolloutRecord) -> float:
        """Return the seconds since this node first saw a record at its stage."""
        entered_s = self._entered_at_s.setdefault((record.epoch, record.stage), self._clock())
        return self._clock() - entered_s

    def all_moved_for_s(self, record: RolloutRecord, has_moved: bool) -> float:
        """Return for how many seconds all nodes have been known to have moved."""
        if not has_moved:
            self._all_moved_since_s.pop(record.epoch, None)
            return 0.0
        return self._clock() - self._all_moved_since_s.setdefault(record.epoch, self._clock())


class FactsReader:
    """Reads the facts of one rollout at a time.

    Args:
        cluster: Holds the back ends.
        reader: Reads the state of rollouts.
        sources: Provides the fleet-wide values.
        times: Measures how long rollouts and stages have lasted.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reader: RecordReader,
        sources: FleetSources,
        times: RolloutClock,
    ) -> None:
        self._cluster = cluster
        self._reader = reader
        self._sources = sources
        self._times = times

    def note_stage(self, record: RolloutRecord) -> None:
        """Start to measure how long a record has been at its stage."""
        self._times.in_stage_s(record)

    def facts(self, order: RolloutOrder, record: RolloutRecord | None) -> RolloutFacts:
        """Return the current facts of an order.

        Args:
            order: The order.
            record: Its record, or None if no node has started the rollout.
        """
        back_ends = tuple(self._cluster.directory.of_service(order.service))
        old = [back_end for back_end in back_ends if back_end.software != order.target]
        target = [back_end for back_end in back_ends if back_end.software == order.target]
        # Leaving back ends accept no new requests, but their running requests must end too.
        old_requests = sum(self._sources.num_requests(back_end.instance) for back_end in old)
        verdict, evidence = self._judge(order, record)
        view = self._reader.view(order.service)
        all_moved_for_s, in_stage_s = self._move_times(record, old_requests)
        return RolloutFacts(
            elapsed_s=self._times.elapsed_s(order, record),
            verdict=verdict,
            evidence=evidence,
            target_slots=_working_slots(target),
            old_slots=_working_slots(old),
            old_versions=tuple(sorted({back_end.software for back_end in old})),
            all_moved_for_s=all_moved_for_s,
            in_stage_s=in_stage_s,
            rollback_s=self._sources.rollback_s(),
            old_requests=old_requests,
            target_served_before=view is not None and view.target_served_before,
        )

    def _move_times(self, record: RolloutRecord | None, old_requests: int) -> tuple[float, float]:
        """Return for how many seconds all nodes have moved, and how long the move has lasted.

        Both are 0 unless the rollout is at the moving stage.
        """
        if record is None or record.stage is not Stage.MOVING:
            return 0.0, 0.0
        num_moved = self._sources.num_moved(record.service, record.epoch)
        has_moved = num_moved >= self._sources.num_nodes() and old_requests == 0
        return self._times.all_moved_for_s(record, has_moved), self._times.in_stage_s(record)

    def _judge(self, order: RolloutOrder, record: RolloutRecord | None) -> tuple[Verdict, Evidence]:
        """Return the verdict on the nodes' tallies, and the evidence to record.

        The recorded evidence is kept while it has more answers than the tallies, as after a restart
        of the nodes; the target is then not called good.
        """
        routes = by_route(self._sources.tallies(), order.service, order.epoch)
        verdict = judge_completion(routes, self._sources.alarm_of(order.epoch))
        evidence = evidence_of(routes)
        if record is None or evidence.target.num >= record.evidence.target.num:
            return verdict, evidence
        if verdict.judgement is Judgement.GOOD:
            verdict = Verdict(Judgement.UNDECIDED, "restarted", evidence.target, evidence.old)
        return verdict, record.evidence


def _working_slots(back_ends: Sequence[BackEnd]) -> int:
    """Return the total slots of the back ends that accept requests."""
    return sum(back_end.slots for back_end in back_ends if back_end.state in ACCEPTING_STATES)
