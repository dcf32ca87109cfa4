"""Notices engines that came back anew, so that nothing sent to their earlier run is counted on."""

from collections.abc import Sequence

from weirscale.domain.choice.policy import EngineCandidate
from weirscale.domain.choice.recent_sends import GENERATION_S
from weirscale.domain.identifiers import EngineName

NEW_RUN_S = 2 * GENERATION_S
"""For so long notes may still speak of sends to the earlier run."""


class EngineRuns:
    """The run and weights of each engine as last seen among the candidates."""

    def __init__(self) -> None:
        self._seen: dict[EngineName, EngineCandidate] = {}
        self._changed_at_s: dict[EngineName, float] = {}

    def note(self, candidates: Sequence[EngineCandidate], now_s: float) -> list[EngineName]:
        """Return the engines whose run or weights have changed."""
        changed: list[EngineName] = []
        for candidate in candidates:
            known = self._seen.get(candidate.engine)
            if known is not None and _is_same_run(known, candidate):
                continue
            self._seen[candidate.engine] = candidate
            if known is not None:
                self._changed_at_s[candidate.engine] = now_s
                changed.append(candidate.engine)
        return changed

    def is_new(self, engine: EngineName, now_s: float) -> bool:
        """Return whether the engine's run or weights changed a short time ago."""
        changed_at_s = self._changed_at_s.get(engine)
        return changed_at_s is not None and now_s - changed_at_s < NEW_RUN_S


def _is_same_run(known: EngineCandidate, candidate: EngineCandidate) -> bool:
    return (
        known.incarnation == candidate.incarnation
        and known.weight_version == candidate.weight_version
    )
