"""Logs and counts requests that have ended."""

from weirscale.gateway.durations import MILLISECONDS_PER_S, age_ms
from weirscale.gateway.limits.quota import QuotaDecision
from weirscale.gateway.requests.stream_pauses import StreamPauses
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.node_metrics import NodeMetrics
from weirscale.gateway.telemetry.request_summary import (
    MAX_LOGGED_ID_CHARS,
    AnswerBody,
    RequestSummary,
)
from weirscale.ports.event_log import EventLog


class RequestLog:
    """Logs and counts requests that have ended.

    Args:
        event_log: Receives the log lines.
        metrics: Receives the counts.
        cluster: Provides the configuration in force and the age of its proof.
        canary_traffic: Reports which services have an open rollout.
        pauses: Provides the queue limits.
    """

    def __init__(
        self,
        event_log: EventLog,
        metrics: NodeMetrics,
        cluster: ClusterState,
        canary_traffic: CanaryTraffic,
        pauses: StreamPauses,
    ) -> None:
        self._event_log = event_log
        self._metrics = metrics
        self._cluster = cluster
        self._canary_traffic = canary_traffic
        self._pauses = pauses

    def add(self, summary: RequestSummary) -> None:
        """Log and count a request that has ended."""
        self._metrics.count_request(summary)
        self._event_log.event("request_ended", **self._request_fields(summary))

    def _request_fields(self, summary: RequestSummary) -> dict[str, object]:
        table = self._cluster.table
        fields: dict[str, object] = {
            "id": summary.request.request_id,
            "outcome": summary.outcome.value,
            "status": summary.status,
            "route": summary.route.name if summary.route else "",
            "service": summary.service or "",
            "attempts": summary.num_attempts,
            "ms": round(summary.duration_s * MILLISECONDS_PER_S, 1),
            "config": table.version if table else 0,
            "config_age_ms": age_ms(self._cluster.age_s()),
        }
        if summary.first_byte_s is not None:
            fields["first_ms"] = round(summary.first_byte_s * MILLISECONDS_PER_S, 1)
        if summary.longest_pause_s:
            fields["pause_ms"] = round(summary.longest_pause_s * MILLISECONDS_PER_S, 1)
        if summary.choice is not None:
            fields.update(_choice_fields(summary.choice))
            fields.update(self._service_fields(summary, summary.choice))
        fields.update(_stream_fields(summary))
        if summary.quota is not None:
            fields["tenant"] = summary.tenant
            fields.update(_quota_fields(summary.quota))
        if summary.fingerprint is not None:
            fields["request"] = summary.fingerprint
        if summary.quarantined_blocks:
            fields["blocks"] = summary.quarantined_blocks
        fields.update(_body_fields(summary.bodies))
        if summary.causes:
            fields["causes"] = ",".join(summary.causes)
        return fields

    def _service_fields(self, summary: RequestSummary, choice: Choice) -> dict[str, object]:
        fields: dict[str, object] = {}
        if summary.service is None:
            return fields
        if self._canary_traffic.has_open_rollout(summary.service):
            fields["software"] = choice.candidate.back_end.software
            fields["trial"] = int(choice.is_canary)
        if choice.scope is not None:
            fields["queue_share"] = round(self._pauses.queue_limit(summary.service).share, 2)
        return fields


def _body_fields(bodies: tuple[AnswerBody, ...]) -> dict[str, object]:
    """Return how the answers' bodies were framed and ended, and how long proofs of that took."""
    fields: dict[str, object] = {}
    if bodies:
        fields["bodies"] = ",".join(f"{body.framing}:{body.end}" for body in bodies)
    proofs_s = [body.proof_s for body in bodies if body.proof_s is not None]
    if proofs_s:
        fields["proof_ms"] = round(max(proofs_s) * MILLISECONDS_PER_S, 1)
    return fields


def _stream_fields(summary: RequestSummary) -> dict[str, object]:
    """Return which versions a resumable stream came from, and what a try that resumes one names."""
    fields: dict[str, object] = {}
    request, choice, route = summary.request, summary.choice, summary.route
    if request.resumes is not None:
        fields["resumes"] = request.resumes[:MAX_LOGGED_ID_CHARS]
    if request.resume_after is not None:
        fields["after"] = request.resume_after[:MAX_LOGGED_ID_CHARS]
    if route is None or not route.is_resumable or choice is None:
        return fields
    if summary.stream_version is not None and (summary.num_attempts > 1 or fields):
        fields["began_at"] = summary.stream_version
    fields["software"] = choice.candidate.back_end.software
    return fields


def _quota_fields(decision: QuotaDecision) -> dict[str, object]:
    return {
        "quota_cost": round(decision.cost),
        "quota_left": round(decision.level),
        "quota_share": round(decision.share, 2),
        "quota_age_ms": round(decision.age_s * MILLISECONDS_PER_S),
    }


def _choice_fields(choice: Choice) -> dict[str, object]:
    load = choice.candidate.load
    fields: dict[str, object] = {
        "instance": choice.candidate.back_end.instance,
        "weights": choice.candidate.weight_version or 0,
        "candidates": choice.num_candidates,
        "load": f"{load.num_requests}/{load.waiting_tokens}/{load.held_tokens}",
        "load_age_ms": round(choice.candidate.load_age_s * MILLISECONDS_PER_S),
        "cached": choice.cached_tokens,
        "fetched": choice.fetched_tokens,
        "read": choice.read_tokens,
        "missed": choice.missed_tokens,
        "estimate_ms": round(choice.estimate_s * MILLISECONDS_PER_S, 1),
    }
    if choice.candidate.has_old_weights:
        fields["newest"] = choice.candidate.newest_version
        fields["owed_ms"] = age_ms(choice.candidate.weights_behind_s)
    return fields
