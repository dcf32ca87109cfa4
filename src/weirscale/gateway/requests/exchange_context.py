"""What the requests of a node share: knowledge, choice, budgets, load, and the telling of it."""

from collections.abc import Callable

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.durations import MILLISECONDS_PER_S, age_ms
from weirscale.gateway.limits.isolation import IsolationDetector
from weirscale.gateway.limits.quota import QuotaDecision, QuotaLedger
from weirscale.gateway.limits.retry_budget import SharedRetryBudget
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import Route
from weirscale.gateway.model.identifiers import InstanceId
from weirscale.gateway.model.prompt import Prompt
from weirscale.gateway.peers.messages import SendGossip, SuspectGossip
from weirscale.gateway.peers.outbox import GossipOutbox
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports.back_end import Answer, BackEndPort
from weirscale.gateway.quarantine.crash_check import CrashCheck, LostRequest
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint
from weirscale.gateway.quarantine.keeper import Quarantine
from weirscale.gateway.requests.attempt_timeout import PatienceKeeper
from weirscale.gateway.requests.outcome import CANCELLED, AttemptEnd, Verdict, is_about_weights
from weirscale.gateway.requests.overload import QueueLimit
from weirscale.gateway.rollouts.canary_traffic import CanaryTraffic, Ending
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.dispatcher import Dispatcher
from weirscale.gateway.routing.health import BackEndHealth
from weirscale.gateway.routing.load import FleetLoad
from weirscale.gateway.routing.traffic_split import TrafficSplit
from weirscale.gateway.settings import Guarantees
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.telemetry.node_metrics import NodeMetrics
from weirscale.gateway.telemetry.request_summary import ExchangeSummary
from weirscale.gateway.weights.version_check import VersionCheck
from weirscale.ports.event_log import EventLog

PROOF_SHARE = 0.92
"""Share of the bound on removed keys for which a proof of the configuration holds. A removal that
is not known is younger than the proof, and a request is sent before it is admitted."""

MAX_PRIORITY = 9
PRIORITIES_A_TENANT = 3
DEFAULT_TENANT_PRIORITY = 1

FIRST_EVENT_SHARE = 1.2
"""Share of the objective after which a silent engine is left, where another may take over."""

FIRST_EVENT_FACTOR = 3.0
"""The wait is at least this multiple of the estimate."""

STALL_FACTOR = 1.5
"""A stream without an event for this multiple of its longest pause is taken up elsewhere, ..."""

SLOW_PAUSE_FACTOR = 3.0
"""... but not before this multiple of the usual pause: where all engines read long prompts, all
streams pause, and another engine would only read the prompt once more."""

PAUSE_WEIGHT = 0.02
"""Weight of one pause in the usual pause: some 50 count."""

LONG_READ_TOKENS = 2_000
"""A prompt of which an engine reads this much, some 50 ms, is gossiped within the group at once:
two such prompts at one engine make every stream there pause."""

OVERDUE_FACTOR = 2.0
"""An attempt that was given up without an event after this multiple of the objective counts as
failed: callers and deadlines end what hangs."""

DEFAULT_MAX_PAUSE_S = 0.5
BLAMED = frozenset({"no_answer", "other_answer", "body_broken", "too_slow", "no_seal"})
"""Ends without a verdict of the back end's own that count against it."""


