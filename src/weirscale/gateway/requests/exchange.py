"""One request from its arrival to its end: admission, attempts, answer.

The rules: an answer goes to the caller only if it is whole and its own; a request that may have run
is sent again only if its route allows it; a refusal that promises "not run" is given only if no
attempt may have run; what is given up is answered at once.
"""

from collections.abc import Callable, Collection

import anyio

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.limits.quota import QuotaDecision
from weirscale.gateway.model.back_ends import BackEnd
from weirscale.gateway.model.configuration import RequestKind, Route, Tenant
from weirscale.gateway.model.identifiers import Address, InstanceId
from weirscale.gateway.ports.back_end import Answer, BodyBrokenError, OutboundRequest
from weirscale.gateway.ports.callers import CallerRequest, Headers
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, fingerprint_of
from weirscale.gateway.requests.attempt_timeout import Patience
from weirscale.gateway.requests.events import EventCutter
from weirscale.gateway.requests.exchange_context import ExchangeContext
from weirscale.gateway.requests.outcome import (
    BODY_BROKEN,
    CANCELLED,
    CONNECTION_LOST,
    WHOLE_SUCCESS,
    AttemptEnd,
    Verdict,
    judge_answer,
    judge_failure,
)
from weirscale.gateway.requests.overload import come_back_s, should_come_back
from weirscale.gateway.requests.responder import Responder
from weirscale.gateway.rollouts.gate import Track
from weirscale.gateway.rollouts.pace import AttemptTimes
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.routing.candidates import DispatchQuery
from weirscale.gateway.telemetry.request_summary import (
    NEVER_IN_QUOTA,
    OVER_QUOTA,
    OVERLOADED,
    QUARANTINED,
    ExchangeSummary,
    Stage,
)
from weirscale.ports.boot_clock import loop_deadline_s

HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY = 429
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504

NO_CONFIGURATION_RETRY_S = 0.5
CUT_OFF_RETRY_S = 0.02
"""A node that is cut off sends callers on at once: they come back to another node."""

NO_BACK_END_RETRY_S = 0.25
"""When a caller should come back. Callers honour up to a third of the time that they have left."""

FIRST_READ_PATIENCE_S = 1.0
"""Until this long after its start a node lets callers wait for its first reading of the state."""

FIRST_READ_SHARE = 0.5
"""Share of a caller's time that it may wait then."""

MIN_ATTEMPT_S = 0.02
"""With less time left an attempt is not worth beginning."""

