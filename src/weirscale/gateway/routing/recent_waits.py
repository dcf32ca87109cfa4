"""The longest recent wait for a first event of a service, over all its engines.

Estimates follow the mean of a service's engines. One of them may work several times slower, and one
that got nothing for a while may have become slower unseen.
"""

WINDOW_S = 4.0
"""Seconds for which a wait counts, twice as many at most. Not measured."""


class RecentWaits:
    """What this node has waited at the engines of one service.

    Args:
        now_s: Time.
    """

    def __init__(self, now_s: float) -> None:
        self._window_began_s = now_s
        self._longest_s = 0.0
        self._longest_before_s = 0.0

    def add(self, waited_s: float, now_s: float) -> None:
        """Add a wait that has ended, or that lasts for so long already."""
        self._turn(now_s)
        self._longest_s = max(self._longest_s, waited_s)

    def longest_s(self, now_s: float) -> float:
        """Return the longest recent wait in seconds; 0 if there was none."""
        self._turn(now_s)
        return max(self._longest_s, self._longest_before_s)

    def _turn(self, now_s: float) -> None:
        """Begin the next window if it is time."""
        num_windows = int((now_s - self._window_began_s) / WINDOW_S)
        if num_windows:
            self._longest_before_s = self._longest_s if num_windows == 1 else 0.0
            self._longest_s = 0.0
            self._window_began_s += num_windows * WINDOW_S
