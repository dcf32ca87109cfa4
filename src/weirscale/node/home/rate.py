"""Rate limiter whose callers wait in order."""

import anyio


class RateLimiter:
    """Limits the rate of operations, with a burst; waiting callers are served in order.

    It is used only by tasks of one event loop, so it needs no lock.

    Args:
        rate_per_s: Operations per second.
        burst: Operations allowed at once after an idle time.
    """

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._burst_s = self._interval_s * (burst - 1)
        self._next_at_s = 0.0

    async def acquire(self) -> None:
        """Wait until the next operation is allowed."""
        now_s = anyio.current_time()
        slot_at_s = max(self._next_at_s, now_s - self._burst_s)
        self._next_at_s = slot_at_s + self._interval_s
        await anyio.sleep(max(slot_at_s - now_s, 0.0))