MAX_WHOLE_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest answer that is gathered before it is passed on."""


class Exchange:
    """Runs one request.

    Args:
        context: What requests share.
        request: The request.
        body: Its whole body.
        responder: The caller's side.
        arrived_at_s: When its head arrived.
    """

    def __init__(
        self,
        context: ExchangeContext,
        request: CallerRequest,
        body: bytes,
        responder: Responder,
        arrived_at_s: float,
    ) -> None:
        self._context = context
        self._request = request
        self._body = body
        self._responder = responder
        self._arrived_at_s = arrived_at_s
        self._clock: Callable[[], float] = context.clock
        self._route: Route | None = None
        self._tenant: Tenant | None = None
        self._service: ServiceName | None = None
        self._deadline_s = 0.0
        self._excluded: set[InstanceId] = set()
        self._tried: set[InstanceId] = set()
        self._may_have_run = False
        self._num_attempts = 0
        self._attempt_began_s = arrived_at_s
        self._cutter = EventCutter()
        self._failed_answer: tuple[int, Headers, bytes] | None = None
        self._first_byte_s: float | None = None
        self._last_event_s: float | None = None
        self._longest_pause_s = 0.0
        self._attempt_pause_s: float | None = None
        self._attempt_times = AttemptTimes()
        self._choice: Choice | None = None
        self._causes: list[str] = []
        self._cost = 0.0
        self._quota_refusal: QuotaDecision | None = None
        self._may_be_tried_elsewhere = False
        self._has_retry = False
        """Whether a repeat of the shared budget was taken for the next attempt."""
        self._known_fingerprint: RequestFingerprint | None = None
        self._has_lost_back_end = False
        self._come_back_after_s = NO_BACK_END_RETRY_S
        self.stage = Stage.LEFT

    async def run(self) -> None:
        """Answer the request, or break its answer off."""
        try:
            await self._wait_for_first_read()
            refusal = self._admit()
            if refusal is not None:
                await self._refuse(refusal, self._come_back_s())
                return
            if not await self._is_within_quota():
                return
            deadline_s = loop_deadline_s(self._deadline_s, self._clock)
            with anyio.CancelScope(deadline=deadline_s) as time_left:
                await self._attempt_until_done()
            if time_left.cancelled_caught:
                await self._time_out()
        finally:
            self._tell_end()

    async def _wait_for_first_read(self) -> None:
        """Let a caller wait while the node starts, for half of the caller's time at most."""
        at_most_s = FIRST_READ_PATIENCE_S
        if self._request.timeout_s is not None:
            at_most_s = min(at_most_s, FIRST_READ_SHARE * self._request.timeout_s)
        with anyio.move_on_after(at_most_s):
            await self._context.cluster.wait_for_first_read(FIRST_READ_PATIENCE_S)

    def _admit(self) -> int | None:
        """Find route and tenant; returns the status of a refusal."""
        table = self._context.cluster.table
        if table is None:
            self._causes.append("no_configuration")
            return HTTP_UNAVAILABLE
        route = table.find(self._request.host, self._request.path)
        if route is None:
            return self._refuse_unknown(HTTP_NOT_FOUND, "no_route")
        self._route = route
        if table.needs_keys and not route.is_public:
            if not self._context.is_current():
                self._causes.append("configuration_unproved")
                return HTTP_UNAVAILABLE
            self._tenant = table.tenant_of(self._request.key)
            if self._tenant is None:
                return self._refuse_unknown(HTTP_UNAUTHORIZED, "unknown_key")
        self._service = self._context.split.next_service(route)
        timeout_s = route.timeout_s
        if self._request.timeout_s is not None:
            timeout_s = min(timeout_s, self._request.timeout_s)
        self._deadline_s = self._arrived_at_s + timeout_s
        return None

    def _come_back_s(self) -> float:
        """Return when a caller should come back to whom this node cannot tell what is in force."""
        is_isolated = self._context.isolation.is_isolated()
        return CUT_OFF_RETRY_S if is_isolated else NO_CONFIGURATION_RETRY_S

    async def _is_within_quota(self) -> bool:
        """Let the tenant's quota decide; answers a request that it has no room for."""
        assert self._route is not None
        if self._tenant is None:
            return True
        decision = self._context.quotas.admit(
            self._tenant, self._request.num_tokens, self._route.priority
        )
        self._cost = decision.cost
        if decision.is_admitted:
            return True
        self._quota_refusal = decision
        self._causes.append(NEVER_IN_QUOTA if decision.retry_after_s is None else OVER_QUOTA)
        await self._refuse(HTTP_TOO_MANY, decision.retry_after_s)
        return False

    def _spend(self, cost: float) -> None:
        if self._tenant is not None:
            self._context.quotas.spend(self._tenant, cost)

    def _refuse_unknown(self, status: int, cause: str) -> int:
        """A denial needs a current configuration: else the caller should come back."""
        self._causes.append(cause)
        return status if self._context.is_current() else HTTP_UNAVAILABLE

    async def _attempt_until_done(self) -> None:
        while True:
            if self._is_quarantined():
                await self._give_up()
                return
            choice = self._choose()
            if choice is None:
                self._causes.append("no_back_end")
                await self._give_up()
                return
            self._choice = choice
            if self._should_come_back(choice):
                self._causes.append(OVERLOADED)
                wait_s = come_back_s(choice, self._request.timeout_s, NO_BACK_END_RETRY_S)
                await self._refuse(HTTP_UNAVAILABLE, wait_s)
                return
            choice = self._choice = self._try_target(choice)
            end = await self._attempt(choice)
            if self._responder.has_ended:
                self.stage = Stage.ANSWERED
                return
            if not self._may_go_on(end):
                await self._give_up()
                return

    def _is_quarantined(self) -> bool:
        """Whether back ends have crashed under the request, at whichever node it came before."""
        quarantine = self._context.quarantine
        if not quarantine.is_watching():
            return False
        remaining_s = quarantine.remaining_s(self._fingerprint())
        if remaining_s is None:
            return False
        self._come_back_after_s = remaining_s
        self._causes.append(QUARANTINED)
        return True

    def _choose(self) -> Choice | None:
        assert self._service is not None
        chosen = self._context.dispatcher.choose(self._query(self._excluded))
        if chosen is None and self._tried:
            # Nobody else serves: the same back end may have recovered.
            chosen = self._context.dispatcher.choose(self._query(()))
        return chosen

    def _try_target(self, choice: Choice) -> Choice:
        """Return the choice of an engine of a version on trial, if this request is to try it.

        Whether the service has room was judged by the engines that serve: one that is tried has
        room for the others' requests in no case.
        """
        assert self._route is not None and self._service is not None
        if (
            self._num_attempts
            or self._context.trials.track_of(self._service, self._route) is Track.STABLE
        ):
            return choice
        trial = self._context.dispatcher.choose(self._query((), Track.CANARY))
        if trial is None:
            self._context.trials.give_back(self._service)
            return choice
        return trial

    def _should_come_back(self, choice: Choice) -> bool:
        assert self._route is not None and self._service is not None
        limit = self._context.queue_limit(self._service)
        return not self._tried and should_come_back(
            choice, self._route, self._request.timeout_s, limit
        )

    def _query(
        self, excluded: Collection[InstanceId], track: Track = Track.STABLE
    ) -> DispatchQuery:
        assert self._service is not None
        return DispatchQuery(self._service, self._request.prompt, self._tenant, excluded, track)

    def _may_go_on(self, end: AttemptEnd) -> bool:
        """Whether another attempt may follow."""
        assert self._route is not None and self._service is not None
        if self._deadline_s - self._clock() < MIN_ATTEMPT_S:
            self._causes.append("no_time")
            return False
        if end is AttemptEnd.NEVER_SENT:
            return True
        if self._may_have_run and not self._route.is_retryable:
            return False
        if len(self._tried) >= self._route.max_attempts:
            self._causes.append("max_attempts")
            return False
        if not (self._has_retry or self._context.take_retry(self._service)):
            self._causes.append("retry_budget")
            return False
        self._has_retry = False
        return True

    async def _attempt(self, choice: Choice) -> AttemptEnd:
        """Send the request to one back end and pass on what may be passed on."""
        assert self._route is not None
        back_end = choice.candidate.back_end
        self._num_attempts += 1
        self._attempt_began_s = self._clock()
        self._attempt_pause_s = None
        self._attempt_times = AttemptTimes()
        self._excluded.add(back_end.instance)
        self._context.begin(choice, self._request.prompt, self._is_first_send())
        self._spend(self._cost)
        if self._num_attempts == 1:
            self._context.trials.note_request(back_end.service)
        came_again = self._comes_again()
        verdict = Verdict(AttemptEnd.UNCERTAIN, CANCELLED)
        scope = anyio.CancelScope()
        patience = Patience(scope, self._take_retry)
        self._may_be_tried_elsewhere = self._is_leavable(choice)
        self._set_patience(patience, self._context.first_event_patience_s(self._route, choice))
        self._context.patience.watch(patience)
        try:
            with scope:
                verdict = await self._send(choice, patience)
            if scope.cancelled_caught:
                verdict = Verdict(AttemptEnd.UNCERTAIN, "too_slow")
        finally:
            self._context.patience.forget(patience)
            self._context.end(choice, self._request.prompt, verdict)
            if self._attempt_pause_s is not None:
                self._context.note_stream(back_end.service, self._route, self._attempt_pause_s)
            self._tell_version(choice, verdict)
            if self._num_attempts == 1 and verdict.end is AttemptEnd.NEVER_SENT:
                self._context.trials.note_unsent(back_end.service)
        if verdict.end in (AttemptEnd.NEVER_SENT, AttemptEnd.UNRUN):
            self._spend(-self._cost)
        if verdict.end is not AttemptEnd.NEVER_SENT:
            self._tried.add(back_end.instance)
        if verdict.end in (AttemptEnd.UNCERTAIN, AttemptEnd.FAILED):
            self._may_have_run = True
        self._judge_request(back_end, verdict, came_again)
        if verdict.end is not AttemptEnd.ANSWERED:
            self._causes.append(f"{back_end.instance}:{verdict.reason}")
        return verdict.end

    def _comes_again(self) -> bool:
        """Whether a back end is known to have crashed under the request before it is sent on."""
        quarantine = self._context.quarantine
        if self._has_lost_back_end or not quarantine.is_watching():
            return self._has_lost_back_end
        return quarantine.is_suspect(self._fingerprint())

    def _judge_request(self, back_end: BackEnd, verdict: Verdict, came_again: bool) -> None:
        """Have found out whether the back end crashed, or note that it did not."""
        if verdict.reason in CONNECTION_LOST:
            self._has_lost_back_end = True
            self._context.note_lost(back_end, self._fingerprint(), came_again)
        elif verdict == WHOLE_SUCCESS and self._context.quarantine.is_watching():
            self._context.quarantine.note_answered(self._fingerprint())

    def _fingerprint(self) -> RequestFingerprint:
        """Return what the request is recognised by; worked out for the few that need it."""
        if self._known_fingerprint is None:
            self._known_fingerprint = fingerprint_of(self._request, self._tenant, self._body)
        return self._known_fingerprint

    def _tell_version(self, choice: Choice, verdict: Verdict) -> None:
        """Count the attempt for the version of its back end, where a rollout is under way."""
        assert self._route is not None
        ended_s = self._clock() - self._attempt_began_s
        self._context.note_version(choice, self._route, verdict, self._attempt_times, ended_s)

    def _is_first_send(self) -> bool:
        return not self._tried

    def _set_patience(self, patience: Patience, wait_s: float) -> None:
        """Bound the wait for the next event where the request may be tried elsewhere."""
        if self._may_be_tried_elsewhere:
            patience.deadline_s = self._clock() + wait_s

    def _is_leavable(self, choice: Choice) -> bool:
        """Whether a silent back end may be left for another one, given a repeat to spend."""
        assert self._route is not None
        has_attempts = len(self._tried) + 1 < self._route.max_attempts
        return self._route.is_retryable and has_attempts and choice.num_candidates > 1

    def _take_retry(self) -> bool:
        """Take a repeat of the shared budget before a silent back end is left."""
        assert self._service is not None
        self._has_retry = self._context.take_retry(self._service)
        return self._has_retry

    async def _send(self, choice: Choice, patience: Patience) -> Verdict:
        outbound = self._outbound(choice)
        port = self._context.port_of(choice.candidate.back_end)
        async with port.send(outbound) as sent:
            if sent.is_err():
                return judge_failure(sent.unwrap_err())
            answer = sent.unwrap()
            verdict = judge_answer(answer, self._request.request_id, outbound.instance)
            self._context.note_answer(choice, self._request.prompt, answer)
            if verdict.end in (AttemptEnd.UNRUN, AttemptEnd.UNCERTAIN):
                return verdict
            try:
                return await self._pass_on(answer, verdict, choice, patience)
            except BodyBrokenError:
                return Verdict(AttemptEnd.UNCERTAIN, BODY_BROKEN)

    def _outbound(self, choice: Choice) -> OutboundRequest:
        prompt = self._request.prompt
        is_generation = choice.scope is not None and prompt is not None
        return OutboundRequest(
            request=self._request,
            body=self._body,
            instance=choice.candidate.back_end.instance,
            timeout_s=self._deadline_s - self._clock(),
            tenant=self._tenant.name if self._tenant else None,
            priority=self._priority() if is_generation else None,
            cache_scope=choice.scope,
            weight_version=choice.candidate.weight_version,
            fetch_from=choice.fetch_from,
            save_to=self._save_to(choice),
            resume_after=self._cutter.last_id or self._request.resume_after,
        )

    def _save_to(self, choice: Choice) -> Address | None:
        prompt = self._request.prompt
        if prompt is None:
            return None
        return self._context.dispatcher.save_address(choice, prompt)

    def _priority(self) -> int:
        assert self._route is not None
        tenant_priority = self._tenant.priority if self._tenant else None
        return self._context.priority(tenant_priority, self._route.priority)

    async def _pass_on(
        self, answer: Answer, verdict: Verdict, choice: Choice, patience: Patience
    ) -> Verdict:
        assert self._route is not None
        is_stream = self._route.kind is RequestKind.STREAMING
        if is_stream and verdict == WHOLE_SUCCESS:
            await self._relay_stream(answer, choice, patience)
            return verdict
        body = await _gather(answer)
        if verdict.end is AttemptEnd.FAILED:
            self._failed_answer = (answer.status, answer.headers, body)
            return verdict
        if self._responder.has_begun:
            return Verdict(AttemptEnd.FAILED, f"status_{answer.status}_on_resume")
        self._note_first_byte()
        await self._responder.whole(answer.status, answer.headers, body)
        return verdict

    async def _relay_stream(self, answer: Answer, choice: Choice, patience: Patience) -> None:
        """Pass on whole events as they come; the head waits for the first of them."""
        assert self._route is not None and self._service is not None
        cutter = self._cutter
        cutter.drop_rest()
        is_first = True
        async for chunk in answer.body:
            events = cutter.feed(chunk)
            if not events:
                continue
            self._context.dispatcher.event_received(choice.candidate.back_end.instance)
            if is_first:
                is_first = False
                took_s = self._clock() - self._attempt_began_s
                self._attempt_times.first_s = took_s
                self._context.first_event(choice, self._request.prompt, took_s)
            self._attempt_times.num_parts += 1
            self._set_patience(patience, self._context.stall_patience_s(self._route, self._service))
            await self._begin_stream(answer)
            self._note_pause()
            await self._responder.part(events)
            # A caller that reads slowly holds the stream up here: that is no pause of the engine.
            self._last_event_s = self._clock()
        await self._begin_stream(answer)
        rest = cutter.take_rest()
        if rest:
            await self._responder.part(rest)
        await self._responder.end()

    async def _begin_stream(self, answer: Answer) -> None:
        if not self._responder.has_begun:
            self._note_first_byte()
            await self._responder.begin(answer.status, answer.headers)

    def _note_pause(self) -> None:
        now_s = self._clock()
        if self._last_event_s is not None:
            pause_s = now_s - self._last_event_s
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
            # A pause that began before this run tells nothing of the engine.
            if self._service is not None and self._last_event_s > self._attempt_began_s:
                self._context.note_pause(self._service, pause_s)
                self._attempt_pause_s = max(self._attempt_pause_s or 0.0, pause_s)
        self._last_event_s = now_s

    def _note_first_byte(self) -> None:
        if self._first_byte_s is None:
            self._first_byte_s = self._clock() - self._arrived_at_s

    async def _give_up(self) -> None:
        """Answer at once for a request that no attempt has answered."""
        if self._responder.has_begun:
            self.stage = Stage.BROKEN
        elif self._failed_answer is not None:
            self.stage = Stage.FAILED
            status, headers, body = self._failed_answer
            await self._responder.whole(status, headers, body)
        elif self._may_have_run:
            self.stage = Stage.FAILED
            await self._responder.refuse(HTTP_BAD_GATEWAY)
        else:
            await self._refuse(HTTP_UNAVAILABLE, self._come_back_after_s)

    async def _time_out(self) -> None:
        self.stage = Stage.TIMED_OUT
        self._causes.append("time_out")
        if not self._responder.has_begun:
            await self._responder.refuse(HTTP_TIMEOUT)

    async def _refuse(self, status: int, retry_after_s: float | None) -> None:
        self.stage = Stage.REFUSED
        wait_s = retry_after_s if status in (HTTP_UNAVAILABLE, HTTP_TOO_MANY) else None
        await self._responder.refuse(status, wait_s)

    def _tell_end(self) -> None:
        summary = ExchangeSummary(
            request=self._request,
            route=self._route,
            service=self._service,
            stage=self.stage,
            status=self._responder.status,
            choice=self._choice,
            num_attempts=self._num_attempts,
            causes=tuple(self._causes),
            first_byte_s=self._first_byte_s,
            longest_pause_s=self._longest_pause_s,
            duration_s=self._clock() - self._arrived_at_s,
            tenant=self._tenant.name if self._tenant else None,
            quota=self._quota_refusal,
            fingerprint=self._known_fingerprint,
        )
        self._context.tell_end(summary)


async def _gather(answer: Answer) -> bytes:
    """Read a whole body."""
    parts: list[bytes] = []
    num_bytes = 0
    async for chunk in answer.body:
        num_bytes += len(chunk)
        if num_bytes > MAX_WHOLE_ANSWER_BYTES:
            raise BodyBrokenError("answer too large")
        parts.append(chunk)
    return b"".join(parts)
