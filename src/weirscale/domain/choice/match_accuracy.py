"""How far beliefs about an engine's cache have come true lately."""

from collections import OrderedDict

from weirscale.domain.identifiers import EngineName, RequestId

MAX_OPEN_PREDICTIONS = 4096
"""Predictions kept until their requests finish; oldest dropped first."""

LEARNING_RATE = 0.05
"""Weight of the latest outcome: some twenty requests change the trust in an engine."""

MIN_TRUST = 0.2
"""Beliefs never count for nothing, or an engine could not regain trust."""

MIN_PREDICTED_TOKENS = 64.0
"""Smaller predictions say little about the belief."""


class MatchAccuracy:
    """Compares predicted with real cached tokens, engine by engine."""

    def __init__(self) -> None:
        self._predictions: OrderedDict[tuple[RequestId, EngineName], float] = OrderedDict()
        self._trust: dict[EngineName, float] = {}

    def trust(self, engine: EngineName) -> float:
        """Return the share of predicted cached tokens that proved real, 1 when nothing is known."""
        return self._trust.get(engine, 1.0)

    def record_prediction(
        self, request_id: RequestId, engine: EngineName, num_tokens: float
    ) -> None:
        """Remember what the belief promised, before it was scaled by trust."""
        self._predictions[(request_id, engine)] = num_tokens
        while len(self._predictions) > MAX_OPEN_PREDICTIONS:
            self._predictions.popitem(last=False)

    def compare_with_actual(
        self, request_id: RequestId, engine: EngineName, num_tokens: int
    ) -> float | None:
        """Learn what was real; returns the share that came true, None without a prediction."""
        predicted = self._predictions.pop((request_id, engine), None)
        if predicted is None or predicted < MIN_PREDICTED_TOKENS:
            return None
        share = min(num_tokens / predicted, 1.0)
        trust = self.trust(engine)
        self._trust[engine] = max(trust + LEARNING_RATE * (share - trust), MIN_TRUST)
        return share

    def forget(self, engine: EngineName) -> None:
        """Start again with an engine that came back anew."""
        self._trust.pop(engine, None)

    def forget_prediction(self, request_id: RequestId, engine: EngineName) -> None:
        """Learn nothing from a request's outcome."""
        self._predictions.pop((request_id, engine), None)
