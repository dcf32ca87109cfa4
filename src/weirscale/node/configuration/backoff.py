"""Exponential backoff between retries."""

from random import Random

MIN_SHARE = 0.1
"""Minimum wait, as a share of the current ceiling."""


class Backoff:
    """Exponential backoff with jitter.

    Args:
        random: Source of jitter.
        first_s: Initial ceiling of a wait.
        max_s: Maximum ceiling of a wait.
    """

    def __init__(self, random: Random, first_s: float, max_s: float) -> None:
        self._random = random
        self._first_s = first_s
        self._max_s = max_s
        self._ceiling_s = first_s

    def reset(self) -> None:
        """Return to the initial wait; call it after a success."""
        self._ceiling_s = self._first_s

    def next_s(self, at_least_s: float | None = None) -> float:
        """Return the next wait in seconds, at least the wait that the server asked for."""
        wait_s = self._ceiling_s * self._random.uniform(MIN_SHARE, 1.0)
        self._ceiling_s = min(2.0 * self._ceiling_s, self._max_s)
        return max(wait_s, at_least_s or 0.0)
