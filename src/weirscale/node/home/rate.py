"""A rate limit whose users wait their turn."""

import anyio


class RateGate:
    """Lets at most a rate of passages through, with a burst; waiting ones are served in order.

    Owned by one node; its users are tasks of one event loop, so no lock is needed.

    Args:
        rate_per_s: Passages a second.
        burst: Passages at once after a quiet time.
    """

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._interval_s = 1.0 / rate_per_s
        self._burst_s = self._interval_s * (burst - 1)
        self._next_at_s = 0.0

    async def pass_through(self) -> None:
        """Wait for the next passage."""
        now_s = anyio.current_time()
        turn_at_s = max(self._next_at_s, now_s - self._burst_s)
        self._next_at_s = turn_at_s + self._interval_s
        await anyio.sleep(max(turn_at_s - now_s, 0.0))
