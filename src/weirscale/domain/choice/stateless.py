"""Base of policies that look at the candidates only and learn nothing from outcomes."""

from weirscale.domain.choice.policy import ChoiceRequest
from weirscale.domain.identifiers import EngineName


class StatelessPolicy:
    """Ignores what it is told of requests sent and finished."""

    def note_sent(self, request: ChoiceRequest, engine: EngineName, now_s: float) -> None:
        """Nothing to learn: candidates already count what was sent."""

    def note_finished(
        self, request: ChoiceRequest, engine: EngineName, num_cached_tokens: int, now_s: float
    ) -> None:
        """Nothing to learn."""
