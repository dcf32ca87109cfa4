"""Counters and histograms of a gateway process, by the standard client library.

Label sets are bounded: routes and back ends come and go, so neither is a label.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from weirscale.gateway.summary import ExchangeSummary

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class GatewayMetrics:
    """The figures of one process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "weirscale_requests", "Requests by kind and outcome", ("kind", "outcome"),
            registry=self.registry,
        )  # fmt: skip
        self._attempts = Counter(
            "weirscale_attempts", "Attempts at back ends", registry=self.registry
        )
        self._first_byte = Histogram(
            "weirscale_first_byte_seconds", "Time to the first byte of the answer", ("kind",),
            buckets=LATENCY_BUCKETS_S, registry=self.registry,
        )  # fmt: skip
        self._tokens = Counter(
            "weirscale_prompt_tokens", "Prompt tokens by how they were expected to be had",
            ("source",), registry=self.registry,
        )  # fmt: skip
        self._store_calls = Counter(
            "weirscale_store_calls", "Calls to the store by kind and result", ("kind", "result"),
            registry=self.registry,
        )  # fmt: skip
        self.knowledge_age = Gauge(
            "weirscale_knowledge_age_seconds", "Time since the state was proved current",
            registry=self.registry,
        )  # fmt: skip
        self.configuration_version = Gauge(
            "weirscale_configuration_version", "Version in force", registry=self.registry
        )
        self.back_ends = Gauge(
            "weirscale_back_ends", "Registered back ends", registry=self.registry
        )
        self.lease_held = Gauge(
            "weirscale_rollout_lease_held", "Whether this node gives orders",
            registry=self.registry,
        )  # fmt: skip
        self.retry_budget_left = Gauge(
            "weirscale_retry_budget_left", "Repeats that may be spent now", ("service",),
            registry=self.registry,
        )  # fmt: skip
        self.log_lines_dropped = Gauge(
            "weirscale_log_lines_dropped", "Log lines dropped since the start",
            registry=self.registry,
        )  # fmt: skip

    def count_request(self, summary: ExchangeSummary) -> None:
        """Count a request that has ended."""
        kind = summary.route.kind.value if summary.route else "none"
        self._requests.labels(kind, summary.stage.value).inc()
        self._attempts.inc(summary.num_attempts)
        if summary.first_byte_s is not None:
            self._first_byte.labels(kind).observe(summary.first_byte_s)
        if summary.choice is not None and summary.choice.scope is not None:
            self._tokens.labels("cached").inc(summary.choice.cached_tokens)
            self._tokens.labels("fetched").inc(summary.choice.fetched_tokens)
            self._tokens.labels("read").inc(summary.choice.read_tokens)

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(kind, result).inc()

    def text(self) -> bytes:
        """Return all figures in the text format."""
        return generate_latest(self.registry)
