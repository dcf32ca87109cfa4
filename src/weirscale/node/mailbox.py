"""Mailboxes of tasks: bounded queues of typed messages, with replies where the sender waits."""

from typing import Generic, TypeVar

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")

DEFAULT_MAILBOX_SIZE = 4096
"""Messages that wait at most; far above a healthy task's backlog, far below memory limits."""


class Reply(Generic[ReplyT]):
    """Where the receiver of a message puts its answer, once."""

    __slots__ = ("_event", "_value")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._value: ReplyT | None = None

    def set(self, value: ReplyT) -> None:
        """Answer; the waiting sender goes on."""
        self._value = value
        self._event.set()

    def value(self) -> ReplyT | None:
        """Return the answer if there is one yet."""
        return self._value

    async def wait(self) -> ReplyT:
        """Wait for the answer."""
        await self._event.wait()
        return self._value  # type: ignore[return-value]


class Mailbox(Generic[MessageT]):
    """The inbox of one task.

    Any task may post; only the owner receives. A full mailbox refuses (`post` answers False) so
    that a slow task shows up as refusals and never as unbounded memory.
    """

    def __init__(self, size: int = DEFAULT_MAILBOX_SIZE) -> None:
        streams = anyio.create_memory_object_stream[MessageT](size)
        self._send: MemoryObjectSendStream[MessageT] = streams[0]
        self._receive: MemoryObjectReceiveStream[MessageT] = streams[1]

    def post(self, message: MessageT) -> bool:
        """Leave a message without waiting; False if the mailbox is full."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def put(self, message: MessageT) -> None:
        """Leave a message, waiting for room."""
        await self._send.send(message)

    async def receive(self) -> MessageT:
        """Take the next message; for the owner only."""
        return await self._receive.receive()
