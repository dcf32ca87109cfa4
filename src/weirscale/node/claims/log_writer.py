"""Writes the logs of claim groups by group commit: one swap of the head for all pending claims."""

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
"""Attempts at one batch; swaps of other writers and lost answers cause another attempt."""
MAX_RETRY_AFTER_S = 1.0
"""Maximum wait before a retry when the service limits the rate."""


class _PendingAppend:
    """The claims of one `append` call until they are written."""

    def __init__(self, epoch: int, claims: tuple[LoggedClaim, ...]) -> None:
        self.epoch = epoch
        self.claims = claims
        self.is_logged = False
        self.is_done = anyio.Event()


class ClaimLogWriter:
    """Writes logs for this node; caches their heads, since a swap shows when a head is stale.

    Args:
        store: The key-value service.
        rules: The claim rules in force.
    """

    def __init__(self, store: KeyValuePort, rules: Callable[[], ClaimRules]) -> None:
        self._log = ClaimLogStore(store)
        self._rules = rules
        self._tasks: TaskGroup | None = None
        self._heads: dict[int, StoredHead] = {}
        self._pending: dict[int, list[_PendingAppend]] = {}
        self._writing: set[int] = set()
        self._next_write_at_s = float("-inf")
        self._segment_seen_at_s: dict[tuple[int, int], float] = {}

    def use_task_group(self, tasks: TaskGroup | None) -> None:
        """Set the task group that writes batches; None once it is closing."""
        self._tasks = tasks

    async def append(self, group: int, epoch: int, claims: Sequence[LoggedClaim]) -> bool:
        """Write claims to the log with the next batch; return False if they may be missing."""
        if not claims:
            return True
        if self._tasks is None:
            return False
        pending = _PendingAppend(epoch, tuple(claims))
        self._pending.setdefault(group, []).append(pending)
        if group not in self._writing:
            self._writing.add(group)
            self._tasks.start_soon(self._write_batches, group)
        await pending.is_done.wait()
        return pending.is_logged

    async def append_missing(self, group: int, epoch: int, claims: Sequence[LoggedClaim]) -> bool:
        """Write those claims to the log that it lacks; return False if any may be missing."""
        if not claims:
            return True
        log = await self._read(group)
        if log is None:
            return False
        logged = set(log.claims or ())
        missing = [claim for claim in claims if claim not in logged]
        for offset in range(0, len(missing), SEGMENT_CLAIMS):
            if not await self.append(group, epoch, missing[offset : offset + SEGMENT_CLAIMS]):
                return False
        return True

    async def fence(
        self, group: int, epoch: int
    ) -> Result[tuple[LoggedClaim, ...] | None, KeyValueFailure]:
        """Fence the log against lower epochs and return all its claims; None if it is damaged."""
        failure = KeyValueFailure(
            KeyValueFailureKind.AMBIGUOUS, "the claim log could not be fenced; try again"
        )
        for _ in range(WRITE_ATTEMPTS):
            log = await self._read(group)
            if log is None:
                continue
            if log.stored.mod_revision and log.stored.head.epoch == epoch:
                return Ok(log.claims)
            head = advance(log.stored.head, epoch)
            if head is None:
                return Err(failure)  # a change to a higher epoch has fenced the log
            answer = await self._log.swap(group, log.stored, head)
            if isinstance(answer, Err):  # the next read shows whether the swap took effect
                await _wait_retry_after(answer.err_value)
        return Err(failure)

    async def _read(self, group: int) -> StoredLog | None:
        answer = await self._log.read(group)
        if isinstance(answer, Err):
            await _wait_retry_after(answer.err_value)
            return None
        self._heads[group] = answer.ok_value.stored
        return answer.ok_value

    async def _write_batches(self, group: int) -> None:
        """Write batches until no claims of the group are pending."""
        batch: list[_PendingAppend] = []
        try:
            while self._pending.get(group):
                await self._wait_for_write_slot()
                batch = self._pending.pop(group)
                await self._write(group, batch)
                _finish(batch)
        finally:
            self._writing.discard(group)
            _finish([*batch, *self._pending.pop(group, [])])

    async def _wait_for_write_slot(self) -> None:
        now_s = anyio.current_time()
        write_at_s = max(now_s, self._next_write_at_s)
        self._next_write_at_s = write_at_s + self._rules().log_write_interval_s
        await anyio.sleep(write_at_s - now_s)

    async def _write(self, group: int, batch: list[_PendingAppend]) -> None:
        """Write a batch; stop if it is fenced, the service is unreachable, or attempts run out."""
        for _ in range(WRITE_ATTEMPTS):
            previous = self._heads.get(group, EMPTY_HEAD)
            newest_epoch = max(pending.epoch for pending in batch)
            included = [pending for pending in batch if pending.epoch == newest_epoch]
            claims = [claim for pending in included for claim in pending.claims]
            head = append(previous.head, newest_epoch, claims)
            if head is None:
                return
            failure = await self._write_head(group, previous, head, claims)
            if failure is None:
                if set(claims) <= set(self._heads[group].head.claims):
                    for pending in included:
                        pending.is_logged = True
                    return
                continue
            if failure.kind is KeyValueFailureKind.UNREACHABLE:
                return
            await _wait_retry_after(failure)
            if failure.kind is KeyValueFailureKind.AMBIGUOUS:
                await self._read(group)

    async def _write_head(
        self, group: int, previous: StoredHead, head: LogHead, added: Sequence[LoggedClaim]
    ) -> KeyValueFailure | None:
        """Swap the head once; if it would be too large, first copy the old head to a segment."""
        dropped: int | None = None
        if previous.head.claims and len(head.claims) > SEGMENT_CLAIMS:
            written = await self._log.write_segment(group, previous)
            if isinstance(written, Err):
                return written.err_value
            kept, dropped = self._choose_segments(group, previous.head.segments)
            if len(kept) >= MAX_SEGMENTS:
                return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, "the claim log is full")
            head = LogHead(head.epoch, (*kept, previous.mod_revision), tuple(added))
        answer = await self._log.swap(group, previous, head)
        if isinstance(answer, Err):
            return answer.err_value
        self._heads[group] = answer.ok_value.stored
        if answer.ok_value.succeeded and dropped is not None:
            del self._segment_seen_at_s[group, dropped]
            await self._log.delete_segment(group, dropped)
        return None

    def _choose_segments(
        self, group: int, names: tuple[int, ...]
    ) -> tuple[tuple[int, ...], int | None]:
        """Return the segments to keep, and the oldest segment if it can be dropped.

        It can be dropped once this node has known it for longer than claims are kept.
        """
        now_s = anyio.current_time()
        for name in names:
            self._segment_seen_at_s.setdefault((group, name), now_s)
        if not names:
            return names, None
        seen_at_s = self._segment_seen_at_s[group, names[0]]
        if now_s - seen_at_s < self._rules().retention_s + SEGMENT_MARGIN_S:
            return names, None
        return names[1:], names[0]


def _finish(batch: Sequence[_PendingAppend]) -> None:
    for pending in batch:
        pending.is_done.set()


async def _wait_retry_after(failure: KeyValueFailure) -> None:
    await anyio.sleep(min(failure.retry_after_s or 0.0, MAX_RETRY_AFTER_S))
