"""One attempt: sends a request to one back end, relays the answer and evaluates the result."""

import anyio

from weirscale.gateway.model.configuration import RequestKind
from weirscale.gateway.ports.back_end import (
    Answer,
    BodyBrokenError,
    BodyEnd,
    BodyFraming,
    OutboundRequest,
)
from weirscale.gateway.requests.admission import AdmittedRequest
from weirscale.gateway.requests.attempt_records import EndedAttempt
from weirscale.gateway.requests.attempt_timeout import AttemptTimeout
from weirscale.gateway.requests.attempt_verdict import (
    BODY_BROKEN,
    CANCELLED,
    SUCCESS,
    TOO_SLOW,
    AttemptEnd,
    Verdict,
    judge_answer,
    judge_failure,
    proves_run,
)
from weirscale.gateway.requests.crash_reports import CrashGuard
from weirscale.gateway.requests.events import may_be_events
from weirscale.gateway.requests.relay import AnswerRelay, read_whole_body
from weirscale.gateway.requests.request_context import RequestContext
from weirscale.gateway.requests.retry_decision import (
    AttemptHistory,
    FailedAnswer,
    may_abandon_when_silent,
)
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.telemetry.request_summary import AnswerBody

LOWEST_PRIORITY = 9
"""Least urgent priority that back ends accept (published protocol of the platform)."""

NUM_ROUTE_PRIORITIES = 3
"""Number of route priorities that are distinguished within each tenant priority."""

DEFAULT_TENANT_PRIORITY = 1
"""Tenant priority of a request without a tenant, or of a tenant without a priority."""

ANNOUNCEMENT_REPEAT_S = 0.2
"""Seconds after which the begin of a stream is announced again. Most streams have ended by then;
those that have not are the likeliest to be taken up at another node."""


