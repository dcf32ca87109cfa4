"""Writes the records of rollouts, and the statuses that operators read, by compare-and-swap.

A write replaces the revision that this node has seen. A lease holder that resumes late, or whose
call is executed late, therefore cannot overwrite the decision of another holder.
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
"""Seconds after which a write counts as failed. A slow store takes about 0.4 s to answer."""

WRITE_SETTLE_S = 0.6
"""Seconds after a write in which the same rollout is not written again, so that the feed can show
the outcome first."""


class RolloutWriter:
    """Writes the records and statuses of all services.

    Args:
        cluster: Holds records, statuses and their revisions.
        store: Stores the records.
        feed: Stores the statuses.
        event_log: Logs each written status.
        clock: Returns monotonic seconds.
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
        self._next_write_at_s: dict[ServiceName, float] = {}

    def has_settled(self, service: ServiceName) -> bool:
        """Return whether the feed has had time to show the outcome of a service's last write."""
        return self._clock() >= self._next_write_at_s.get(service, 0.0)

    async def write_record(self, record: RolloutRecord) -> bool:
        """Write a record over the known revision; return False unless known to have succeeded."""
        self._defer_next_write(record.service)
        key = record_key(record.service)
        revision = self._cluster.revision_of(key) if key in self._cluster.records else 0
        with anyio.move_on_after(CALL_TIMEOUT_S):
            swapped = await self._store.compare_and_swap(key, revision, encode_record(record))
            return not isinstance(swapped, Err) and swapped.ok_value.succeeded
        return False

    async def write_status(self, record: RolloutRecord) -> None:
        """Write the status that follows from a record, unless it is already in the store."""
        status = RolloutStatus(record.service, record.target, status_of(record))
        stored = self._cluster.rollouts.status_of(record.service)
        if stored is not None and stored.status == status and stored.revision > record.epoch:
            return
        self._defer_next_write(record.service)
        revision = 0 if stored is None else stored.revision
        is_written = False
        with anyio.move_on_after(CALL_TIMEOUT_S):
            written = await self._feed.write_rollout_status(status, revision)
            is_written = not isinstance(written, Err) and written.ok_value.succeeded
        self._event_log.event(
            "rollout_status", service=record.service, target=record.target, epoch=record.epoch,
            state=status.state.value, written=is_written,
        )  # fmt: skip

    def _defer_next_write(self, service: ServiceName) -> None:
        self._next_write_at_s[service] = self._clock() + WRITE_SETTLE_S
