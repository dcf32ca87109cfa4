"""The clock for measuring ages on a real machine, and its conversion to event-loop deadlines.

A machine may be suspended. The event loop's clock does not count that time: by that clock a lease
or proof from before a suspension would look younger than it is.
"""

import time
from collections.abc import Callable

import anyio

ROUNDING_S = 1e-6
"""Added to deadlines. Through rounding, a cancel scope may end just before the intended time; a
loop that waits for that time would then enter the scope again and again."""


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including suspensions; monotonic."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def loop_deadline_s(at_s: float, clock: Callable[[], float]) -> float:
    """Convert a time of `clock` to a deadline of the event loop, slightly after that time."""
    return anyio.current_time() + (at_s - clock()) + ROUNDING_S
