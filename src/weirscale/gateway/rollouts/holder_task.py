"""Carries rollouts from stage to stage, while this node holds the lease on that duty.

Each stage is one compare-and-swap on the record's last revision, so a holder that wakes late, or
whose call is carried out late, changes nothing that another one has decided. What operators read is
written from the record; an end in the record goes before it.
"""

from collections.abc import Callable

import anyio
from result import Err

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.back_ends import TAKES_WORK, BackEnd
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.rollout_order import Epoch, RolloutOrder, RolloutStatus
from weirscale.gateway.ports.state_feed import StateFeed
from weirscale.gateway.rollouts.canary_traffic import verdict_fields
from weirscale.gateway.rollouts.plan import RolloutFacts, Step, next_record, next_step, status_of
from weirscale.gateway.rollouts.record import RolloutRecord, Stage, encode_record, record_key
from weirscale.gateway.rollouts.tallies import (
    Evidence,
    RouteEvidence,
    Tallies,
    by_route,
    evidence_of,
)
from weirscale.gateway.rollouts.verdict import Judgement, Verdict, judge_end
from weirscale.gateway.rollouts.view import RecordReader
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

PLAN_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.8
"""A slow store takes some 0.4 s to answer."""

AFTER_CALL_S = 0.6
"""Pause after a write of a service's rollout, until the feed has told what became of it."""


