"""The longest wait for a first event of late.

Estimates follow what a service's engines take on the whole; a single one may work several times
slower, and one that nothing was sent to for a while may have become so.
"""

WINDOW_S = 4.0
"""A wait counts for this long, and for twice as long at most."""


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
        """Return the longest wait of late; 0 if there was none."""
        self._turn(now_s)
        return max(self._longest_s, self._longest_before_s)

    def _turn(self, now_s: float) -> None:
        """Begin the next window if it is time."""
        num_windows = int((now_s - self._window_began_s) / WINDOW_S)
        if num_windows:
            self._longest_before_s = self._longest_s if num_windows == 1 else 0.0
            self._longest_s = 0.0
            self._window_began_s += num_windows * WINDOW_S