class Attempt:
    """Runs one attempt at a request.

    Args:
        context: Parts that all requests of the node share.
        admitted: The request.
        choice: The selected back end and its estimates.
        relay: Relays the answer to the caller.
        history: Earlier attempts at the request; updated with this one.
        guard: Tracks whether the request may have crashed back ends; updated with this attempt.
    """

    def __init__(
        self,
        context: RequestContext,
        admitted: AdmittedRequest,
        choice: Choice,
        relay: AnswerRelay,
        history: AttemptHistory,
        guard: CrashGuard,
    ) -> None:
        self._context = context
        self._records = context.records
        self._admitted = admitted
        self._prompt = admitted.request.prompt
        self._choice = choice
        self._back_end = choice.candidate.back_end
        self._port = context.port_of(self._back_end)
        self._body: AnswerBody | None = None
        """The body of the answer, once its head has arrived."""
        self._relay = relay
        self._history = history
        self._guard = guard
        self._began_s = 0.0
        self._times = AttemptTimes()
        self._timeout: AttemptTimeout | None = None
        """None if the attempt must not be abandoned when the back end is silent."""
        self._announce_again_at_s: float | None = None

    async def run(self) -> AttemptEnd:
        """Send the request, relay the answer if permitted, and return how the attempt ended."""
        self._start()
        verdict = Verdict(AttemptEnd.UNCERTAIN, CANCELLED)
        is_first = self._history.num_attempts == 1
        scope = anyio.CancelScope()
        timeout = self._create_timeout(scope)
        self._context.timeouts.watch(timeout)
        traffic_key = self._context.traffic.attempt_began(self._back_end.address)
        try:
            with scope:
                verdict = await self._send()
            if scope.cancelled_caught:
                verdict = Verdict(AttemptEnd.UNCERTAIN, TOO_SLOW)
        finally:
            self._context.timeouts.unwatch(timeout)
            self._context.traffic.attempt_ended(traffic_key)
            # Break the reference cycle between the attempt and its timeout, which would otherwise
            # keep both in memory until the garbage collector runs.
            self._timeout = None
            took_s = self._context.clock() - self._began_s
            ended = EndedAttempt(verdict, self._times, took_s, is_first)
            self._records.record_end(self._choice, self._prompt, self._admitted.route, ended)
        if verdict.end in (AttemptEnd.NEVER_SENT, AttemptEnd.NOT_RUN):
            self._context.admission.refund(self._admitted)
        self._history.add_verdict(self._back_end.instance, verdict)
        self._guard.attempt_ended(self._back_end, verdict, self._times.writing_s(took_s))
        return verdict.end

    def _start(self) -> None:
        """Record the start of the attempt."""
        history = self._history
        history.num_attempts += 1
        self._began_s = self._context.clock()
        history.tried.add(self._back_end.instance)
        self._context.selector.request_sent(self._back_end)
        self._records.record_start(self._choice, self._prompt, is_unreached=not history.reached)
        self._context.admission.charge(self._admitted)
        if history.num_attempts == 1:
            self._records.verdicts.add_canary_allowance(self._back_end.service)
        self._guard.attempt_begins()

    def _create_timeout(self, scope: anyio.CancelScope) -> AttemptTimeout:
        """Return the attempt's timeout, started only if another back end could take over."""
        timeout = AttemptTimeout(scope, self._take_retry, self._is_busy_with_others)
        route, choice = self._admitted.route, self._choice
        if may_abandon_when_silent(self._history, route, choice.num_candidates):
            self._timeout = timeout
            wait_s = self._context.pauses.first_event_timeout_s(route, choice)
            timeout.start(self._context.clock(), wait_s)
        return timeout

    def _is_busy_with_others(self, since_s: float) -> bool:
        """Return whether the back end worked after `since_s` and has other prompts to prefill."""
        return self._records.is_busy_with_others(self._choice, since_s)

    def _take_retry(self) -> bool:
        """Take a retry from the shared budget before a silent attempt is abandoned."""
        can_continue = self._relay.can_continue
        if not (can_continue and self._context.selector.has_other(self._admitted, self._history)):
            return False
        self._history.holds_retry = self._context.retry_budget.try_take(self._admitted.service)
        return self._history.holds_retry

    async def _send(self) -> Verdict:
        outbound = self._make_outbound()
        async with self._port.send(outbound) as sent:
            if sent.is_err():
                return judge_failure(sent.unwrap_err())
            answer = sent.unwrap()
            self._context.traffic.heard()
            verdict = judge_answer(answer, self._admitted.request.request_id, outbound.instance)
            if proves_run(answer, self._admitted.request.request_id, outbound.instance):
                self._context.answer_ends.answered(self._back_end, self._began_s)
            self._records.verdicts.record_weights(self._choice, self._prompt, answer)
            if verdict.end in (AttemptEnd.NOT_RUN, AttemptEnd.UNCERTAIN):
                return verdict
            return await self._relay_or_break(answer, verdict)

    def _make_outbound(self) -> OutboundRequest:
        admitted, choice, prompt = self._admitted, self._choice, self._prompt
        tenant = admitted.tenant
        is_generation = choice.scope is not None and prompt is not None
        save_to = None
        if prompt is not None:
            save_to = self._records.dispatcher.save_address(choice, prompt)
        return OutboundRequest(
            request=admitted.request,
            body=admitted.body,
            instance=self._back_end.instance,
            timeout_s=admitted.deadline_s - self._context.clock(),
            tenant=tenant.name if tenant else None,
            priority=combined_priority(admitted) if is_generation else None,
            cache_scope=choice.scope,
            weight_version=choice.candidate.weight_version,
            fetch_from=choice.fetch_from,
            save_to=save_to,
            resume_after=self._relay.last_event_id or admitted.request.resume_after,
        )

    async def _relay_or_break(self, answer: Answer, verdict: Verdict) -> Verdict:
        """Relay an answer, and record how its body ended."""
        body = self._body = AnswerBody(answer.framing)
        self._history.bodies.append(body)
        try:
            verdict = await self._relay_answer(answer, verdict)
        except BodyBrokenError as error:
            body.end = error.end
            return Verdict(AttemptEnd.UNCERTAIN, BODY_BROKEN)
        body.end = BodyEnd.WHOLE
        return verdict

    async def _relay_answer(self, answer: Answer, verdict: Verdict) -> Verdict:
        """Relay an answer, or keep it if the back end failed, because a retry may succeed."""
        is_stream = self._admitted.route.kind is RequestKind.STREAMING
        if is_stream and verdict == SUCCESS and may_be_events(answer.headers):
            # A caller that already has the last event gets no more of a stream that it takes up.
            is_taken_up = self._admitted.request.resume_after is not None
            ends_with_connection = answer.framing is BodyFraming.CONNECTION
            must_have_events = ends_with_connection and not is_taken_up
            await self._relay.relay_stream(answer, self, must_have_events)
            return verdict
        body = await read_whole_body(answer, self._context.answer_buffers)
        await self.body_ended()
        if verdict.end is AttemptEnd.FAILED:
            self._history.failed_answer = FailedAnswer(answer.status, answer.headers, body)
            return verdict
        if self._relay.has_begun:
            return Verdict(AttemptEnd.FAILED, f"status_{answer.status}_on_resume")
        await self._relay.relay_whole(answer.status, answer.headers, body)
        return verdict

    def events_arrived(self) -> None:
        """Record that events arrived, and restart the timeout for the next event."""
        self._context.traffic.heard()
        self._records.dispatcher.event_received(self._back_end.instance)
        if self._times.first_event_s is None:
            took_s = self._context.clock() - self._began_s
            self._times.first_event_s = took_s
            self._records.record_first_event(self._choice, self._prompt, took_s)
        self._times.num_parts += 1
        if self._timeout is not None:
            admitted = self._admitted
            wait_s = self._context.pauses.stall_timeout_s(admitted.route, admitted.service)
            self._timeout.start(self._context.clock(), wait_s)

    async def stream_begins(self) -> None:
        """Bind the stream to this back end's service version, unless it is taken up."""
        if self._history.stream_version is None:
            self._history.stream_version = self._back_end.software
            await self._context.streams.announce(self._admitted, self._back_end.software)
            self._announce_again_at_s = self._context.clock() + ANNOUNCEMENT_REPEAT_S

    async def events_relayed(self) -> None:
        """Announce a stream once more that lasts, as datagrams may be lost."""
        due_s = self._announce_again_at_s
        if due_s is not None and self._context.clock() >= due_s:
            self._announce_again_at_s = None
            await self._context.streams.announce(self._admitted, self._back_end.software)

    async def body_ended(self) -> None:
        """Make sure that the back end, not its crash, ended the body.

        Raises:
            BodyBrokenError: It is not known whether the back end ended the body.
        """
        self._times.body_ended_s = self._context.clock() - self._began_s
        if self._timeout is not None:
            self._timeout.stop()
        body = self._body
        if body is None or body.framing is not BodyFraming.CONNECTION:
            return
        self._guard.connection_ended(self._back_end)
        proof = await self._context.answer_ends.prove(self._back_end, self._port)
        body.proof_s = proof.waited_s
        if not proof.is_whole:
            raise BodyBrokenError(BodyEnd.UNPROVED)

    def paused(self, pause_s: float, began_s: float) -> None:
        """Record a pause between two events."""
        # A pause that began before this attempt was not caused by its back end.
        if began_s > self._began_s:
            pauses, now_s = self._context.pauses, self._context.clock()
            pauses.record_pause(self._admitted.service, pause_s)
            pauses.record_stall(self._back_end, self._admitted.route, pause_s, now_s)


def combined_priority(admitted: AdmittedRequest) -> int:
    """Return the priority for back ends, 0 being the most urgent.

    The tenant's priority takes precedence over the route's.
    """
    tenant = admitted.tenant
    tenant_priority = tenant.priority if tenant else None
    if tenant_priority is None:
        tenant_priority = DEFAULT_TENANT_PRIORITY
    route_priority = min(admitted.route.priority, NUM_ROUTE_PRIORITIES - 1)
    return min(LOWEST_PRIORITY, max(0, tenant_priority * NUM_ROUTE_PRIORITIES + route_priority))
