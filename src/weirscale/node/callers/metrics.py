"""Metrics of calls, in a registry of their own."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from weirscale.domain.request.model import RunStatus

_TIME_TO_FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.61, 1.0, 2.0, 5.0, 10.0)
_DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)

OK_CODE = "ok"
"""Code label of requests whose whole answer was sent."""

ABANDONED_CODE = "abandoned"
"""Code label of requests whose caller disconnected."""


class CallerMetrics:
    """Counters, gauges and histograms of calls."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self.requests = Counter(
            "weirscale_requests",
            "Requests ended, by kind, code of the answer and whether they ran.",
            ("kind", "code", "run_status"),
            registry=self.registry,
        )
        self.running = Gauge(
            "weirscale_requests_running", "Requests running now.", registry=self.registry
        )
        self.time_to_first_token = Histogram(
            "weirscale_time_to_first_token_seconds",
            "From a request's arrival to its first chunk.",
            buckets=_TIME_TO_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.duration = Histogram(
            "weirscale_request_duration_seconds",
            "From a request's arrival to its end.",
            ("kind",),
            buckets=_DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self.prompt_tokens = Counter(
            "weirscale_prompt_tokens",
            "Prompt tokens of answered requests, by where they came from.",
            ("source",),
            registry=self.registry,
        )
        self._cached = self.prompt_tokens.labels("cache")
        self._computed = self.prompt_tokens.labels("computed")

    def record_prompt_tokens(self, num_prompt_tokens: int, num_cached_tokens: int) -> None:
        """Count the prompt tokens of an answered request."""
        self._cached.inc(num_cached_tokens)
        self._computed.inc(num_prompt_tokens - num_cached_tokens)

    def record_end(self, kind: str, code: str, run_status: RunStatus, duration_s: float) -> None:
        """Count a request that has ended."""
        self.requests.labels(kind, code, run_status.value).inc()
        self.duration.labels(kind).observe(duration_s)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
