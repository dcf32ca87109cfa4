"""Calls to all holders of a claim group, and settling of claims with a quorum of them."""

from collections import deque
from typing import Generic, TypeVar

import anyio
import msgspec
from anyio.abc import TaskGroup

from weirscale.domain.claims.model import GroupEpoch, Holder
from weirscale.messages.claims import ClaimAck, ClaimComplete, ClaimWithdraw
from weirscale.node.claims.epochs import EpochDirectory
from weirscale.node.claims.peers import ClaimPeers

ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)

ANY_TIMEOUT_S = 5.0
"""For a call that waits for the key-value service; the caller's own budget ends it sooner."""
SETTLE_TIMEOUT_S = 0.8
"""For one completion or withdrawal."""
SETTLE_ATTEMPTS = 6
"""Tries to settle a claim with a quorum; in all longer than a change of epoch takes."""
SETTLE_RETRY_S = 0.25
"""First wait between two tries; doubles."""


class HolderReplies(Generic[ReplyT]):
    """Replies of a group's holders as they come, for one reader; it may stop early."""

    def __init__(self, num_holders: int) -> None:
        self._num_left = num_holders
        self._arrived: deque[tuple[int, ReplyT | None]] = deque()
        self._has_arrived = anyio.Event()

    def put(self, index: int, reply: ReplyT | None) -> None:
        """Add the reply of a holder, None when it gave none."""
        self._arrived.append((index, reply))
        self._has_arrived.set()

    def __aiter__(self) -> "HolderReplies[ReplyT]":
        return self

    async def __anext__(self) -> tuple[int, ReplyT | None]:
        """The next reply; ends when each holder has had its turn."""
        if self._num_left == 0:
            raise StopAsyncIteration
        self._num_left -= 1
        while not self._arrived:
            self._has_arrived = anyio.Event()
            await self._has_arrived.wait()
        return self._arrived.popleft()


class GroupCalls:
    """Asks the holders of groups; calls and retries outlive the request that began them.

    Args:
        peers: Calls to single holders.
        epochs: The groups' epochs; newer ones in replies are taken.
    """

    def __init__(self, peers: ClaimPeers, epochs: EpochDirectory) -> None:
        self._peers = peers
        self._epochs = epochs
        self._tasks: TaskGroup | None = None

    def run_in(self, tasks: TaskGroup | None) -> None:
        """Give the task group that calls run in; None when there is none any more."""
        self._tasks = tasks

    def ask_all(
        self,
        record: GroupEpoch,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout_s: float,
    ) -> "HolderReplies[ReplyT]":
        """Ask all holders; the calls go on when the reader stops early, so that slow ones hear."""
        replies: HolderReplies[ReplyT] = HolderReplies(len(record.holders))

        async def ask(index: int, holder: Holder) -> None:
            replies.put(index, await self._peers.ask(holder, message, reply_type, timeout_s))

        for index, holder in enumerate(record.holders):
            if self._tasks is None:
                replies.put(index, None)
            else:
                self._tasks.start_soon(ask, index, holder)
        return replies

    async def ask_any(
        self, record: GroupEpoch, first: int, message: msgspec.Struct, next_after_s: float
    ) -> bool:
        """Ask the holders in turn, each when the one before failed or is late, until one did it.

        Args:
            record: The holders.
            first: Number of the holder to begin with, modulo their number.
            message: A call that is answered by `ClaimAck`.
            next_after_s: How long a holder may take before the next is asked as well.
        """
        holders = record.holders
        failed = [anyio.Event() for _ in holders]
        done: list[bool] = []

        async def ask(turn: int) -> None:
            if turn:
                with anyio.move_on_after(turn * next_after_s):
                    await failed[turn - 1].wait()
            holder = holders[(first + turn) % len(holders)]
            ack = await self._peers.ask(holder, message, ClaimAck, ANY_TIMEOUT_S)
            if ack is not None:
                self._epochs.adopt(ack.record)
            if ack is not None and ack.is_done:
                done.append(True)
                tasks.cancel_scope.cancel()
            failed[turn].set()

        async with anyio.create_task_group() as tasks:
            for turn in range(len(holders)):
                tasks.start_soon(ask, turn)
        return bool(done)

    def settle_later(self, group: int, message: ClaimComplete | ClaimWithdraw) -> None:
        """Keep trying in the background; what is never settled stays in progress."""
        if self._tasks is not None:
            self._tasks.start_soon(self._settle, group, message)

    async def _settle(self, group: int, message: ClaimComplete | ClaimWithdraw) -> None:
        wait_s = SETTLE_RETRY_S
        for _ in range(SETTLE_ATTEMPTS):
            if await self.settle_once(group, message):
                return
            await anyio.sleep(wait_s)
            wait_s *= 2

    async def settle_once(self, group: int, message: ClaimComplete | ClaimWithdraw) -> bool:
        """Tell all holders; True when a quorum of the epoch now in force did it."""
        record = self._epochs.record(group)
        if record is None:
            return False
        current = msgspec.structs.replace(message, epoch=record.epoch)
        num_done = 0
        replies = self.ask_all(record, current, ClaimAck, SETTLE_TIMEOUT_S)
        async for _, ack in replies:
            if ack is not None:
                self._epochs.adopt(ack.record)
                num_done += ack.is_done
            if num_done >= record.quorum:
                return True
        return False