class ExchangeContext:
    """Shared by all requests of a node.

    Args:
        bounds: The deployment's bounds.
        knowledge: The platform's state.
        dispatcher: Chooses back ends.
        load: Work at back ends.
        health: Circuits.
        budget: Retry budget.
        quotas: What tenants may spend.
        peers: Other nodes.
        outbox: What peers are told.
        tell_now: Has peers told without waiting for the next regular message.
        contact: Whether this node is cut off.
        version_check: Asks engines that have other weights than believed.
        trials: Rollouts of services' programs.
        quarantine: Requests that crash back ends.
        port_of: Returns the port of a back end.
        event_log: Decisions.
        metrics: Figures.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        bounds: Guarantees,
        cluster: ClusterState,
        dispatcher: Dispatcher,
        load: FleetLoad,
        health: BackEndHealth,
        budget: SharedRetryBudget,
        quotas: QuotaLedger,
        peers: PeerDirectory,
        outbox: GossipOutbox,
        tell_now: Callable[[], None],
        isolation: IsolationDetector,
        version_check: VersionCheck,
        trials: CanaryTraffic,
        quarantine: Quarantine,
        port_of: Callable[[BackEnd], BackEndPort],
        event_log: EventLog,
        metrics: NodeMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._key_removal_s = bounds.key_removal_s
        self.cluster = cluster
        self.dispatcher = dispatcher
        self._load = load
        self._health = health
        self._budget = budget
        self.quotas = quotas
        self._peers = peers
        self._outbox = outbox
        self._tell_now = tell_now
        self.isolation = isolation
        self._version_check = version_check
        self.trials = trials
        self.quarantine = quarantine
        self.crash_check = CrashCheck(cluster, port_of, self._take_crash)
        self.port_of = port_of
        self._event_log = event_log
        self._metrics = metrics
        self.clock = clock
        self.split = TrafficSplit()
        self.patience = PatienceKeeper(clock)
        self._waiting: dict[int, int] = {}
        self._usual_pause_s: dict[ServiceName, float] = {}
        self._queue_limits: dict[ServiceName, QueueLimit] = {}

    def set_bounds(self, bounds: Guarantees) -> None:
        """Change the bounds."""
        self._key_removal_s = bounds.key_removal_s

    def is_current(self) -> bool:
        """Whether the configuration is proved to be current enough for keys."""
        bound_s = self._key_removal_s
        return bound_s is None or self.cluster.age_s() <= PROOF_SHARE * bound_s

    def priority(self, tenant_priority: int | None, route_priority: int) -> int:
        """Combine priorities: the tenant's goes before the route's; 0 is the most urgent."""
        tenant = DEFAULT_TENANT_PRIORITY if tenant_priority is None else tenant_priority
        route = min(route_priority, PRIORITIES_A_TENANT - 1)
        return min(MAX_PRIORITY, max(0, tenant * PRIORITIES_A_TENANT + route))

    def take_retry(self, service: ServiceName) -> bool:
        """Spend one repeat of the shared budget."""
        return self._budget.try_take(service, self._peers.num_nodes(), self.clock())

    def first_event_patience_s(self, route: Route, choice: Choice) -> float:
        """Return how long to wait for a first event before another back end is tried."""
        return max(FIRST_EVENT_SHARE * route.objective_s, FIRST_EVENT_FACTOR * choice.estimate_s)

    def stall_patience_s(self, route: Route, service: ServiceName) -> float:
        """Return how long a stream may be silent before it is taken up elsewhere."""
        usual_s = self._usual_pause_s.get(service, 0.0)
        longest_s = route.max_pause_s or DEFAULT_MAX_PAUSE_S
        return max(STALL_FACTOR * longest_s, SLOW_PAUSE_FACTOR * usual_s)

    def queue_limit(self, service: ServiceName) -> QueueLimit:
        """Return the bound on the queues of a service."""
        return self._queue_limits.setdefault(service, QueueLimit())

    def note_stream(self, service: ServiceName, route: Route, longest_pause_s: float) -> None:
        """Learn from one run of a stream that has made events."""
        allowed_s = route.max_pause_s or DEFAULT_MAX_PAUSE_S
        self.queue_limit(service).note_stream(longest_pause_s > allowed_s)

    def note_pause(self, service: ServiceName, pause_s: float) -> None:
        """Learn from a pause between two events of one run."""
        usual_s = self._usual_pause_s.get(service, pause_s)
        self._usual_pause_s[service] = usual_s + PAUSE_WEIGHT * (pause_s - usual_s)

    def begin(self, choice: Choice, prompt: Prompt | None, is_first: bool) -> None:
        """An attempt begins."""
        back_end = choice.candidate.back_end
        held = prompt.num_tokens if prompt else 0
        self._load.request_sent(back_end.instance, choice.read_tokens, held)
        self._waiting[id(choice)] = choice.read_tokens
        if is_first:
            self._budget.request_sent(back_end.service, self.clock())
        if prompt is not None and choice.scope is not None:
            self.dispatcher.prompt_sent(choice, prompt)
            self._tell_send(choice, prompt, is_ready=False)
        if choice.read_tokens >= LONG_READ_TOKENS:
            self._tell_now()

    def first_event(self, choice: Choice, prompt: Prompt | None, took_s: float) -> None:
        """The first event of an attempt arrived: its prompt has been read."""
        self.dispatcher.wait_ended(choice)
        self.dispatcher.first_event_received(choice, took_s)
        instance = choice.candidate.back_end.instance
        self._load.first_event_received(instance, self._waiting.pop(id(choice), 0))
        if prompt is not None and choice.scope is not None:
            self.dispatcher.prompt_read(choice, prompt)
            self._tell_send(choice, prompt, is_ready=True)

    def end(self, choice: Choice, prompt: Prompt | None, verdict: Verdict) -> None:
        """An attempt has ended."""
        self.dispatcher.wait_ended(choice)
        instance = choice.candidate.back_end.instance
        was_unread = id(choice) in self._waiting
        self._load.first_event_received(instance, self._waiting.pop(id(choice), 0))
        self._load.request_ended(instance, prompt.num_tokens if prompt else 0)
        if was_unread and prompt is not None:
            self.dispatcher.prompt_not_read(choice, prompt)
        self._judge_health(instance, verdict)

    def _judge_health(self, instance: InstanceId, verdict: Verdict) -> None:
        now_s = self.clock()
        if verdict.end is AttemptEnd.ANSWERED:
            self._health.succeeded(instance, now_s)
        elif verdict.end is AttemptEnd.UNRUN:
            self.dispatcher.request_refused(instance)
            if is_about_weights(verdict):
                self._version_check.request(instance)
        elif verdict.end is AttemptEnd.NEVER_SENT:
            self._health.unreachable(instance, verdict.reason, now_s)
            self._outbox.add_suspect(SuspectGossip(instance))
        elif verdict.end is AttemptEnd.FAILED or verdict.reason in BLAMED:
            self._health.failed(instance, verdict.reason, now_s)

    def note_lost(self, back_end: BackEnd, request: RequestFingerprint, came_again: bool) -> None:
        """The connection to a back end ended under a request: it may have crashed."""
        self.crash_check.request(back_end, LostRequest(request, came_again))

    def _take_crash(self, back_end: BackEnd, lost: tuple[LostRequest, ...]) -> None:
        """A back end crashed: nothing more is sent there, and peers are told at once."""
        self._event_log.event(
            "back_end_crashed", instance=back_end.instance, run=back_end.run_id,
            requests=len(lost),
        )  # fmt: skip
        self._health.unreachable(back_end.instance, "crashed", self.clock())
        self._outbox.add_suspect(SuspectGossip(back_end.instance))
        for one in lost:
            self.quarantine.note_crash(one.fingerprint, back_end.run_id, one.was_sent_after_crash)
        self._tell_now()

    def note_version(
        self,
        choice: Choice,
        route: Route,
        verdict: Verdict,
        times: AttemptTimes,
        ended_s: float,
    ) -> None:
        """Count an attempt for the version of its back end.

        One that did not run for a reason of its engine's weights tells nothing of the version, nor
        does one that its caller left before it was overdue.
        """
        back_end = choice.candidate.back_end
        is_overdue = times.first_s is None and ended_s > OVERDUE_FACTOR * route.objective_s
        if is_about_weights(verdict) or (verdict.reason == CANCELLED and not is_overdue):
            return
        if not self.trials.is_open(back_end.service):
            return
        expected_s = None if choice.scope is None else choice.estimate_s
        is_sound = verdict.end is AttemptEnd.ANSWERED
        self.trials.note_end(back_end, route, Ending(is_sound, times.ended(ended_s, expected_s)))

    def note_answer(self, choice: Choice, prompt: Prompt | None, answer: Answer) -> None:
        """Learn from the head of an answer which weights the engine has."""
        if prompt is None or answer.weight_version is None or choice.scope is None:
            return
        instance = choice.candidate.back_end.instance
        self.cluster.learn_version(instance, prompt.model, answer.weight_version, "answer")

    def _tell_send(self, choice: Choice, prompt: Prompt, is_ready: bool) -> None:
        assert choice.scope is not None
        instance = choice.candidate.back_end.instance
        self._outbox.add_send(SendGossip(instance, choice.scope, is_ready, prompt.blocks))

    def tell_end(self, summary: ExchangeSummary) -> None:
        """Log and count a request that has ended."""
        self._metrics.count_request(summary)
        self._event_log.event("request_ended", **self._fields(summary))

    def _fields(self, summary: ExchangeSummary) -> dict[str, object]:
        table = self.cluster.table
        fields: dict[str, object] = {
            "id": summary.request.request_id,
            "outcome": summary.stage.value,
            "status": summary.status,
            "route": summary.route.name if summary.route else "",
            "service": summary.service or "",
            "attempts": summary.num_attempts,
            "ms": round(summary.duration_s * MILLISECONDS_PER_S, 1),
            "config": table.version if table else 0,
            "config_age_ms": age_ms(self.cluster.age_s()),
        }
        if summary.first_byte_s is not None:
            fields["first_ms"] = round(summary.first_byte_s * MILLISECONDS_PER_S, 1)
        if summary.longest_pause_s:
            fields["pause_ms"] = round(summary.longest_pause_s * MILLISECONDS_PER_S, 1)
        if summary.choice is not None:
            fields.update(_choice_fields(summary.choice))
            if summary.service is not None and self.trials.is_open(summary.service):
                fields["software"] = summary.choice.candidate.back_end.software
                fields["trial"] = int(summary.choice.is_canary)
            if summary.service is not None and summary.choice.scope is not None:
                fields["queue_share"] = round(self.queue_limit(summary.service).share, 2)
        if summary.quota is not None:
            fields["tenant"] = summary.tenant
            fields.update(_quota_fields(summary.quota))
        if summary.fingerprint is not None:
            fields["request"] = summary.fingerprint
        if summary.causes:
            fields["causes"] = ",".join(summary.causes)
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
        "estimate_ms": round(choice.estimate_s * MILLISECONDS_PER_S, 1),
    }
    if choice.candidate.has_old_weights:
        fields["newest"] = choice.candidate.newest_version
        fields["owed_ms"] = age_ms(choice.candidate.weights_behind_s)
    return fields
