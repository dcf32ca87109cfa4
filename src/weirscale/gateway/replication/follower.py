"""Follows the platform's state in the store, and pauses while another node sends the changes.

Performs a full read once and then watches for changes. Performs another full read when the store
has dropped the required history.
"""

from collections.abc import Callable
from random import Random

import anyio
from result import Err, Result

from weirscale.gateway.model.store_positions import era_of
from weirscale.gateway.ports.state_feed import StateBatch, StateFeed
from weirscale.gateway.replication.publisher import ChangePublisher
from weirscale.gateway.replication.subscription import StateSubscription
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.store_outages import NEVER_S
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import KeyValueFailure, KeyValueFailureKind

WATCH_TIMEOUT_S = 6.0
"""Seconds for which one watch waits for changes."""

REVISION_CHECK_INTERVAL_S = 1.2
"""Seconds between two checks of the store's revision. An unchanged revision proves that no other
write was acknowledged, while a watch alone may deliver changes late."""

READER_CHECK_INTERVAL_S = 0.4
"""Seconds between two checks at a node that other nodes query, since the proofs of those nodes are
older by the time of the exchange. This causes the 2.5 calls a second in docs/CAPACITY.md."""

MIN_BATCH_PAUSE_S = 0.1
MAX_BATCH_PAUSE_S = 0.4
"""Bounds in seconds of the pause between an answer to a watch and the next watch, so that changes
in quick succession cost one call. Each change ends every watch. A starting fleet, or engines that
load new weights, cause many changes in a row, so the pause doubles while watches are answered at
once. Changes must take effect within 2 s."""

FIRST_WATCH_DELAY_S = 0.3
"""Seconds between a full read and the first watch. In this time a node gets replies from the
readers, so that most nodes of a starting fleet never watch."""

WATCH_LAG_S = 0.4
"""Seconds within which the watch must deliver a revision of the store; a full read follows
otherwise."""

CALL_TIMEOUT_MARGIN_S = 1.5
"""Seconds that a call may take beyond its own wait before it is abandoned."""

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
"""Bounds in seconds of the exponential backoff after failed calls. Jitter by a factor of 0.5 to 1.5
keeps nodes from retrying together."""


