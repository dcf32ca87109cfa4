"""Corrects lagging load reports by what this node itself sent since.

For the owner of candidates: `EngineCandidate` carries corrected figures, so that every policy
profits alike.
"""

from collections import deque

from weirscale.domain.identifiers import EngineName

MAX_REMEMBERED_SENDS = 256
"""Sends remembered for each engine; more than one node sends between two reports."""


class _Send:
    __slots__ = ("num_missing_tokens", "sent_at_s")

    def __init__(self, sent_at_s: float, num_missing_tokens: int) -> None:
        self.sent_at_s = sent_at_s
        self.num_missing_tokens = num_missing_tokens


class OwnSends:
    """Requests that this node sent to engines, with the prompt tokens each had to compute."""

    def __init__(self) -> None:
        self._sends: dict[EngineName, deque[_Send]] = {}

    def note_sent(self, engine: EngineName, num_missing_tokens: int, now_s: float) -> None:
        """Remember a request."""
        sends = self._sends.get(engine)
        if sends is None:
            sends = deque(maxlen=MAX_REMEMBERED_SENDS)
            self._sends[engine] = sends
        sends.append(_Send(now_s, num_missing_tokens))

    def num_sent_since(self, engine: EngineName, time_s: float) -> int:
        """Return how many requests were sent to the engine after a time."""
        sends = self._sends.get(engine, ())
        return sum(1 for send in sends if send.sent_at_s > time_s)

    def waiting_tokens(
        self,
        engine: EngineName,
        num_reported_tokens: int,
        reported_at_s: float,
        tokens_per_s: float,
        now_s: float,
    ) -> int:
        """Return the prompt tokens that now wait there, as far as this node can know.

        Args:
            engine: The engine.
            num_reported_tokens: Tokens waiting as of the report.
            reported_at_s: When the engine made the report.
            tokens_per_s: Its prefill speed.
            now_s: Time.
        """
        waiting = float(num_reported_tokens)
        at_s = reported_at_s
        for send in self._sends.get(engine, ()):
            if send.sent_at_s <= reported_at_s:
                continue
            waiting = max(waiting - (send.sent_at_s - at_s) * tokens_per_s, 0.0)
            waiting += send.num_missing_tokens
            at_s = send.sent_at_s
        return int(max(waiting - (now_s - at_s) * tokens_per_s, 0.0))
