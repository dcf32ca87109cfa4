"""Which runs of back ends have said themselves that they leave."""

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.recent_runs import RecentRuns


class LeavingRuns:
    """Remembers the runs that leave: only the next run of a back end takes new work again."""

    def __init__(self) -> None:
        self._runs: RecentRuns[None] = RecentRuns()

    def add(self, run: RunId) -> bool:
        """Remember a run; returns whether it was not known to leave."""
        if run in self._runs:
            return False
        self._runs.put(run, None)
        return True

    def __contains__(self, run: RunId) -> bool:
        return run in self._runs
