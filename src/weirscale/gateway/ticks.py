"""Periodic work of a node is done at common moments.

A process that wakes finds its caches cold, so that waking costs more than most of what is done
then. A node at rest woke some 110 times a second for its own timers and for single datagrams; on
the ticks it wakes 25 times (docs/CAPACITY.md, "Processor time of a node").
"""

import math

import anyio

TICK_S = 0.04
"""Seconds between two ticks: gossip of other nodes is some tenths of a second old anyway. On a day
of 64 nodes a node took 0.053 of a core with 40 ms and 0.064 with 20 ms (docs/CAPACITY.md)."""

ROUNDING_S = 1e-6
"""Seconds; a moment that lies so little after a tick counts as on it: above the rounding of
floating point, far below a tick."""


def next_tick_s(at_s: float) -> float:
    """Return the first tick at or after a time."""
    return math.ceil((at_s - ROUNDING_S) / TICK_S) * TICK_S


def nearest_tick_s(at_s: float) -> float:
    """Return the tick nearest to a time."""
    return round(at_s / TICK_S) * TICK_S


async def sleep_to_tick(duration_s: float) -> None:
    """Sleep for a duration and on to the next tick."""
    await anyio.sleep_until(next_tick_s(anyio.current_time() + duration_s))
