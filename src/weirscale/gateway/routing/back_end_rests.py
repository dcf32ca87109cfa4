"""Rests of back ends: times without requests that back ends asked this node for.

A back end asks for a rest in the answer with which it turns a request away.
"""

from collections.abc import Collection
from random import Random

from weirscale.gateway.model.identifiers import RunId

MAX_REST_S = 3600.0
"""Maximum rest in seconds. A longer one is assumed to be a mistake and is cut to this, since this
node would not use the back end again before either of them is replaced."""

JITTER_SHARE = 0.25
"""Maximum jitter added to the end of a rest, as a share of the rest. Otherwise nodes that were
turned away together would return together, before any of them has received the others' load."""

MAX_JITTER_S = 1.0
"""Maximum jitter in seconds added to the end of a rest."""


class BackEndRests:
    """Owns the rests. A rest belongs to one run of a back end, and not to the next run.

    Args:
        random: Source of jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._until_s: dict[RunId, float] = {}

    def begin(self, run: RunId, asked_s: float, now_s: float) -> float | None:
        """Start the rest that a run asks for, or extend its current one.

        Args:
            run: The run that asks.
            asked_s: Duration that it asks for, in seconds.
            now_s: Time at which its answer was read.

        Returns:
            The duration of the rest in seconds, or None if the run was already resting.
        """
        was_resting = run in self.resting(now_s)
        rest_s = min(asked_s, MAX_REST_S)
        max_jitter_s = min(JITTER_SHARE * rest_s, MAX_JITTER_S)
        until_s = now_s + rest_s + self._random.uniform(0.0, max_jitter_s)
        self._until_s[run] = max(until_s, self._until_s.get(run, until_s))
        return None if was_resting else until_s - now_s

    def resting(self, now_s: float) -> Collection[RunId]:
        """Return the runs that are currently resting."""
        if any(until_s <= now_s for until_s in self._until_s.values()):
            self._until_s = {run: end_s for run, end_s in self._until_s.items() if end_s > now_s}
        return self._until_s.keys()

    def left_s(self, run: RunId, now_s: float) -> float:
        """Return the remaining seconds of a run's rest; 0 if it has none."""
        return max(0.0, self._until_s.get(run, now_s) - now_s)
