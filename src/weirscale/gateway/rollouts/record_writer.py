"""Writes rollouts' records, and the statuses that operators read, by compare-and-swap.

A write goes over the revision that this node has seen. A holder that wakes late, or whose call is
carried out late, therefore changes nothing that another one has decided.
"""

from collections.abc import Callable

import anyio
from result import Err

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import RolloutStatus
from weirscale.gateway.ports.state_feed import StateFeed
from weirscale.gateway.rollouts.plan import status_of
from weirscale.gateway.rollouts.record import RolloutRecord, encode_record, record_key
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValuePort

CALL_TIMEOUT_S = 0.8
"""Seconds after which a write counts as not done. A slow store takes some 0.4 s to answer."""

AFTER_CALL_S = 0.6
"""Seconds without a further write to a service's rollout, in which the feed shows what became of
the last one. Not measured."""


class RolloutWriter:
    """Writes the records and statuses of all services.

    Args:
        cluster: Records, statuses and their revisions.
        store: Takes the records.
        feed: Takes the statuses.
        event_log: Logs each status that is written.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        cluster: ClusterState,
        store: KeyValuePort,
        feed: StateFeed,
        event_log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._feed = feed
        self._event_log = event_log
        self._clock = clock
        self._not_before_s: dict[ServiceName, float] = {}

    def is_free(self, service: ServiceName) -> bool:
        """Whether the outcome of a service's last write has had time to show."""
        return self._clock() >= self._not_before_s.get(service, 0.0)

    async def write_record(self, record: RolloutRecord) -> bool:
        """Write a record over the one that is known; False if that is not known to be done."""
        self._wait_after(record.service)
        key = record_key(record.service)
        revision = self._cluster.revision_of(key) if key in self._cluster.records else 0
        with anyio.move_on_after(CALL_TIMEOUT_S):
            swapped = await self._store.compare_and_swap(key, revision, encode_record(record))
            return not isinstance(swapped, Err) and swapped.ok_value.succeeded
        return False

    async def write_status(self, record: RolloutRecord) -> None:
        """Write the status that a record stands for, unless operators read it already."""
        status = RolloutStatus(record.service, record.target, status_of(record))
        seen = self._cluster.rollouts.status_of(record.service)
        if seen is not None and seen.status == status and seen.revision > record.epoch:
            return
        self._wait_after(record.service)
        revision = 0 if seen is None else seen.revision
        is_written = False
        with anyio.move_on_after(CALL_TIMEOUT_S):
            written = await self._feed.write_rollout_status(status, revision)
            is_written = not isinstance(written, Err) and written.ok_value.succeeded
        self._event_log.event(
            "rollout_status", service=record.service, target=record.target, epoch=record.epoch,
            state=status.state.value, written=is_written,
        )  # fmt: skip

    def _wait_after(self, service: ServiceName) -> None:
        self._not_before_s[service] = self._clock() + AFTER_CALL_S
