"""Load estimate of one engine: its last report, corrected by this node's own sends since then.

Reports lag by up to seconds. Without the correction, all requests in that time would go to the
engine that last reported being idle. Requests that other nodes sent since the report are not
counted.
"""

import msgspec

from weirscale.domain.identifiers import RequestId

AttemptKey = tuple[RequestId, int]
"""A request id and the number of the attempt."""


class _SentAttempt(msgspec.Struct, frozen=True):
    sent_at_s: float
    num_prefill_tokens: int


class LoadEstimate:
    """Estimate of one engine's load; owned by the routing task.

    Attributes:
        num_reports: Number of the last report used, as counted by the directory.
    """

    __slots__ = (
        "_backlog_at_s",
        "_backlog_tokens",
        "_mean_duration_s",
        "_num_ended_since",
        "_num_reported",
        "_num_unreported",
        "_reported_at_s",
        "_sent",
        "num_reports",
    )

    def __init__(self) -> None:
        self.num_reports = 0
        self._reported_at_s = float("-inf")
        self._num_reported = 0
        self._num_unreported = 0
        self._num_ended_since = 0
        self._backlog_tokens = 0.0
        self._backlog_at_s = 0.0
        self._mean_duration_s = 0.0
        self._sent: dict[AttemptKey, _SentAttempt] = {}

    @property
    def num_own_outstanding(self) -> int:
        """Number of this node's attempts that have not ended."""
        return len(self._sent)

    @property
    def mean_duration_s(self) -> float:
        """Smoothed duration of an attempt; 0 until the first has ended."""
        return self._mean_duration_s

    def num_outstanding(self) -> int:
        """Return the estimated number of requests at the engine, from all nodes."""
        corrected = self._num_reported + self._num_unreported - self._num_ended_since
        return max(corrected, len(self._sent))

    def num_waiting_prefill_tokens(self, now_s: float, tokens_per_s: float) -> int:
        """Return the estimated prompt tokens that the engine computes before a new request's."""
        drained = (now_s - self._backlog_at_s) * tokens_per_s
        return max(0, int(self._backlog_tokens - drained))

    def record_report(
        self,
        num_reports: int,
        reported_at_s: float,
        num_requests: int,
        num_prefill_tokens: int,
        tokens_per_s: float,
    ) -> None:
        """Reset the estimate to a report, and add this node's sends since the report was made."""
        self.num_reports = num_reports
        self._reported_at_s = reported_at_s
        self._num_reported = num_requests
        self._num_unreported = 0
        self._num_ended_since = 0
        self._backlog_tokens = float(num_prefill_tokens)
        self._backlog_at_s = reported_at_s
        for sent in self._sent.values():
            if sent.sent_at_s > reported_at_s:
                self._num_unreported += 1
                self._add_backlog(sent, tokens_per_s)

    def record_send(
        self, attempt: AttemptKey, num_prefill_tokens: int, now_s: float, tokens_per_s: float
    ) -> None:
        """Count an attempt that this node sends."""
        sent = _SentAttempt(now_s, num_prefill_tokens)
        self._sent[attempt] = sent
        self._num_unreported += 1
        self._add_backlog(sent, tokens_per_s)

    def record_end(self, attempt: AttemptKey, duration_s: float | None) -> None:
        """Remove an attempt that has ended; `duration_s` is None if it must not be averaged."""
        sent = self._sent.pop(attempt, None)
        if sent is None:
            return
        if sent.sent_at_s > self._reported_at_s:
            self._num_unreported = max(0, self._num_unreported - 1)
        else:
            self._num_ended_since += 1
        if duration_s is not None:
            self._smooth_duration(duration_s)

    def _add_backlog(self, sent: _SentAttempt, tokens_per_s: float) -> None:
        drained = max(0.0, sent.sent_at_s - self._backlog_at_s) * tokens_per_s
        remaining = max(0.0, self._backlog_tokens - drained)
        self._backlog_tokens = remaining + sent.num_prefill_tokens
        self._backlog_at_s = max(self._backlog_at_s, sent.sent_at_s)

    def _smooth_duration(self, duration_s: float) -> None:
        if self._mean_duration_s == 0.0:
            self._mean_duration_s = duration_s
        else:
            self._mean_duration_s += SMOOTHING * (duration_s - self._mean_duration_s)


SMOOTHING = 0.1
"""Weight of a new duration in the smoothed one; averages over about the last ten."""
