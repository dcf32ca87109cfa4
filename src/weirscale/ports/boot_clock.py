"""The clock by which ages are told on a real machine, and the way from it to timers.

A machine may be suspended. The clock by which event loops set timers leaves that time out, so that
a lease or a proof from before would look seconds younger than it is.
"""

import time
from collections.abc import Callable

import anyio

ROUNDING_S = 1e-6
"""A scope that ends just before its time, by rounding, would be entered again without end."""


def boot_time_s() -> float:
    """Return the seconds since the machine's start, suspensions included; it never goes back."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def loop_deadline_s(at_s: float, clock: Callable[[], float]) -> float:
    """Return what a time of a clock is by the event loop's, for a scope that ends after it."""
    return anyio.current_time() + (at_s - clock()) + ROUNDING_S
