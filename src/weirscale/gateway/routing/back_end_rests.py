"""Which back ends have asked this node for a rest, and until when nothing is sent to them."""

from collections.abc import Collection
from random import Random

from weirscale.gateway.model.identifiers import RunId

MAX_REST_S = 3600.0
"""Longest rest in seconds that is heeded. More is taken for a mistake: this node would not try the
back end again before either of them is replaced. Not measured."""

SPREAD_SHARE = 0.25
"""Share of a rest by which, at the most, this node comes back later than it may. Nodes that were
turned away together would come back together otherwise, before any of them has heard of the others'
load. Not measured."""

MAX_SPREAD_S = 1.0
"""Most seconds by which it comes back later. Not measured."""


class BackEndRests:
    """Owns the rests; each run of a back end has its own, which the next run does not have.

    Args:
        random: Spreads the ends.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._until_s: dict[RunId, float] = {}

    def begin(self, run: RunId, asked_s: float, now_s: float) -> float | None:
        """Take that a run wants nothing for a time.

        Args:
            run: Who asks.
            asked_s: For how long, in seconds.
            now_s: When the answer that says so was read.

        Returns:
            The seconds that it gets, or None if it had a rest already, which may be longer now.
        """
        was_resting = run in self.resting(now_s)
        rest_s = min(asked_s, MAX_REST_S)
        spread_s = min(SPREAD_SHARE * rest_s, MAX_SPREAD_S)
        until_s = now_s + rest_s + self._random.uniform(0.0, spread_s)
        self._until_s[run] = max(until_s, self._until_s.get(run, until_s))
        return None if was_resting else until_s - now_s

    def resting(self, now_s: float) -> Collection[RunId]:
        """Return the runs that rest now."""
        if any(until_s <= now_s for until_s in self._until_s.values()):
            self._until_s = {run: one for run, one in self._until_s.items() if one > now_s}
        return self._until_s.keys()

    def left_s(self, run: RunId, now_s: float) -> float:
        """Return for how many more seconds a run rests; 0 if it does not."""
        return max(0.0, self._until_s.get(run, now_s) - now_s)
