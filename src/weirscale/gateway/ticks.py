"""Common ticks at which a node does its periodic work.

A process that wakes up finds its CPU caches cold, so waking up costs more than most of the work
done then. With separate timers and datagrams read one by one, an idle node woke up about 110 times
a second; with common ticks it wakes up 25 times (docs/CAPACITY.md, "Processor time of a node").
"""

import math

import anyio

TICK_S = 0.04
"""Seconds between two ticks. The delay is acceptable because gossip of other nodes is some tenths
of a second old anyway. With a day's workload on 64 nodes, a node used 0.053 of a core with 40 ms
and 0.064 with 20 ms (docs/CAPACITY.md)."""

ROUNDING_S = 1e-6
"""Seconds by which a time may exceed a tick and still count as that tick. This is larger than
floating-point rounding errors and much smaller than a tick."""


def next_tick_s(at_s: float) -> float:
    """Return the first tick at or after a time."""
    return math.ceil((at_s - ROUNDING_S) / TICK_S) * TICK_S


def nearest_tick_s(at_s: float) -> float:
    """Return the tick nearest to a time."""
    return round(at_s / TICK_S) * TICK_S


async def sleep_to_tick(duration_s: float) -> None:
    """Sleep for a duration, and then until the next tick."""
    await anyio.sleep_until(next_tick_s(anyio.current_time() + duration_s))
