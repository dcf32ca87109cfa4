"""A timeout that does not take a standstill of this process for silence of the other side.

A process that was stopped, or whose machine was, finds its timers over before it has looked at its
sockets. What arrived meanwhile lies there: a timeout that is noticed late waits a little longer.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

_T = TypeVar("_T")

STANDSTILL_S = 0.1
"""Seconds. A timeout that is noticed this late shows that the process stood still."""

GRACE_S = 0.1
"""Seconds given then to what has arrived meanwhile."""


async def run_within(timeout_s: float | None, operation: Callable[[], Awaitable[_T]]) -> _T:
    """Return what an operation gives; it may be cancelled and called once more.

    Args:
        timeout_s: How long it may take; None for as long as the caller waits.
        operation: Loses nothing when it is cancelled.

    Raises:
        TimeoutError: It took longer, though the process ran.
    """
    if timeout_s is None:
        return await operation()
    while True:
        deadline_s = anyio.current_time() + timeout_s
        try:
            with anyio.fail_after(timeout_s):
                return await operation()
        except TimeoutError:
            if anyio.current_time() - deadline_s < STANDSTILL_S:
                raise
        timeout_s = GRACE_S
