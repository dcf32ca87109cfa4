"""Detection of engines with a new run or new weights, so that sends to the earlier run don't
count as cached."""

from collections.abc import Sequence

from weirscale.domain.choice.policy import EngineCandidate
from weirscale.domain.choice.recent_sends import GENERATION_S
from weirscale.domain.identifiers import EngineName

NEW_RUN_S = 2 * GENERATION_S
"""Time for which recorded sends of other nodes may still refer to the earlier run."""


class EngineRuns:
    """Tracks the run and weights of each engine among the candidates."""

    def __init__(self) -> None:
        self._last_seen: dict[EngineName, EngineCandidate] = {}
        self._changed_at_s: dict[EngineName, float] = {}

    def record(self, candidates: Sequence[EngineCandidate], now_s: float) -> list[EngineName]:
        """Record the candidates and return the engines whose run or weights have changed."""
        changed: list[EngineName] = []
        for candidate in candidates:
            previous = self._last_seen.get(candidate.engine)
            if previous is not None and _is_same_run(previous, candidate):
                continue
            self._last_seen[candidate.engine] = candidate
            if previous is not None:
                self._changed_at_s[candidate.engine] = now_s
                changed.append(candidate.engine)
        return changed

    def is_new(self, engine: EngineName, now_s: float) -> bool:
        """Return whether the engine's run or weights changed within the last NEW_RUN_S."""
        changed_at_s = self._changed_at_s.get(engine)
        return changed_at_s is not None and now_s - changed_at_s < NEW_RUN_S


def _is_same_run(previous: EngineCandidate, candidate: EngineCandidate) -> bool:
    return (
        previous.incarnation == candidate.incarnation
        and previous.weight_version == candidate.weight_version
    )
