"""Values stored for recent runs of back ends, including runs whose registrations have ended."""

from typing import Generic, TypeVar

from weirscale.gateway.model.identifiers import RunId

_T = TypeVar("_T")

MAX_STORED_RUNS = 4096
"""Number of runs that are stored; the oldest are evicted first. The gateway is designed for about
1,700 back ends, so all of them can be replaced at once without evictions."""


class RecentRuns(Generic[_T]):
    """Stores one value for each of the most recent runs.

    A run id is never reused after the run has ended, so values need no expiry, only a limit on
    their number.
    """

    def __init__(self) -> None:
        self._values: dict[RunId, _T] = {}

    def put(self, run: RunId, value: _T) -> None:
        """Store a run's value, and make it the most recent run."""
        self._values.pop(run, None)
        self._values[run] = value
        if len(self._values) > MAX_STORED_RUNS:
            del self._values[next(iter(self._values))]

    def get(self, run: RunId) -> _T | None:
        """Return a run's value; None if the run is not stored."""
        return self._values.get(run)

    def pop(self, run: RunId) -> _T | None:
        """Remove a run, and return its value; None if the run is not stored."""
        return self._values.pop(run, None)

    def __contains__(self, run: RunId) -> bool:
        """Return whether a run is stored."""
        return run in self._values
