"""What is remembered of runs of back ends, also of those whose registrations have ended."""

from typing import Generic, TypeVar

from weirscale.gateway.model.identifiers import RunId

_T = TypeVar("_T")

MAX_REMEMBERED_RUNS = 4096
"""Runs that are remembered; beyond it the oldest are forgotten. More than all back ends of the
size designed for, some 1,700, so that a replacement of all of them fits."""


class RecentRuns(Generic[_T]):
    """A value for each run, of as many as are remembered.

    A run never comes back under its id once it has ended, so what is remembered of it needs no end
    but a bound.
    """

    def __init__(self) -> None:
        self._values: dict[RunId, _T] = {}

    def put(self, run: RunId, value: _T) -> None:
        """Remember a run's value; it is the latest run then."""
        self._values.pop(run, None)
        self._values[run] = value
        if len(self._values) > MAX_REMEMBERED_RUNS:
            del self._values[next(iter(self._values))]

    def get(self, run: RunId) -> _T | None:
        """Return a run's value, None for one that is not remembered."""
        return self._values.get(run)

    def pop(self, run: RunId) -> _T | None:
        """Forget a run; returns its value."""
        return self._values.pop(run, None)

    def __contains__(self, run: RunId) -> bool:
        """Whether a run is remembered."""
        return run in self._values
