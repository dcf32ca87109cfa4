"""Gathers what the holder of the lease knows of a rollout into the facts that its plan goes by."""

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
    """Where the holder reads what the nodes of the fleet know.

    Attributes:
        tallies: Returns what all nodes have counted, as far as it was received.
        alarm_of: Returns this node's alarm about an epoch, if there is one.
        num_moved: Returns how many nodes have moved for a service and an epoch.
        num_nodes: Returns how many nodes are registered.
        num_requests: Returns the requests of all nodes at a back end.
        rollback_s: Returns the seconds allowed for a return.
    """

    tallies: Callable[[], Tallies]
    alarm_of: Callable[[Epoch], Verdict | None]
    num_moved: Callable[[ServiceName, Epoch], int]
    num_nodes: Callable[[], int]
    num_requests: Callable[[InstanceId], int]
    rollback_s: Callable[[], float]


class RolloutClock:
    """How long rollouts and their stages have lasted, as far as this node knows; in seconds.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entered_s: dict[tuple[Epoch, Stage], float] = {}
        self._moved_s: dict[Epoch, float] = {}

    def elapsed_s(self, order: RolloutOrder, record: RolloutRecord | None) -> float:
        """Return the time since an order, or since the last proof before it."""
        elapsed_s = self._clock() - order.seen_at_s
        if record is None or not order.predates_node:
            return elapsed_s
        # This node started later than the order came: the record tells how late, at least.
        return max(elapsed_s, record.elapsed_s + self.in_stage_s(record))

    def in_stage_s(self, record: RolloutRecord) -> float:
        """Return the time since this node first saw a record at its stage."""
        entered_s = self._entered_s.setdefault((record.epoch, record.stage), self._clock())
        return self._clock() - entered_s

    def all_moved_for_s(self, record: RolloutRecord, has_moved: bool) -> float:
        """Return for how long all nodes are known to have moved."""
        if not has_moved:
            self._moved_s.pop(record.epoch, None)
            return 0.0
        return self._clock() - self._moved_s.setdefault(record.epoch, self._clock())


class FactsReader:
    """Reads the facts of one rollout.

    Args:
        cluster: Back ends.
        reader: What is known of rollouts.
        sources: What the nodes of the fleet know.
        times: How long rollouts and stages have lasted.
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
        """Begin to count how long a record has been at its stage."""
        self._times.in_stage_s(record)

    def facts(self, order: RolloutOrder, record: RolloutRecord | None) -> RolloutFacts:
        """Return what is known now of an order and its record, None before anybody began it."""
        known = tuple(self._cluster.directory.of_service(order.service))
        old = [one for one in known if one.software != order.target]
        target = [one for one in known if one.software == order.target]
        # Those that leave take no new work, but what runs there must end too.
        old_requests = sum(self._sources.num_requests(one.instance) for one in old)
        verdict, evidence = self._judge(order, record)
        view = self._reader.view(order.service)
        all_moved_for_s, in_stage_s = self._move_times(record, old_requests)
        return RolloutFacts(
            elapsed_s=self._times.elapsed_s(order, record),
            verdict=verdict,
            evidence=evidence,
            target_slots=_working_slots(target),
            old_slots=_working_slots(old),
            old_versions=tuple(sorted({one.software for one in old})),
            all_moved_for_s=all_moved_for_s,
            in_stage_s=in_stage_s,
            rollback_s=self._sources.rollback_s(),
            old_requests=old_requests,
            target_serves=view is not None and view.target_serves,
        )

    def _move_times(self, record: RolloutRecord | None, old_requests: int) -> tuple[float, float]:
        """Return for how long all have moved, and how long the move has lasted; 0 without one."""
        if record is None or record.stage is not Stage.MOVING:
            return 0.0, 0.0
        num_moved = self._sources.num_moved(record.service, record.epoch)
        has_moved = num_moved >= self._sources.num_nodes() and old_requests == 0
        return self._times.all_moved_for_s(record, has_moved), self._times.in_stage_s(record)

    def _judge(self, order: RolloutOrder, record: RolloutRecord | None) -> tuple[Verdict, Evidence]:
        """Judge by the nodes' tallies, or by the record's evidence while that counts more."""
        routes = by_route(self._sources.tallies(), order.service, order.epoch)
        verdict = judge_completion(routes, self._sources.alarm_of(order.epoch))
        evidence = evidence_of(routes)
        if record is None or evidence.target.num >= record.evidence.target.num:
            return verdict, evidence
        if verdict.judgement is Judgement.GOOD:
            verdict = Verdict(Judgement.UNDECIDED, "restarted", evidence.target, evidence.old)
        return verdict, record.evidence


def _working_slots(back_ends: Sequence[BackEnd]) -> int:
    """Return the slots of those that take work."""
    return sum(one.slots for one in back_ends if one.state in ACCEPTING_STATES)
