"""Runs a coroutine function in virtual time: anyio on trio with a clock that jumps when idle."""

import importlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

ResultT = TypeVar("ResultT")

JUMP_AT_ONCE = 0.0
SCHEDULER_SEED = 0


def run_in_virtual_time(
    function: Callable[..., Awaitable[ResultT]], *arguments: object, seed: int = SCHEDULER_SEED
) -> ResultT:
    """Run to the end and return the result; the same seed gives the same schedule."""
    from trio.testing import MockClock

    seed_scheduler(seed)
    clock = MockClock(autojump_threshold=JUMP_AT_ONCE)
    return anyio.run(function, *arguments, backend="trio", backend_options={"clock": clock})


def seed_scheduler(seed: int) -> None:
    """Make trio run tasks that are ready together in an order that the seed alone determines.

    Trio shuffles them by a generator of its own, which has no public seed.
    """
    scheduler = importlib.import_module("trio._core._run")
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    scheduler._r.seed(seed)
