"""The load of one engine: its last report, corrected by what this node has sent since.

Reports lag by up to seconds; without the correction every request of that time would go to the
engine that looked idle. Requests of other nodes since the report stay unknown.
"""

import msgspec

from weirscale.domain.identifiers import RequestId

AttemptKey = tuple[RequestId, int]
"""A request and the number of its attempt."""


class _Sent(msgspec.Struct, frozen=True):
    sent_at_s: float
    num_prefill_tokens: int


class LoadEstimate:
    """Estimate of one engine's load; owned by the routing task.

    Attributes:
        num_reports: The report taken in last, as the directory counts them.
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
        self._sent: dict[AttemptKey, _Sent] = {}

    @property
    def num_own_outstanding(self) -> int:
        """Attempts of this node that have not ended."""
        return len(self._sent)

    @property
    def mean_duration_s(self) -> float:
        """Smoothed time that an attempt takes, 0 before the first has ended."""
        return self._mean_duration_s

    def num_outstanding(self) -> int:
        """Return the requests on the engine, by all nodes as far as known."""
        corrected = self._num_reported + self._num_unreported - self._num_ended_since
        return max(corrected, len(self._sent))

    def num_waiting_prefill_tokens(self, now_s: float, tokens_per_s: float) -> int:
        """Return the prompt tokens to compute before a new request's."""
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
        """Start again from a report, adding what was sent after it was made."""
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
        sent = _Sent(now_s, num_prefill_tokens)
        self._sent[attempt] = sent
        self._num_unreported += 1
        self._add_backlog(sent, tokens_per_s)

    def record_end(self, attempt: AttemptKey, duration_s: float | None) -> None:
        """Forget an attempt that has ended; the duration is None where it tells nothing."""
        sent = self._sent.pop(attempt, None)
        if sent is None:
            return
        if sent.sent_at_s > self._reported_at_s:
            self._num_unreported = max(0, self._num_unreported - 1)
        else:
            self._num_ended_since += 1
        if duration_s is not None:
            self._smooth_duration(duration_s)

    def _add_backlog(self, sent: _Sent, tokens_per_s: float) -> None:
        drained = max(0.0, sent.sent_at_s - self._backlog_at_s) * tokens_per_s
        left = max(0.0, self._backlog_tokens - drained)
        self._backlog_tokens = left + sent.num_prefill_tokens
        self._backlog_at_s = max(self._backlog_at_s, sent.sent_at_s)

    def _smooth_duration(self, duration_s: float) -> None:
        if self._mean_duration_s == 0.0:
            self._mean_duration_s = duration_s
        else:
            self._mean_duration_s += SMOOTHING * (duration_s - self._mean_duration_s)


SMOOTHING = 0.1
"""Share of the newest duration in the smoothed one; about the last ten count."""
