"""Which runs of back ends have said themselves that they leave."""

from weirscale.gateway.model.identifiers import RunId

MAX_LEAVING_RUNS = 4096
"""Runs that are remembered; beyond it the oldest are forgotten. More than all back ends of the
size designed for, some 1,700, so that a replacement of all of them fits. Not measured."""


class LeavingRuns:
    """Remembers the runs that leave, also after their registrations have ended.

    A run that leaves never takes new work again; only its next run does, under another id. So what
    is remembered needs no end but a bound.
    """

    def __init__(self) -> None:
        self._runs: dict[RunId, None] = {}

    def add(self, run: RunId) -> bool:
        """Remember a run; returns whether it was not known to leave."""
        if run in self._runs:
            return False
        self._runs[run] = None
        if len(self._runs) > MAX_LEAVING_RUNS:
            del self._runs[next(iter(self._runs))]
        return True

    def __contains__(self, run: RunId) -> bool:
        return run in self._runs
