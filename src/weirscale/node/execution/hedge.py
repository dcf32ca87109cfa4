"""Hedging: a second attempt runs against a slow first one until either has its first chunk."""

from collections.abc import Awaitable, Callable

import anyio
import msgspec
from result import Ok, Result

from weirscale.domain.request.model import TokenChunk
from weirscale.node.execution.attempt import Attempt, AttemptFailure


class RaceOutcome(msgspec.Struct, frozen=True):
    """How a race ended.

    Attributes:
        winner: The attempt that continues.
        result: The winner's first result; a failure only if no attempt has a chunk.
        losers: Attempts that the caller must close and cancel.
    """

    winner: Attempt
    result: Result[TokenChunk, AttemptFailure]
    losers: tuple[Attempt, ...]


MakeHedge = Callable[[Attempt], Awaitable[Attempt | None]]
"""Creates the second attempt on another engine; returns None if a hedge is not allowed or no engine
is available."""


class _Race:
    def __init__(self, first: Attempt, make_hedge: MakeHedge, give_up_at_s: float) -> None:
        self._first = first
        self._make_hedge = make_hedge
        self._give_up_at_s = give_up_at_s
        self._second: Attempt | None = None
        self._results: dict[int, Result[TokenChunk, AttemptFailure]] = {}
        self._tasks = anyio.create_task_group()

    async def run(self, hedge_after_s: float) -> RaceOutcome:
        async with self._tasks as tasks:
            tasks.start_soon(self._run_second, hedge_after_s)
            await self._run_first()
        return self._outcome()

    async def _run_first(self) -> None:
        result = await self._first.next(self._give_up_at_s)
        self._results[0] = result
        # A second attempt that is already running may still win after the first has failed.
        if isinstance(result, Ok) or self._second is None or 1 in self._results:
            self._tasks.cancel_scope.cancel()

    async def _run_second(self, hedge_after_s: float) -> None:
        await anyio.sleep(hedge_after_s)
        second = await self._make_hedge(self._first)
        if second is None:
            return
        self._second = second
        result = await second.next(self._give_up_at_s)
        self._results[1] = result
        if isinstance(result, Ok) or 0 in self._results:
            self._tasks.cancel_scope.cancel()

    def _outcome(self) -> RaceOutcome:
        first = self._first
        second = self._second
        second_result = self._results.get(1)
        first_result = self._results.get(0)
        if second is None:
            assert first_result is not None
            return RaceOutcome(first, first_result, ())
        if isinstance(second_result, Ok) and not isinstance(first_result, Ok):
            return RaceOutcome(second, second_result, (first,))
        assert first_result is not None
        return RaceOutcome(first, first_result, (second,))


async def race_first_chunk(
    first: Attempt, make_hedge: MakeHedge, hedge_after_s: float, give_up_at_s: float
) -> RaceOutcome:
    """Wait for the first chunk of an attempt; start a second attempt if the chunk takes too long.

    Args:
        first: The first attempt.
        make_hedge: Creates the second attempt.
        hedge_after_s: Delay before the second attempt starts.
        give_up_at_s: When both attempts time out.
    """
    return await _Race(first, make_hedge, give_up_at_s).run(hedge_after_s)
