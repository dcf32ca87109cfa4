"""The life of one virtual node process: running, paused as by SIGSTOP, or killed.

A node in virtual time shares the event loop with all others, so nothing can kill it as a signal
would: its code may be shielded from cancellation. Instead, all that it does to the world passes a
gate. At the gate of a killed process every call raises `ProcessKilled`, through shields and all;
at the gate of a paused one it waits until the process goes on, as a call that was about to be
made before the pause and is made after it.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio

AnswerT = TypeVar("AnswerT")


class ProcessKilled(BaseException):
    """Unwinds the code of a killed process; handlers of `Exception` do not see it."""


class ProcessLife:
    """One run of one virtual process."""

    def __init__(self) -> None:
        self._is_killed = False
        self._resumed: anyio.Event | None = None
        self._waiting: dict[anyio.CancelScope, None] = {}

    @property
    def is_killed(self) -> bool:
        """Whether the process is gone."""
        return self._is_killed

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped for now."""
        return self._resumed is not None

    def kill(self) -> None:
        """End the process; whatever it waits for at a gate unwinds."""
        self._is_killed = True
        self.resume()
        for scope in tuple(self._waiting):
            scope.cancel()

    def pause(self) -> None:
        """Stop the process."""
        if self._resumed is None:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Let the process go on."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    async def go_on(self) -> None:
        """Wait while the process is paused.

        Raises:
            ProcessKilled: The process is gone.
        """
        while self._resumed is not None:
            await self._resumed.wait()
        if self._is_killed:
            raise ProcessKilled

    async def guard(self, call: Callable[[], Awaitable[AnswerT]]) -> AnswerT:
        """Make a call of the process; its answer is seen only while the process runs.

        Raises:
            ProcessKilled: The process is gone, now or before the answer came.
        """
        await self.go_on()
        answer: list[AnswerT] = []
        scope = anyio.CancelScope()
        self._waiting[scope] = None
        try:
            with scope:
                answer.append(await call())
        finally:
            self._waiting.pop(scope, None)
        await self.go_on()
        return answer[0]

    async def guard_each(self, items: AsyncIterator[AnswerT]) -> AsyncGenerator[AnswerT, None]:
        """Pass on the items of an iterator, each as the answer to a call of the process."""
        while True:
            try:
                item = await self.guard(items.__anext__)
            except StopAsyncIteration:
                return
            yield item
