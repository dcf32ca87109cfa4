"""The state of a virtual node process: running, paused as by SIGSTOP, or killed.

All nodes in virtual time share an event loop, so a node cannot be killed as by a signal:
cancellation does not reach code in a shielded scope. Instead, each external call of a node passes
a gate (`ProcessLife.guard`). Once the process is killed, every call raises `ProcessKilled`, also
in shielded scopes. While it is paused, a call waits until the process resumes, like a call that
the process was about to make when it was stopped.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import TypeVar

import anyio

AnswerT = TypeVar("AnswerT")


class ProcessKilled(BaseException):
    """Unwinds the code of a killed process; `except Exception` does not catch it."""


class ProcessLife:
    """One run of a virtual process, and the gate for its external calls."""

    def __init__(self) -> None:
        self._is_killed = False
        self._resumed: anyio.Event | None = None
        self._waiting: dict[anyio.CancelScope, None] = {}

    @property
    def is_killed(self) -> bool:
        """Whether the process has been killed."""
        return self._is_killed

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self._resumed is not None

    def kill(self) -> None:
        """Kill the process; calls that wait at the gate raise `ProcessKilled`."""
        self._is_killed = True
        self.resume()
        for scope in tuple(self._waiting):
            scope.cancel()

    def pause(self) -> None:
        """Pause the process."""
        if self._resumed is None:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Resume the process."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    async def wait_until_running(self) -> None:
        """Wait while the process is paused.

        Raises:
            ProcessKilled: The process has been killed.
        """
        while self._resumed is not None:
            await self._resumed.wait()
        if self._is_killed:
            raise ProcessKilled

    async def guard(self, call: Callable[[], Awaitable[AnswerT]]) -> AnswerT:
        """Make an external call for the process; return its result only while the process runs.

        Raises:
            ProcessKilled: The process was killed before the call or before its result.
        """
        await self.wait_until_running()
        answer: list[AnswerT] = []
        scope = anyio.CancelScope()
        self._waiting[scope] = None
        try:
            with scope:
                answer.append(await call())
        finally:
            self._waiting.pop(scope, None)
        await self.wait_until_running()
        return answer[0]

    async def guard_each(self, items: AsyncIterator[AnswerT]) -> AsyncGenerator[AnswerT, None]:
        """Yield the items of an iterator, each fetched by a guarded call."""
        while True:
            try:
                item = await self.guard(items.__anext__)
            except StopAsyncIteration:
                return
            yield item