class StateFollower:
    """Keeps `ClusterState` up to date; requires `run` to be running.

    Args:
        feed: The platform's state in the store.
        cluster: The state to keep up to date.
        event_log: Logs when the store is lost and regained.
        random: Provides the jitter of retries.
        publisher: Sends changes to other nodes.
        subscription: Keeps this node current while another node reads the store.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        feed: StateFeed,
        cluster: ClusterState,
        event_log: EventLog,
        random: Random,
        publisher: ChangePublisher,
        subscription: StateSubscription,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._feed = feed
        self._cluster = cluster
        self._publisher = publisher
        self._subscription = subscription
        self._event_log = event_log
        self._random = random
        self._num_failures = 0
        self._must_read_all = True
        self._batch_pause_s = MIN_BATCH_PAUSE_S
        self._watch_scope = anyio.CancelScope()
        # A watch that gets no answer must not block a full read.
        subscription.on_full_read_due = lambda: self._watch_scope.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._check_revision_regularly)
            await self._follow_until_cancelled()

    async def _follow_until_cancelled(self) -> None:
        while True:
            if self._is_kept_current():
                await self._subscription.wait_until_not_current()
                continue
            failure = await self._read_or_watch()
            if failure is None:
                self._record_success()
            else:
                await self._record_failure(failure)

    def _is_kept_current(self) -> bool:
        return not self._must_read_all and self._subscription.is_current()

    async def _read_or_watch(self) -> KeyValueFailure | None:
        asked_at_s = self._clock()
        if self._must_read_all or self._subscription.is_full_read_due():
            read = await self._feed.read_all()
            if isinstance(read, Err):
                return read.err_value
            if read.ok_value.revision < self._cluster.revision:
                # A reader has sent newer changes meanwhile; applying this read could revert them.
                return None
            self._cluster.replace_all(read.ok_value, asked_at_s)
            self._must_read_all = False
            self._subscription.record_full_read()
            pause_s = FIRST_WATCH_DELAY_S
        else:
            watched = await self._watch()
            if isinstance(watched, Err):
                return watched.err_value
            self._cluster.apply(watched.ok_value, NEVER_S)
            pause_s = self._next_pause_s(self._clock() - asked_at_s)
        await self._publisher.publish()
        await anyio.sleep(pause_s)
        return None

    def _next_pause_s(self, waited_s: float) -> float:
        """Return the pause after a watch that was answered after `waited_s` seconds."""
        if waited_s > self._batch_pause_s:
            self._batch_pause_s = MIN_BATCH_PAUSE_S
            return MIN_BATCH_PAUSE_S
        pause_s = self._batch_pause_s
        self._batch_pause_s = min(MAX_BATCH_PAUSE_S, 2.0 * pause_s)
        return pause_s

    async def _watch(self) -> Result[StateBatch, KeyValueFailure]:
        with anyio.move_on_after(WATCH_TIMEOUT_S + CALL_TIMEOUT_MARGIN_S) as self._watch_scope:
            return await self._feed.follow(self._cluster.revision, WATCH_TIMEOUT_S)
        return Err(KeyValueFailure(KeyValueFailureKind.AMBIGUOUS, "no answer to the watch"))

    async def _check_revision_regularly(self) -> None:
        while True:
            await sleep_to_tick(self._revision_check_interval_s())
            if self._is_kept_current():
                # When a reader is given up, the last proof is 1.1 s old. After another interval it
                # would be older than the 2 s after which the store counts as silent.
                await self._subscription.wait_until_not_current()
            if self._must_read_all:
                continue
            asked_at_s = self._clock()
            with anyio.move_on_after(CALL_TIMEOUT_MARGIN_S):
                await self._check_revision(asked_at_s)

    def _revision_check_interval_s(self) -> float:
        has_subscribers = self._publisher.has_subscribers()
        return READER_CHECK_INTERVAL_S if has_subscribers else REVISION_CHECK_INTERVAL_S

    async def _check_revision(self, asked_at_s: float) -> None:
        read = await self._feed.current_revision()
        if isinstance(read, Err):
            # The watch may not detect by itself that its connection is dead.
            self._watch_scope.cancel()
            return
        if era_of(self._cluster.revision) < era_of(read.ok_value):
            # A watch delivers no changes of a store that was restored from a backup.
            self._must_read_all = True
            self._watch_scope.cancel()
            return
        if self._cluster.revision < read.ok_value:
            await anyio.sleep(WATCH_LAG_S)
        if self._cluster.revision < read.ok_value:
            self._event_log.event("watch_late", known=self._cluster.revision, current=read.ok_value)
            self._must_read_all = True
            self._watch_scope.cancel()
        else:
            self._cluster.confirm(asked_at_s)
            self._record_success()

    def _record_success(self) -> None:
        if self._num_failures:
            self._event_log.event("store_regained", failures=self._num_failures)
        self._num_failures = 0

    async def _record_failure(self, failure: KeyValueFailure) -> None:
        if failure.kind is KeyValueFailureKind.COMPACTED:
            self._event_log.event("store_history_gone", revision=self._cluster.revision)
            self._must_read_all = True
            return
        self._num_failures += 1
        if self._num_failures == 1:
            self._event_log.event(
                "store_lost", kind=failure.kind.value, detail=failure.detail,
                age_s=self._cluster.age_s(),
            )  # fmt: skip
        pause_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2 ** min(self._num_failures - 1, 8))
        pause_s *= 0.5 + self._random.random()
        await anyio.sleep(max(pause_s, failure.retry_after_s or 0.0))
