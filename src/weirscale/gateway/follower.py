"""Follows the platform's state: reads all once, then waits for changes; reads all again when the
store has forgotten its history."""

from random import Random

import anyio
from result import Err, Result

from weirscale.gateway.knowledge import Knowledge
from weirscale.gateway.ports import StateBatch, StateFeed
from weirscale.node.event_log import EventLog
from weirscale.ports.key_value import KeyValueFailure, KeyValueFailureKind

FOLLOW_WAIT_S = 1.5
"""Length of one wait. Each answer also proves that the knowledge is current, so it is kept well
below the bound within which removed keys must stop serving."""

WATCH_LAG_S = 1.2
"""A watch may tell changes this late: its answer proves what was acknowledged before that."""

ANSWER_SLACK_S = 1.5
"""How much longer than its wait a call may take before it is given up."""

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
"""Pauses after failed calls double between these; random parts keep nodes from one step."""


class StateFollower:
    """Keeps `Knowledge` up to date; `run` must be running.

    Args:
        feed: The platform's state.
        knowledge: What is kept up to date; this task is its only writer.
        event_log: Where losses and returns of the store are told.
        random: Spreads retries.
    """

    def __init__(
        self, feed: StateFeed, knowledge: Knowledge, event_log: EventLog, random: Random
    ) -> None:
        self._feed = feed
        self._knowledge = knowledge
        self._event_log = event_log
        self._random = random
        self._num_failures = 0
        self._must_read_all = True
        self.changed = anyio.Event()
        """Set, and replaced, whenever changes have been taken over."""

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            failure = await self._step()
            if failure is None:
                self._note_success()
            else:
                await self._note_failure(failure)

    async def _step(self) -> KeyValueFailure | None:
        asked_at_s = anyio.current_time()
        if self._must_read_all:
            read = await self._feed.read_all()
            if isinstance(read, Err):
                return read.err_value
            self._knowledge.replace_all(read.ok_value, asked_at_s)
            self._must_read_all = False
        else:
            followed = await self._follow()
            if isinstance(followed, Err):
                return followed.err_value
            heard_at_s = anyio.current_time() - WATCH_LAG_S
            self._knowledge.apply(followed.ok_value, max(asked_at_s, heard_at_s))
        self._tell_change()
        return None

    async def _follow(self) -> Result[StateBatch, KeyValueFailure]:
        with anyio.move_on_after(FOLLOW_WAIT_S + ANSWER_SLACK_S):
            return await self._feed.follow(self._knowledge.revision, FOLLOW_WAIT_S)
        return Err(KeyValueFailure(KeyValueFailureKind.AMBIGUOUS, "no answer to the watch"))

    def _tell_change(self) -> None:
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def _note_success(self) -> None:
        if self._num_failures:
            self._event_log.event("store_regained", failures=self._num_failures)
        self._num_failures = 0

    async def _note_failure(self, failure: KeyValueFailure) -> None:
        if failure.kind is KeyValueFailureKind.COMPACTED:
            self._event_log.event("store_history_gone", revision=self._knowledge.revision)
            self._must_read_all = True
            return
        self._num_failures += 1
        if self._num_failures == 1:
            self._event_log.event(
                "store_lost", kind=failure.kind.value, detail=failure.detail,
                age_s=self._knowledge.age_s(),
            )  # fmt: skip
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(self._num_failures - 1, 8))
        pause_s *= 0.5 + self._random.random()
        await anyio.sleep(max(pause_s, failure.retry_after_s or 0.0))