class RolloutClock:
    """How long rollouts and their stages have lasted, as far as this node knows."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entered_s: dict[tuple[Epoch, Stage], float] = {}
        self._moved_s: dict[Epoch, float] = {}

    def elapsed_s(self, order: RolloutOrder, record: RolloutRecord | None) -> float:
        """Return the time since an order, or since the last proof before it."""
        elapsed_s = self._clock() - order.seen_at_s
        if record is None or not order.was_there:
            return elapsed_s
        # This node started later than the order came: the record tells how late, at least.
        return max(elapsed_s, record.elapsed_s + self.in_stage_s(record))

    def in_stage_s(self, record: RolloutRecord) -> float:
        """Return the time since this node first saw a record at its stage."""
        entered_s = self._entered_s.setdefault((record.epoch, record.stage), self._clock())
        return self._clock() - entered_s

    def has_moved_s(self, record: RolloutRecord, has_moved: bool) -> float:
        """Return for how long all nodes are known to have moved."""
        if not has_moved:
            self._moved_s.pop(record.epoch, None)
            return 0.0
        return self._clock() - self._moved_s.setdefault(record.epoch, self._clock())


class RolloutHolderTask:
    """Gives rollouts their stages; `run` must be running.

    Args:
        lease: Lease on the duty; asked before each write.
        knowledge: Orders, statuses, back ends.
        reader: Records.
        store: Takes the records.
        feed: Takes the statuses.
        fleet_sums: Returns what all nodes have seen, as far as it was told.
        alarm_of: Returns this node's alarm about an epoch, if there is one.
        num_moved: Returns how many nodes have moved for a service and an epoch.
        num_nodes: Returns how many nodes are registered.
        num_requests: Returns the requests of all nodes at a back end.
        return_s: Returns the time allowed for a return.
        event_log: Where stages are told.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        lease: DutyLeaseTask,
        cluster: ClusterState,
        reader: RecordReader,
        store: KeyValuePort,
        feed: StateFeed,
        fleet_sums: Callable[[], Tallies],
        alarm_of: Callable[[Epoch], Verdict | None],
        num_moved: Callable[[ServiceName, Epoch], int],
        num_nodes: Callable[[], int],
        num_requests: Callable[[InstanceId], int],
        return_s: Callable[[], float],
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._lease = lease
        self._cluster = cluster
        self._reader = reader
        self._store = store
        self._feed = feed
        self._fleet_sums = fleet_sums
        self._alarm_of = alarm_of
        self._num_moved = num_moved
        self._num_nodes = num_nodes
        self._num_requests = num_requests
        self._return_s = return_s
        self._event_log = event_log
        self._clock = clock
        self._times = RolloutClock(clock)
        self._not_before_s: dict[ServiceName, float] = {}

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            for order in tuple(self._cluster.rollouts.orders.values()):
                await self._advance(order)
            await self._close_withdrawn()
            await sleep_to_tick(PLAN_INTERVAL_S)

    async def _advance(self, order: RolloutOrder) -> None:
        """Bring one rollout further, by one write at most."""
        latest = self._reader.record(order.service)
        record = latest if latest is not None and latest.epoch == order.epoch else None
        if record is not None:
            # Also without the lease: a new holder knows how long the stage has lasted.
            self._times.in_stage_s(record)
        if not self._may_write(order.service) or (latest and latest.epoch > order.epoch):
            return
        if record is None and self._is_told_ended(order):
            return
        facts = self._facts(order, record)
        step = next_step(order, record, facts)
        if step is not None:
            await self._enter(order, latest, step, facts)
        elif record is not None:
            await self._tell_operators(record)

    def _is_told_ended(self, order: RolloutOrder) -> bool:
        """Whether operators have been told an end of an order whose record is gone."""
        view = self._reader.view(order.service)
        return view is not None and not view.is_open()

    def _may_write(self, service: ServiceName) -> bool:
        is_time = self._clock() >= self._not_before_s.get(service, 0.0)
        return is_time and self._lease.token() is not None

    def _facts(self, order: RolloutOrder, record: RolloutRecord | None) -> RolloutFacts:
        known = tuple(self._cluster.directory.of_service(order.service))
        old = [one for one in known if one.software != order.target]
        target = [one for one in known if one.software == order.target]
        # Those that leave take no new work, but what runs there must end too.
        old_requests = sum(self._num_requests(one.instance) for one in old)
        routes = by_route(self._fleet_sums(), order.service, order.epoch)
        verdict, evidence = self._judge(order, record, routes)
        view = self._reader.view(order.service)
        has_moved_s, in_stage_s = 0.0, 0.0
        if record is not None and record.stage is Stage.MOVING:
            num_moved = self._num_moved(order.service, order.epoch)
            has_moved = num_moved >= self._num_nodes() and old_requests == 0
            has_moved_s = self._times.has_moved_s(record, has_moved)
            in_stage_s = self._times.in_stage_s(record)
        return RolloutFacts(
            elapsed_s=self._times.elapsed_s(order, record),
            verdict=verdict,
            evidence=evidence,
            target_slots=_working_slots(target),
            old_slots=_working_slots(old),
            old_versions=tuple(sorted({one.software for one in old})),
            has_moved_s=has_moved_s,
            in_stage_s=in_stage_s,
            return_s=self._return_s(),
            old_requests=old_requests,
            target_serves=view is not None and view.target_serves,
        )

    def _judge(
        self,
        order: RolloutOrder,
        record: RolloutRecord | None,
        routes: dict[str, RouteEvidence],
    ) -> tuple[Verdict, Evidence]:
        """Judge by what nodes tell now, or by the record while that knows more."""
        verdict = judge_end(routes, self._alarm_of(order.epoch))
        evidence = evidence_of(routes)
        if record is None or evidence.target.num >= record.evidence.target.num:
            return verdict, evidence
        if verdict.judgement is Judgement.GOOD:
            verdict = Verdict(Judgement.UNDECIDED, "restarted", evidence.target, evidence.old)
        return verdict, record.evidence

    async def _enter(
        self,
        order: RolloutOrder,
        latest: RolloutRecord | None,
        step: Step,
        facts: RolloutFacts,
    ) -> None:
        token = self._lease.token()
        if token is None:
            return
        record = next_record(order, latest, step, facts, token)
        is_written = await self._write(record)
        self._event_log.event(
            "rollout_stage", service=order.service, target=order.target, epoch=order.epoch,
            stage=step.stage.value, reason=step.reason, written=is_written, token=token,
            elapsed_s=facts.elapsed_s, deadline_s=order.deadline_s,
            old_requests=facts.old_requests, **verdict_fields(facts.verdict),
        )  # fmt: skip
        if is_written:
            await self._tell_operators(record)

    async def _write(self, record: RolloutRecord) -> bool:
        """Write a record over the one that is known; False if that is not known to be done."""
        self._not_before_s[record.service] = self._clock() + AFTER_CALL_S
        key = record_key(record.service)
        revision = self._cluster.revision_of(key) if key in self._cluster.records else 0
        with anyio.move_on_after(CALL_TIMEOUT_S):
            swapped = await self._store.compare_and_swap(key, revision, encode_record(record))
            return not isinstance(swapped, Err) and swapped.ok_value.succeeded
        return False

    async def _tell_operators(self, record: RolloutRecord) -> None:
        """Write the status, unless it says what the record says."""
        status = RolloutStatus(record.service, record.target, status_of(record))
        seen = self._cluster.rollouts.status_of(record.service)
        if seen is not None and seen.status == status and seen.revision > record.epoch:
            return
        self._not_before_s[record.service] = self._clock() + AFTER_CALL_S
        revision = 0 if seen is None else seen.revision
        is_written = False
        with anyio.move_on_after(CALL_TIMEOUT_S):
            written = await self._feed.write_rollout_status(status, revision)
            is_written = not isinstance(written, Err) and written.ok_value.succeeded
        self._event_log.event(
            "rollout_status", service=record.service, target=record.target, epoch=record.epoch,
            state=status.state.value, written=is_written,
        )  # fmt: skip

    async def _close_withdrawn(self) -> None:
        """Return the rollouts whose order was withdrawn."""
        orders = self._cluster.rollouts.orders
        for service in {one.service for one in self._cluster.directory.all()}:
            record = self._reader.record(service)
            if record is None or service in orders or not self._may_write(service):
                continue
            token = self._lease.token()
            if record.has_ended():
                await self._tell_operators(record)
            elif token is not None:
                await self._write(_withdrawn(record, token))


def _withdrawn(record: RolloutRecord, token: int) -> RolloutRecord:
    unusable = (*record.unusable, record.target)
    return RolloutRecord(
        record.service, record.epoch, record.target, Stage.RETURNED, record.elapsed_s, token,
        unusable, record.evidence, "withdrawn", record.predecessors,
    )  # fmt: skip


def _working_slots(back_ends: list[BackEnd]) -> int:
    """Return the slots of those that take work."""
    return sum(one.slots for one in back_ends if one.state in TAKES_WORK)
