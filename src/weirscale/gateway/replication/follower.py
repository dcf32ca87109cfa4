"""Follows the platform's state in the store, and rests while another node sends the changes.

Reads everything once, then waits for changes; reads everything again when the store has dropped the
history that it needs.
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

FOLLOW_WAIT_S = 6.0
"""Seconds of one wait for changes. Not measured."""

PROOF_INTERVAL_S = 1.2
"""Seconds between two readings of the store's revision. A revision that is known already proves
that nothing else was acknowledged; a watch alone may bring changes late. Not measured."""

READER_PROOF_INTERVAL_S = 0.4
"""Seconds between two readings at a node that others ask: their proofs are older by the way to
them. It makes the 2.5 calls a second of docs/CAPACITY.md."""

MIN_GATHER_S = 0.1
MAX_GATHER_S = 0.4
"""Bounds in seconds of the pause between an answer to the watch and the next watch, so that
changes which come together cost one call. Each change ends every watch. A fleet that starts, or
engines that load new weights, make many in a row, so the pause doubles while answers come at once.
Changes must be in force within 2 s. The bounds were not measured by themselves."""

READ_PAUSE_S = 0.3
"""Seconds between a reading of everything and the first watch: meanwhile a node gets replies from
the readers, so that most nodes of a starting fleet never watch. Not measured."""

LATE_CHANGE_S = 0.4
"""Seconds that the watch has to bring a revision which the store has; then everything is read anew.
Not measured."""

ANSWER_SLACK_S = 1.5
"""Seconds that a call may take beyond its wait before it is given up. Not measured."""

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
"""Seconds; pauses after failed calls double between these, with a random factor of 0.5 to 1.5 so
that nodes don't retry together. Not measured."""


class StateFollower:
    """Keeps `ClusterState` up to date; `run` must be running.

    Args:
        feed: The platform's state.
        cluster: What is kept up to date.
        event_log: Where losses and returns of the store are logged.
        random: Spreads retries.
        publisher: Sends changes to other nodes.
        subscription: Keeps this node current while another one reads the store.
        clock: Monotonic seconds.
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
        self._gather_s = MIN_GATHER_S
        self._watch_scope = anyio.CancelScope()
        # A watch without answers must not keep this node from reading.
        subscription.on_full_read_due = lambda: self._watch_scope.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._prove_regularly)
            await self._follow_on()

    async def _follow_on(self) -> None:
        while True:
            if self._is_resting():
                await self._subscription.wait_until_not_current()
                continue
            failure = await self._step()
            if failure is None:
                self._note_success()
            else:
                await self._note_failure(failure)

    def _is_resting(self) -> bool:
        return not self._must_read_all and self._subscription.is_current()

    async def _step(self) -> KeyValueFailure | None:
        asked_at_s = self._clock()
        if self._must_read_all or self._subscription.is_full_read_due():
            read = await self._feed.read_all()
            if isinstance(read, Err):
                return read.err_value
            if read.ok_value.revision < self._cluster.revision:
                # A reader sent newer changes meanwhile; what this reading lacks may be among them.
                return None
            self._cluster.replace_all(read.ok_value, asked_at_s)
            self._must_read_all = False
            self._subscription.record_full_read()
            pause_s = READ_PAUSE_S
        else:
            followed = await self._follow()
            if isinstance(followed, Err):
                return followed.err_value
            self._cluster.apply(followed.ok_value, NEVER_S)
            pause_s = self._next_pause_s(self._clock() - asked_at_s)
        await self._publisher.publish()
        await anyio.sleep(pause_s)
        return None

    def _next_pause_s(self, waited_s: float) -> float:
        """Return the pause after an answer to the watch that was waited for."""
        if waited_s > self._gather_s:
            self._gather_s = MIN_GATHER_S
            return MIN_GATHER_S
        pause_s = self._gather_s
        self._gather_s = min(MAX_GATHER_S, 2.0 * pause_s)
        return pause_s

    async def _follow(self) -> Result[StateBatch, KeyValueFailure]:
        with anyio.move_on_after(FOLLOW_WAIT_S + ANSWER_SLACK_S) as self._watch_scope:
            return await self._feed.follow(self._cluster.revision, FOLLOW_WAIT_S)
        return Err(KeyValueFailure(KeyValueFailureKind.AMBIGUOUS, "no answer to the watch"))

    async def _prove_regularly(self) -> None:
        while True:
            await sleep_to_tick(self._proof_interval_s())
            if self._is_resting():
                # An interval later the last proof would be older than the 2 s after which the store
                # passes for silent: it is 1.1 s old when a reader is given up.
                await self._subscription.wait_until_not_current()
            if self._must_read_all:
                continue
            asked_at_s = self._clock()
            with anyio.move_on_after(ANSWER_SLACK_S):
                await self._prove(asked_at_s)

    def _proof_interval_s(self) -> float:
        has_subscribers = self._publisher.has_subscribers()
        return READER_PROOF_INTERVAL_S if has_subscribers else PROOF_INTERVAL_S

    async def _prove(self, asked_at_s: float) -> None:
        read = await self._feed.current_revision()
        if isinstance(read, Err):
            # The watch may not notice by itself that its connection is dead.
            self._watch_scope.cancel()
            return
        if era_of(self._cluster.revision) < era_of(read.ok_value):
            # The watch can bring nothing of a store that came back from a copy.
            self._must_read_all = True
            self._watch_scope.cancel()
            return
        if self._cluster.revision < read.ok_value:
            await anyio.sleep(LATE_CHANGE_S)
        if self._cluster.revision < read.ok_value:
            self._event_log.event("watch_late", known=self._cluster.revision, current=read.ok_value)
            self._must_read_all = True
            self._watch_scope.cancel()
        else:
            self._cluster.confirm(asked_at_s)
            self._note_success()

    def _note_success(self) -> None:
        if self._num_failures:
            self._event_log.event("store_regained", failures=self._num_failures)
        self._num_failures = 0

    async def _note_failure(self, failure: KeyValueFailure) -> None:
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
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(self._num_failures - 1, 8))
        pause_s *= 0.5 + self._random.random()
        await anyio.sleep(max(pause_s, failure.retry_after_s or 0.0))
