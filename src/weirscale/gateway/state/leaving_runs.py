"""Runs of back ends that have announced that they are leaving."""

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.model.recent_runs import RecentRuns


class LeavingRuns:
    """Stores the leaving runs; only the next run of such a back end accepts new requests again."""

    def __init__(self) -> None:
        self._runs: RecentRuns[None] = RecentRuns()

    def add(self, run: RunId) -> bool:
        """Add a run, and return whether it was not yet known to be leaving."""
        if run in self._runs:
            return False
        self._runs.put(run, None)
        return True

    def __contains__(self, run: RunId) -> bool:
        return run in self._runs
