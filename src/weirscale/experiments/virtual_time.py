"""Run a coroutine function in virtual time: anyio on trio, with a clock that skips idle time."""

import importlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

ResultT = TypeVar("ResultT")

AUTOJUMP_THRESHOLD_S = 0.0
SCHEDULER_SEED = 0


def run_in_virtual_time(
    function: Callable[..., Awaitable[ResultT]], *arguments: object, seed: int = SCHEDULER_SEED
) -> ResultT:
    """Run a coroutine function and return its result; equal seeds give equal task schedules."""
    from trio.testing import MockClock

    seed_scheduler(seed)
    clock = MockClock(autojump_threshold=AUTOJUMP_THRESHOLD_S)
    return anyio.run(function, *arguments, backend="trio", backend_options={"clock": clock})


def seed_scheduler(seed: int) -> None:
    """Make the order in which trio runs simultaneously ready tasks depend only on the seed.

    Trio shuffles them with a generator of its own that cannot be seeded through its public API.
    """
    scheduler = importlib.import_module("trio._core._run")
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    scheduler._r.seed(seed)
