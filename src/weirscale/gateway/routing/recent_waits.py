"""Longest recent wait for a first event of a service, over all its engines.

Estimates follow the mean of a service's engines. One engine may be several times slower, and an
engine that got no requests for a while may have become slower unnoticed.
"""

WINDOW_S = 4.0
"""Length of a window in seconds. A wait counts for at least one window and at most two."""


class RecentWaits:
    """Tracks this node's longest wait at the engines of one service, in the last two windows.

    Args:
        now_s: Current time.
    """

    def __init__(self, now_s: float) -> None:
        self._window_start_s = now_s
        self._longest_s = 0.0
        self._previous_longest_s = 0.0

    def add(self, waited_s: float, now_s: float) -> None:
        """Record a wait in seconds that has ended, or that is still going on."""
        self._advance(now_s)
        self._longest_s = max(self._longest_s, waited_s)

    def longest_s(self, now_s: float) -> float:
        """Return the longest recent wait in seconds; 0 if there was none."""
        self._advance(now_s)
        return max(self._longest_s, self._previous_longest_s)

    def _advance(self, now_s: float) -> None:
        """Start the next window if the current one has ended."""
        num_windows = int((now_s - self._window_start_s) / WINDOW_S)
        if num_windows:
            self._previous_longest_s = self._longest_s if num_windows == 1 else 0.0
            self._longest_s = 0.0
            self._window_start_s += num_windows * WINDOW_S
