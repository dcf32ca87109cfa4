"""Accuracy of recent predictions of the cached tokens at each engine."""

from collections import OrderedDict

from weirscale.domain.identifiers import EngineName, RequestId

MAX_OPEN_PREDICTIONS = 4096
"""Predictions kept until their requests finish; the oldest are dropped first."""

LEARNING_RATE = 0.05
"""Weight of the latest outcome in the moving average: about 20 requests change an engine's
accuracy."""

MIN_ACCURACY = 0.2
"""Lower bound of the accuracy. At zero, an engine could never improve its accuracy again."""

MIN_PREDICTED_TOKENS = 64.0
"""Smaller predictions are too noisy to compare."""


class MatchAccuracy:
    """Compares predicted with actual cached tokens, separately for each engine."""

    def __init__(self) -> None:
        self._predictions: OrderedDict[tuple[RequestId, EngineName], float] = OrderedDict()
        self._accuracies: dict[EngineName, float] = {}

    def accuracy(self, engine: EngineName) -> float:
        """Return the share of predicted cached tokens that were cached; 1 without any outcome."""
        return self._accuracies.get(engine, 1.0)

    def record_prediction(
        self, request_id: RequestId, engine: EngineName, num_tokens: float
    ) -> None:
        """Record the predicted cached tokens of a request, before scaling by the accuracy."""
        self._predictions[(request_id, engine)] = num_tokens
        while len(self._predictions) > MAX_OPEN_PREDICTIONS:
            self._predictions.popitem(last=False)

    def compare_with_actual(
        self, request_id: RequestId, engine: EngineName, num_tokens: int
    ) -> float | None:
        """Update the accuracy with the actual cached tokens.

        Returns:
            The share of the predicted tokens that were cached, or None without a usable prediction.
        """
        predicted = self._predictions.pop((request_id, engine), None)
        if predicted is None or predicted < MIN_PREDICTED_TOKENS:
            return None
        share = min(num_tokens / predicted, 1.0)
        accuracy = self.accuracy(engine)
        self._accuracies[engine] = max(accuracy + LEARNING_RATE * (share - accuracy), MIN_ACCURACY)
        return share

    def reset(self, engine: EngineName) -> None:
        """Reset the accuracy of an engine that has restarted."""
        self._accuracies.pop(engine, None)

    def discard_prediction(self, request_id: RequestId, engine: EngineName) -> None:
        """Drop a prediction, so that the request's outcome does not change the accuracy."""
        self._predictions.pop((request_id, engine), None)
