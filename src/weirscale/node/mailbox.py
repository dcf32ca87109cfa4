"""Mailboxes of tasks: bounded queues of typed messages, and replies for senders that wait."""

from typing import Generic, TypeVar

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")

DEFAULT_MAILBOX_SIZE = 4096
"""Maximum queue length in messages; far above a healthy task's backlog, far below memory limits."""


class Reply(Generic[ReplyT]):
    """Holds the receiver's answer to one message; set once."""

    __slots__ = ("_event", "_value")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._value: ReplyT | None = None

    def set(self, value: ReplyT) -> None:
        """Set the answer and wake the waiting sender."""
        self._value = value
        self._event.set()

    def value(self) -> ReplyT | None:
        """Return the answer, or None if it has not been set."""
        return self._value

    async def wait(self) -> ReplyT:
        """Wait for the answer and return it."""
        await self._event.wait()
        return self._value  # type: ignore[return-value]


class Mailbox(Generic[MessageT]):
    """The inbox of one task.

    Any task may post; only the owner receives. A full mailbox rejects messages (`post` returns
    False), so that a slow task causes refusals instead of unbounded memory use.
    """

    def __init__(self, size: int = DEFAULT_MAILBOX_SIZE) -> None:
        streams = anyio.create_memory_object_stream[MessageT](size)
        self._send: MemoryObjectSendStream[MessageT] = streams[0]
        self._receive: MemoryObjectReceiveStream[MessageT] = streams[1]

    def post(self, message: MessageT) -> bool:
        """Queue a message without waiting; return False if the mailbox is full."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def put(self, message: MessageT) -> None:
        """Queue a message, waiting while the mailbox is full."""
        await self._send.send(message)

    async def receive(self) -> MessageT:
        """Wait for the next message and return it; only the owner may call this."""
        return await self._receive.receive()
