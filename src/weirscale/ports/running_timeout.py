"""A timeout that does not mistake a suspension of this process for silence of the other side.

After a suspension of the process or its machine, timers expire before the sockets are read,
although data may have arrived there. A timeout that fires late is therefore extended a little.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

_T = TypeVar("_T")

SUSPENSION_THRESHOLD_S = 0.1
"""A timeout that fires this many seconds late shows that the process was suspended."""

SUSPENSION_GRACE_S = 0.1
"""Seconds then added, to read the data that has arrived."""


async def run_within(timeout_s: float | None, operation: Callable[[], Awaitable[_T]]) -> _T:
    """Run an operation within a timeout and return its result.

    After a suspension the operation is cancelled and called again.

    Args:
        timeout_s: How long the operation may take; None for no limit.
        operation: The operation; cancelling it must not lose data.

    Raises:
        TimeoutError: The operation took longer while the process was running.
    """
    if timeout_s is None:
        return await operation()
    while True:
        deadline_s = anyio.current_time() + timeout_s
        try:
            with anyio.fail_after(timeout_s):
                return await operation()
        except TimeoutError:
            if anyio.current_time() - deadline_s < SUSPENSION_THRESHOLD_S:
                raise
        timeout_s = SUSPENSION_GRACE_S
