"""Calls to the holders of a claim group; completes and withdraws claims at a quorum of them."""

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

ANY_HOLDER_TIMEOUT_S = 5.0
"""Timeout of a call that waits for the key-value service; the claim's budget ends it sooner."""
SETTLE_TIMEOUT_S = 0.8
"""Timeout of one completion or withdrawal."""
SETTLE_ATTEMPTS = 6
"""Attempts to settle a claim at a quorum; together they outlast a change of epoch."""
SETTLE_RETRY_S = 0.25
"""Initial retry backoff; doubles with each attempt."""


class HolderReplies(Generic[ReplyT]):
    """Iterates over the replies of a group's holders in order of arrival.

    For a single reader, which may stop before all holders have replied.
    """

    def __init__(self, num_holders: int) -> None:
        self._num_pending = num_holders
        self._arrived: deque[tuple[int, ReplyT | None]] = deque()
        self._has_arrived = anyio.Event()

    def put(self, index: int, reply: ReplyT | None) -> None:
        """Add a holder's reply, or None if its call failed."""
        self._arrived.append((index, reply))
        self._has_arrived.set()

    def __aiter__(self) -> "HolderReplies[ReplyT]":
        return self

    async def __anext__(self) -> tuple[int, ReplyT | None]:
        """Return the next holder's index and reply; stop after one entry for each holder."""
        if self._num_pending == 0:
            raise StopAsyncIteration
        self._num_pending -= 1
        while not self._arrived:
            self._has_arrived = anyio.Event()
            await self._has_arrived.wait()
        return self._arrived.popleft()


class GroupCalls:
    """Calls the holders of groups; calls and retries outlive the request that started them.

    Args:
        peers: Calls single holders.
        epochs: The groups' epochs; newer epochs found in replies are adopted.
    """

    def __init__(self, peers: ClaimPeers, epochs: EpochDirectory) -> None:
        self._peers = peers
        self._epochs = epochs
        self._tasks: TaskGroup | None = None

    def use_task_group(self, tasks: TaskGroup | None) -> None:
        """Set the task group that runs the calls; None once it is closing."""
        self._tasks = tasks

    def ask_all(
        self,
        record: GroupEpoch,
        message: msgspec.Struct,
        reply_type: type[ReplyT],
        timeout_s: float,
    ) -> "HolderReplies[ReplyT]":
        """Call all holders; calls continue if the reader stops early, to reach slow holders too."""
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
        self, record: GroupEpoch, first_index: int, message: msgspec.Struct, next_after_s: float
    ) -> bool:
        """Call the holders in turn until one acknowledges; return whether one did.

        The next holder is called once the one before has failed, or has not answered in time.

        Args:
            record: The epoch whose holders are called.
            first_index: Index of the first holder to call, modulo the number of holders.
            message: A call that is answered by `ClaimAck`.
            next_after_s: Time until the next holder is called as well.
        """
        holders = record.holders
        failures = [anyio.Event() for _ in holders]
        successes: list[bool] = []

        async def ask(turn: int) -> None:
            if turn:
                with anyio.move_on_after(turn * next_after_s):
                    await failures[turn - 1].wait()
            holder = holders[(first_index + turn) % len(holders)]
            ack = await self._peers.ask(holder, message, ClaimAck, ANY_HOLDER_TIMEOUT_S)
            if ack is not None:
                self._epochs.adopt(ack.record)
            if ack is not None and ack.is_done:
                successes.append(True)
                tasks.cancel_scope.cancel()
            failures[turn].set()

        async with anyio.create_task_group() as tasks:
            for turn in range(len(holders)):
                tasks.start_soon(ask, turn)
        return bool(successes)

    def settle_later(self, group: int, message: ClaimComplete | ClaimWithdraw) -> None:
        """Retry in the background; if all attempts fail, the claim stays in progress."""
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
        """Send a completion or withdrawal to all holders of the newest known epoch.

        Returns:
            Whether a quorum of them carried it out.
        """
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
