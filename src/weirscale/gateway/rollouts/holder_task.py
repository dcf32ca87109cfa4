"""Moves rollouts from stage to stage while this node holds the lease on that duty.

`plan` decides, based on the facts from `facts`. Each stage is one write of the record
(`record_writer`). The status is derived from the record, so the end of a rollout is in the record
first. The lease is also the one for ordering loads of weights (`gateway.weights.holder_lease`).
"""

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import RolloutOrder
from weirscale.gateway.rollouts.facts import FactsReader
from weirscale.gateway.rollouts.plan import (
    RolloutFacts,
    Step,
    next_record,
    next_step,
    withdrawn_record,
)
from weirscale.gateway.rollouts.record import RolloutRecord
from weirscale.gateway.rollouts.record_writer import RolloutWriter
from weirscale.gateway.rollouts.verdict import verdict_fields
from weirscale.gateway.rollouts.view import RecordReader
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.leases.lease_task import DutyLeaseTask
from weirscale.ports.event_log import EventLog

PLAN_INTERVAL_S = 0.2
"""Seconds between two plans. Gossip of the tallies arrives no more often."""


class RolloutHolderTask:
    """Moves rollouts from stage to stage; requires `run` to be running.

    Args:
        lease: Lease on the duty; checked before each write.
        cluster: Holds orders and back ends.
        reader: Reads the records.
        facts: Reads the facts of a rollout.
        writer: Writes records and statuses.
        event_log: Logs each entered stage.
    """

    def __init__(
        self,
        lease: DutyLeaseTask,
        cluster: ClusterState,
        reader: RecordReader,
        facts: FactsReader,
        writer: RolloutWriter,
        event_log: EventLog,
    ) -> None:
        self._lease = lease
        self._cluster = cluster
        self._reader = reader
        self._facts = facts
        self._writer = writer
        self._event_log = event_log

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            for order in tuple(self._cluster.rollouts.orders.values()):
                await self._advance(order)
            await self._roll_back_withdrawn()
            await sleep_to_tick(PLAN_INTERVAL_S)

    async def _advance(self, order: RolloutOrder) -> None:
        """Advance one rollout, by one write of its record at most."""
        latest = self._reader.record(order.service)
        record = latest if latest is not None and latest.epoch == order.epoch else None
        if record is not None:
            # Also done without the lease, so that a new holder has the duration of the stage.
            self._facts.note_stage(record)
        if not self._may_write(order.service) or (latest and latest.epoch > order.epoch):
            return
        if record is None and self._has_end_status(order):
            return
        facts = self._facts.facts(order, record)
        step = next_step(order, record, facts)
        if step is not None:
            await self._enter_stage(order, latest, step, facts)
        elif record is not None:
            await self._writer.write_status(record)

    def _has_end_status(self, order: RolloutOrder) -> bool:
        """Return whether the status shows that an order without a record has ended."""
        view = self._reader.view(order.service)
        return view is not None and not view.is_open()

    def _may_write(self, service: ServiceName) -> bool:
        return self._writer.has_settled(service) and self._lease.token() is not None

    async def _enter_stage(
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
        is_written = await self._writer.write_record(record)
        self._event_log.event(
            "rollout_stage", service=order.service, target=order.target, epoch=order.epoch,
            stage=step.stage.value, reason=step.reason, written=is_written, token=token,
            elapsed_s=facts.elapsed_s, deadline_s=order.deadline_s,
            old_requests=facts.old_requests, **verdict_fields(facts.verdict),
        )  # fmt: skip
        if is_written:
            await self._writer.write_status(record)

    async def _roll_back_withdrawn(self) -> None:
        """Roll back the rollouts whose order was withdrawn."""
        orders = self._cluster.rollouts.orders
        for service in {back_end.service for back_end in self._cluster.directory.all()}:
            record = self._reader.record(service)
            if record is None or service in orders or not self._may_write(service):
                continue
            token = self._lease.token()
            if record.has_ended():
                await self._writer.write_status(record)
            elif token is not None:
                await self._writer.write_record(withdrawn_record(record, token))
