"""Writes the logs of claim groups by group commit: what waits goes into one swap of the head."""

from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from weirscale.domain.claims.log import (
    MAX_SEGMENTS,
    SEGMENT_CLAIMS,
    SEGMENT_MARGIN_S,
    LoggedClaim,
    LogHead,
    advance,
    append,
)
from weirscale.domain.configuration.model import ClaimRules
from weirscale.node.claims.log_store import EMPTY_HEAD, ClaimLogStore, StoredHead, StoredLog
from weirscale.ports.key_value import KeyValueFailure, KeyValueFailureKind, KeyValuePort

WRITE_ATTEMPTS = 6
"""Tries of one batch: other writers' swaps and lost answers are met with another try."""
MAX_RETRY_AFTER_S = 1.0
"""A batch waits so long at most when the service limits the rate, and then fails."""


class _Waiting:
    """Claims of one call on their way into the log."""

    def __init__(self, epoch: int, claims: tuple[LoggedClaim, ...]) -> None:
        self.epoch = epoch
        self.claims = claims
        self.is_logged = False
        self.is_done = anyio.Event()


class ClaimLogWriter:
    """This node's writer of logs; heads are remembered, and swaps tell when that is stale.

    Args:
        store: The key-value service.
        rules: The claim rules in force.
    """

    def __init__(self, store: KeyValuePort, rules: Callable[[], ClaimRules]) -> None:
        self._log = ClaimLogStore(store)
        self._rules = rules
        self._tasks: TaskGroup | None = None
        self._heads: dict[int, StoredHead] = {}
        self._waiting: dict[int, list[_Waiting]] = {}
        self._writing: set[int] = set()
        self._next_write_at_s = float("-inf")
        self._segment_seen_at_s: dict[tuple[int, int], float] = {}

    def run_in(self, tasks: TaskGroup | None) -> None:
        """Give the task group that batches are written in; None when there is none any more."""
        self._tasks = tasks

    async def append(self, group: int, epoch: int, claims: Sequence[LoggedClaim]) -> bool:
        """Put claims into the log with the next batch; False when they may not be there."""
        if not claims:
            return True
        if self._tasks is None:
            return False
        waiting = _Waiting(epoch, tuple(claims))
        self._waiting.setdefault(group, []).append(waiting)
        if group not in self._writing:
            self._writing.add(group)
            self._tasks.start_soon(self._write_batches, group)
        await waiting.is_done.wait()
        return waiting.is_logged

    async def append_missing(self, group: int, epoch: int, claims: Sequence[LoggedClaim]) -> bool:
        """Put those of the claims into the log that it lacks."""
        if not claims:
            return True
        log = await self._read(group)
        if log is None:
            return False
        known = set(log.claims or ())
        missing = [claim for claim in claims if claim not in known]
        for offset in range(0, len(missing), SEGMENT_CLAIMS):
            if not await self.append(group, epoch, missing[offset : offset + SEGMENT_CLAIMS]):
                return False
        return True

    async def fence(
        self, group: int, epoch: int
    ) -> Result[tuple[LoggedClaim, ...] | None, KeyValueFailure]:
        """End the log for lower epochs, then return all its claims; None where it is damaged."""
        failure = KeyValueFailure(
            KeyValueFailureKind.AMBIGUOUS, "the log was not fenced: try again"
        )
        for _ in range(WRITE_ATTEMPTS):
            log = await self._read(group)
            if log is None:
                continue
            if log.stored.mod_revision and log.stored.head.epoch == epoch:
                return Ok(log.claims)
            head = advance(log.stored.head, epoch)
            if head is None:
                return Err(failure)  # another change has gone further
            answer = await self._log.swap(group, log.stored, head)
            if isinstance(answer, Err):  # the next read tells what became of it
                await _wait_after(answer.err_value)
        return Err(failure)

    async def _read(self, group: int) -> StoredLog | None:
        answer = await self._log.read(group)
        if isinstance(answer, Err):
            await _wait_after(answer.err_value)
            return None
        self._heads[group] = answer.ok_value.stored
        return answer.ok_value

    async def _write_batches(self, group: int) -> None:
        """Write until nothing waits."""
        batch: list[_Waiting] = []
        try:
            while self._waiting.get(group):
                await self._wait_turn()
                batch = self._waiting.pop(group)
                await self._write(group, batch)
                _answer(batch)
        finally:
            self._writing.discard(group)
            _answer([*batch, *self._waiting.pop(group, [])])

    async def _wait_turn(self) -> None:
        now_s = anyio.current_time()
        turn_at_s = max(now_s, self._next_write_at_s)
        self._next_write_at_s = turn_at_s + self._rules().log_write_interval_s
        await anyio.sleep(turn_at_s - now_s)

    async def _write(self, group: int, batch: list[_Waiting]) -> None:
        """Try until the batch is in the log, is fenced off, or the service does not answer."""
        for _ in range(WRITE_ATTEMPTS):
            before = self._heads.get(group, EMPTY_HEAD)
            newest = max(waiting.epoch for waiting in batch)
            taken = [waiting for waiting in batch if waiting.epoch == newest]
            claims = [claim for waiting in taken for claim in waiting.claims]
            head = append(before.head, newest, claims)
            if head is None:
                return
            failure = await self._write_head(group, before, head, claims)
            if failure is None:
                if set(claims) <= set(self._heads[group].head.claims):
                    for waiting in taken:
                        waiting.is_logged = True
                    return
                continue
            if failure.kind is KeyValueFailureKind.UNREACHABLE:
                return
            await _wait_after(failure)
            if failure.kind is KeyValueFailureKind.AMBIGUOUS:
                await self._read(group)

    async def _write_head(
        self, group: int, before: StoredHead, head: LogHead, added: Sequence[LoggedClaim]
    ) -> KeyValueFailure | None:
        """Swap the head once, after its claims went into a segment where they are many."""
        dropped: int | None = None
        if before.head.claims and len(head.claims) > SEGMENT_CLAIMS:
            written = await self._log.write_segment(group, before)
            if isinstance(written, Err):
                return written.err_value
            kept, dropped = self._kept_segments(group, before.head.segments)
            if len(kept) >= MAX_SEGMENTS:
                return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, "the claim log is full")
            head = LogHead(head.epoch, (*kept, before.mod_revision), tuple(added))
        answer = await self._log.swap(group, before, head)
        if isinstance(answer, Err):
            return answer.err_value
        self._heads[group] = answer.ok_value.stored
        if answer.ok_value.succeeded and dropped is not None:
            del self._segment_seen_at_s[group, dropped]
            await self._log.delete_segment(group, dropped)
        return None

    def _kept_segments(
        self, group: int, names: tuple[int, ...]
    ) -> tuple[tuple[int, ...], int | None]:
        """The segments without the oldest, where this node has seen that one for long enough."""
        now_s = anyio.current_time()
        for name in names:
            self._segment_seen_at_s.setdefault((group, name), now_s)
        if not names:
            return names, None
        seen_at_s = self._segment_seen_at_s[group, names[0]]
        if now_s - seen_at_s < self._rules().retention_s + SEGMENT_MARGIN_S:
            return names, None
        return names[1:], names[0]


def _answer(batch: Sequence[_Waiting]) -> None:
    for waiting in batch:
        waiting.is_done.set()


async def _wait_after(failure: KeyValueFailure) -> None:
    await anyio.sleep(min(failure.retry_after_s or 0.0, MAX_RETRY_AFTER_S))
