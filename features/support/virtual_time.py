"""Runs a coroutine function in virtual time: anyio on trio with a clock that jumps when idle."""

import anyio
from trio.testing import MockClock

JUMP_AT_ONCE = 0


def run_in_virtual_time(function, *arguments):
    """Run to the end and return the result; no test waits on a wall clock."""
    clock = MockClock(autojump_threshold=JUMP_AT_ONCE)
    return anyio.run(function, *arguments, backend="trio", backend_options={"clock": clock})
