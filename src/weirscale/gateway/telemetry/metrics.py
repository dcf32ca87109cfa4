"""Metrics of a gateway process, exported with the Prometheus client library.

Operators rely on the names, labels and help texts, so these keep their wording even where the code
uses other terms. The number of label values is bounded: routes and back ends are not used as
labels, because they come and go.
"""

from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.telemetry.node_metrics import GaugeValues
from weirscale.gateway.telemetry.request_summary import RequestSummary

NEVER_PROVED_AGE_S = 1e9
"""Exported age in seconds of a state that was never proved current, so that graphs get a finite
number."""

MAX_TENANT_LABELS = 32
"""Maximum number of tenants with their own label value, in the order in which they are first seen.
Bounds the number of time series that a node exports."""

OTHER_TENANTS = "others"

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds in seconds of the histogram buckets for the time to the first byte. Each is about
twice the previous one."""


class _RequestMetrics:
    """Counts requests that have ended."""

    def __init__(self, registry: CollectorRegistry) -> None:
        counter = partial(Counter, registry=registry)
        self._requests = counter(
            "weirscale_requests", "Requests by kind and outcome", ("kind", "outcome")
        )
        self._attempts = counter("weirscale_attempts", "Attempts at back ends")
        self._bodies = counter(
            "weirscale_answer_bodies", "Bodies of back ends' answers by framing and end",
            ("framing", "end"),
        )  # fmt: skip
        self._first_byte = Histogram(
            "weirscale_first_byte_seconds", "Time to the first byte of the answer", ("kind",),
            buckets=LATENCY_BUCKETS_S, registry=registry,
        )  # fmt: skip
        self._tokens = counter(
            "weirscale_prompt_tokens", "Prompt tokens by how they were expected to be had",
            ("source",),
        )  # fmt: skip
        self._overload_refusals = counter(
            "weirscale_overload_refusals", "Callers told to come back because of the queues",
            ("kind",),
        )  # fmt: skip
        self._late_answers = counter(
            "weirscale_late_answers", "Answers later, or with longer pauses, than aimed at",
            ("kind",),
        )  # fmt: skip
        self._deadlines_passed = counter(
            "weirscale_deadlines_passed", "Requests sent on whose time was over before an answer",
            ("kind",),
        )  # fmt: skip
        self._quota_refusals = counter(
            "weirscale_quota_refusals", "Requests refused for their tenant's quota", ("tenant",)
        )
        self._quarantine_refusals = counter(
            "weirscale_quarantine_refusals", "Tries that were refused for earlier crashes",
            ("kind",),
        )  # fmt: skip

    def count(self, summary: RequestSummary, tenant_labels: "_TenantLabels") -> None:
        """Count a request that has ended."""
        kind = summary.route.kind.value if summary.route else "none"
        self._requests.labels(kind, summary.outcome.value).inc()
        self._attempts.inc(summary.num_attempts)
        for body in summary.bodies:
            self._bodies.labels(body.framing.value, body.end.value).inc()
        self._late_answers.labels(kind).inc(summary.is_late())
        self._overload_refusals.labels(kind).inc(summary.is_overload_refusal())
        self._quarantine_refusals.labels(kind).inc(summary.is_quarantine_refusal())
        self._deadlines_passed.labels(kind).inc(summary.deadline_passed_after_sending())
        if summary.tenant is not None and summary.is_quota_refusal():
            self._quota_refusals.labels(tenant_labels.label_of(summary.tenant)).inc()
        if summary.first_byte_s is not None:
            self._first_byte.labels(kind).observe(summary.first_byte_s)
        if summary.choice is not None and summary.choice.scope is not None:
            self._tokens.labels("cached").inc(summary.choice.cached_tokens)
            self._tokens.labels("fetched").inc(summary.choice.fetched_tokens)
            self._tokens.labels("read").inc(summary.choice.read_tokens)
            self._tokens.labels("read_shared").inc(_shared_read_tokens(summary))


class _QuarantineGauges:
    """Gauges of what is suspected or refused because of crashes."""

    def __init__(self, registry: CollectorRegistry) -> None:
        gauge = partial(Gauge, registry=registry)
        self._suspects = gauge(
            "weirscale_crash_suspects", "Requests that back ends crashed under of late"
        )
        self._quarantined = gauge(
            "weirscale_quarantined_requests", "Requests that are refused for their crashes"
        )
        self._suspect_blocks = gauge(
            "weirscale_crash_suspect_blocks", "Prompt blocks that back ends crashed with of late"
        )
        self._quarantined_blocks = gauge(
            "weirscale_quarantined_blocks",
            "Groups of prompt blocks whose requests are refused for crashes",
        )

    def update(self, values: GaugeValues) -> None:
        """Set the gauges to the given values."""
        self._suspects.set(values.num_suspects)
        self._quarantined.set(values.num_quarantined)
        self._suspect_blocks.set(values.num_suspect_blocks)
        self._quarantined_blocks.set(values.num_quarantined_blocks)


class _NodeGauges:
    """Gauges that are updated at each scrape."""

    def __init__(self, registry: CollectorRegistry) -> None:
        gauge = partial(Gauge, registry=registry)
        self._state_age = gauge(
            "weirscale_knowledge_age_seconds", "Time since the state was proved current"
        )
        self._configuration_version = gauge("weirscale_configuration_version", "Version in force")
        self._back_ends = gauge("weirscale_back_ends", "Registered back ends")
        self._displaced = gauge(
            "weirscale_back_ends_displaced",
            "Times since the start that another run was taken for the process at an address",
        )
        self._lease_held = gauge("weirscale_rollout_lease_held", "Whether this node gives orders")
        self._retry_budget_left = gauge(
            "weirscale_retry_budget_left", "Repeats that may be spent now", ("service",)
        )
        self._queue_share = gauge(
            "weirscale_queue_limit_share", "Share of the bound on queues that is in force",
            ("service",),
        )  # fmt: skip
        self._quota_left = gauge(
            "weirscale_quota_left", "What is left of a tenant's quota, in its unit", ("tenant",)
        )
        self._quarantines = _QuarantineGauges(registry)
        self._lost_paths = gauge(
            "weirscale_lost_paths", "Back ends that other nodes reach and this node does not"
        )
        self._all_paths_lost = gauge(
            "weirscale_all_paths_lost", "Whether the paths to all back ends count as lost"
        )
        self._relayed_for_peers = gauge(
            "weirscale_relayed_for_peers", "Connections that this node relays for other nodes"
        )
        self._rollout_stage = gauge(
            "weirscale_rollout_stage", "Stage of a service's rollout: 1 for the one it is at",
            ("service", "stage"),
        )  # fmt: skip
        self.log_lines_dropped = gauge(
            "weirscale_log_lines_dropped", "Log lines dropped since the start"
        )

    def update(self, values: GaugeValues, tenant_labels: "_TenantLabels") -> None:
        """Set all gauges to the given values."""
        self._state_age.set(min(values.state_age_s, NEVER_PROVED_AGE_S))
        self._configuration_version.set(values.configuration_version)
        self._back_ends.set(values.num_back_ends)
        self._displaced.set(values.num_displaced)
        self._lease_held.set(1 if values.holds_lease else 0)
        for service, share in values.queue_shares.items():
            self._queue_share.labels(service).set(share)
        for tenant, left in values.quota_levels.items():
            if tenant_labels.label_of(tenant) == tenant:
                self._quota_left.labels(tenant).set(left)
        self._quarantines.update(values)
        self._lost_paths.set(values.num_lost_paths)
        self._all_paths_lost.set(1 if values.are_all_paths_lost else 0)
        self._relayed_for_peers.set(values.num_relayed_for_peers)
        self._rollout_stage.clear()
        for service, stage in values.rollout_stages.items():
            self._rollout_stage.labels(service, stage).set(1)
        for service, left in values.retries_left.items():
            self._retry_budget_left.labels(service).set(left)


class _TenantLabels:
    """Bounds the number of label values for tenants."""

    def __init__(self) -> None:
        self._labels: set[str] = set()

    def label_of(self, tenant: str) -> str:
        """Return the label value of a tenant; tenants beyond the maximum share one."""
        if len(self._labels) < MAX_TENANT_LABELS:
            self._labels.add(tenant)
        return tenant if tenant in self._labels else OTHER_TENANTS


class GatewayMetrics:
    """The metrics of one gateway process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._tenant_labels = _TenantLabels()
        self._requests = _RequestMetrics(self.registry)
        self._gauges = _NodeGauges(self.registry)
        self._store_calls = Counter(
            "weirscale_store_calls", "Calls to the store by kind and result", ("kind", "result"),
            registry=self.registry,
        )  # fmt: skip
        self._rollout_requests = Counter(
            "weirscale_rollout_requests", "Attempts under a rollout of a service's program",
            ("service", "side", "end"), registry=self.registry,
        )  # fmt: skip
        self._resumed_streams = Counter(
            "weirscale_streams_resumed", "Streams that callers take up, by how they are known",
            ("known_by",), registry=self.registry,
        )  # fmt: skip
        self._shed_connections = Counter(
            "weirscale_shed_connections", "Callers' connections closed unread in an overload",
            registry=self.registry,
        )  # fmt: skip
        self._unexpected_errors = Counter(
            "weirscale_unexpected_errors", "Defects that ended one piece of work", ("work",),
            registry=self.registry,
        )  # fmt: skip
        self._relayed_connections = Counter(
            "weirscale_relayed_connections", "Connections to back ends opened through other nodes",
            registry=self.registry,
        )  # fmt: skip

    def count_request(self, summary: RequestSummary) -> None:
        """Count a request that has ended."""
        self._requests.count(summary, self._tenant_labels)

    def count_store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(kind, result).inc()

    def count_rollout_end(self, service: ServiceName, side: str, end: str) -> None:
        """Count an attempt during a rollout by the side it went to and how it ended."""
        self._rollout_requests.labels(service, side, end).inc()

    def count_resumed_stream(self, known_by: str) -> None:
        """Count a stream that a caller takes up, by how its origin is known."""
        self._resumed_streams.labels(known_by).inc()

    def count_unexpected_error(self, work: str) -> None:
        """Count an error that nobody expected, by the kind of the work that it ended."""
        self._unexpected_errors.labels(work).inc()

    def count_shed_connection(self) -> None:
        """Count a connection of a caller that was closed unread because of an overload."""
        self._shed_connections.inc()

    def count_relayed_connection(self) -> None:
        """Count a connection to a back end that was opened through another node."""
        self._relayed_connections.inc()

    def text(self, values: GaugeValues) -> bytes:
        """Update the gauges, and return all metrics in the Prometheus text format."""
        self._gauges.update(values, self._tenant_labels)
        return generate_latest(self.registry)


def _shared_read_tokens(summary: RequestSummary) -> int:
    """Return how many tokens of shared prompt blocks the engine was expected to prefill."""
    prompt, choice = summary.request.prompt, summary.choice
    if prompt is None or choice is None or not prompt.blocks:
        return 0
    return max(0, choice.read_tokens - prompt.blocks[-1].num_tokens)
