"""Growing waits between tries."""

from random import Random

MIN_SHARE = 0.1
"""A wait is never shorter than this share of its ceiling."""


class Backoff:
    """Growing waits with full jitter."""

    def __init__(self, random: Random, first_s: float, max_s: float) -> None:
        self._random = random
        self._first_s = first_s
        self._max_s = max_s
        self._ceiling_s = first_s

    def reset(self) -> None:
        """Start again with a short wait, after a success."""
        self._ceiling_s = self._first_s

    def next_s(self, at_least_s: float | None = None) -> float:
        """Return the next wait; at least the server's own hint."""
        wait_s = self._ceiling_s * self._random.uniform(MIN_SHARE, 1.0)
        self._ceiling_s = min(2.0 * self._ceiling_s, self._max_s)
        return max(wait_s, at_least_s or 0.0)
