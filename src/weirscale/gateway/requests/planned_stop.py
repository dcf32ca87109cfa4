"""Which requests a node that is being stopped may still begin.

A stop takes some seconds, in which running requests end. A request may arrive late in them although
no new connections come: its body arrives slowly, or its connection carries several requests. If it
may not end before the process does, it is refused before it is sent, because it would be cut off
otherwise and could have run.
"""

from collections.abc import Callable

ANSWER_MARGIN_S = 0.1
"""Seconds that the answer to a request at its deadline takes to reach the caller."""


class PlannedStop:
    """The planned stop of a node's process; none until `begin` is called.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._late_from_s = float("inf")
        self._ends_at_s = float("inf")

    def begin(self, late_from_s: float, ends_at_s: float) -> None:
        """Record that the process stops.

        Args:
            late_from_s: From this time on, callers should have gone to other nodes.
            ends_at_s: At this time, requests that still run are cut off.
        """
        self._late_from_s = late_from_s
        self._ends_at_s = ends_at_s

    def may_begin(self, deadline_s: float) -> bool:
        """Return whether a request that has arrived now may be sent.

        One that is not late is sent even if it may be cut off: most requests end much earlier than
        their deadlines.

        Args:
            deadline_s: When the request is answered at the latest.
        """
        is_late = self._clock() >= self._late_from_s
        return not is_late or deadline_s + ANSWER_MARGIN_S <= self._ends_at_s
