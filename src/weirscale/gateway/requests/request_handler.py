"""Handles one request from arrival to end: admission, attempts, response and log line.

The rules are in these modules:

- refusal before an attempt: `admission.py`, `overload.py`, `crash_reports.py` (quarantine);
- what the end of an attempt proves: `attempt_verdict.py`;
- retrying or giving up: `retry_decision.py`;
- at which service version a caller's try takes up a stream: `stream_resumption.py`;
- abandoning a silent back end: `attempt_timeout.py`, `stream_pauses.py`.

The caller gets a complete response only from a complete answer that belongs to its request. A
refusal that promises "not run" is sent only if no attempt may have run. A request that is given up
is answered at once.
"""

from http import HTTPStatus

import anyio
import msgspec

from weirscale.gateway.ports.callers import CallerRequest
from weirscale.gateway.requests.admission import AdmittedRequest, Refusal
from weirscale.gateway.requests.attempt import Attempt
from weirscale.gateway.requests.crash_reports import CrashGuard
from weirscale.gateway.requests.overload import retry_after_s, should_refuse
from weirscale.gateway.requests.relay import AnswerRelay
from weirscale.gateway.requests.request_context import RequestContext
from weirscale.gateway.requests.responder import Responder
from weirscale.gateway.requests.retry_decision import AttemptHistory, reason_to_give_up
from weirscale.gateway.requests.stream_resumption import is_service_of, takes_up_stream
from weirscale.gateway.routing.back_pressure import MAX_PERMIT_WAIT_S
from weirscale.gateway.routing.candidate import Choice
from weirscale.gateway.telemetry.request_summary import (
    RequestCause,
    RequestOutcome,
    RequestSummary,
)
from weirscale.ports.boot_clock import loop_deadline_s

NO_BACK_END_RETRY_S = 0.25
"""Default Retry-After in seconds. Callers honor a Retry-After of up to a third of their remaining
time (published protocol of the platform)."""


class RequestHandler:
    """Handles one request.

    Args:
        context: Parts that all requests of the node share.
        request: The request.
        body: The complete request body.
        responder: Sends the response to the caller.
        arrived_at_s: When the request's head arrived.
    """

    def __init__(
        self,
        context: RequestContext,
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
        self._relay = AnswerRelay(responder, context.answer_buffers, arrived_at_s, context.clock)
        self._history = AttemptHistory()
        self._admission: AdmittedRequest | Refusal | None = None
        self._guard: CrashGuard | None = None
        self._choice: Choice | None = None
        self._permit_wait_until_s: float | None = None
        self._outcome = RequestOutcome.DISCONNECTED

    async def run(self) -> None:
        """Respond to the request, and log it.

        A response that has begun is left incomplete if no attempt can complete it.
        """
        admission = self._context.admission
        try:
            await admission.wait_for_first_read(self._request.timeout_s)
            admitted = admission.admit(self._request, self._body, self._arrived_at_s)
            self._admission = admitted
            if isinstance(admitted, Refusal):
                self._history.causes.append(admitted.cause)
                await self._refuse(admitted.status, admitted.retry_after_s)
                return
            guard = self._guard = CrashGuard(self._context.crash_reporter, admitted)
            deadline_s = loop_deadline_s(admitted.deadline_s, self._context.clock)
            with anyio.CancelScope(deadline=deadline_s) as deadline_scope:
                bound = await self._bind_to_origin(admitted)
                if bound is not None:
                    self._admission = bound
                    await self._attempt_until_done(bound, guard)
            if deadline_scope.cancelled_caught:
                await self._time_out()
        except Exception as error:
            self._outcome = RequestOutcome.ERROR
            self._history.causes.append(f"{RequestCause.INTERNAL_ERROR}:{_type_name(error)}")
            raise
        finally:
            self._context.log.add(self._summary())

    async def _bind_to_origin(self, admitted: AdmittedRequest) -> AdmittedRequest | None:
        """Bind a request that takes up a stream to the service and version that began it.

        Returns:
            The request, or None if it was refused.
        """
        if not takes_up_stream(admitted):
            return admitted
        origin = (await self._context.streams.find(admitted)).origin
        if origin is None:
            await self._give_up(RequestCause.STREAM_UNKNOWN)
            return None
        if not is_service_of(admitted, origin.service):
            await self._give_up(RequestCause.VERSION_GONE)
            return None
        self._history.stream_version = origin.version
        return msgspec.structs.replace(admitted, service=origin.service)

    async def _attempt_until_done(self, admitted: AdmittedRequest, guard: CrashGuard) -> None:
        while True:
            refusal = guard.refusal()
            if refusal is not None:
                await self._give_up(refusal.cause, refusal.remaining_s)
                return
            choice = self._context.selector.choose(admitted, self._history)
            if choice is None:
                if await self._wait_for_permit(admitted):
                    continue
                await self._give_up_without_back_end(admitted)
                return
            self._choice = choice
            if self._is_overloaded(admitted, choice):
                await self._refuse_for_overload(choice)
                return
            choice = self._context.selector.prefer_canary(admitted, self._history, choice)
            self._choice = choice
            attempt = Attempt(self._context, admitted, choice, self._relay, self._history, guard)
            last_end = await attempt.run()
            if self._responder.has_ended:
                self._outcome = RequestOutcome.ANSWERED
                return
            give_up_reason = reason_to_give_up(
                last_end,
                self._history,
                admitted.route,
                admitted.deadline_s - self._context.clock(),
                self._relay,
                lambda: self._context.retry_budget.try_take(admitted.service),
            )
            if give_up_reason is not None:
                await self._give_up(give_up_reason.value)
                return

    async def _wait_for_permit(self, admitted: AdmittedRequest) -> bool:
        """Wait until a back end with a request limit may have a permit for the request.

        All waits of a request together last at most `MAX_PERMIT_WAIT_S`.

        Returns:
            Whether to choose a back end again.
        """
        now_s = self._context.clock()
        if self._permit_wait_until_s is None:
            self._permit_wait_until_s = now_s + MAX_PERMIT_WAIT_S
        left_s = self._permit_wait_until_s - now_s
        return await self._context.selector.wait_for_permit(admitted, self._history, left_s)

    def _is_overloaded(self, admitted: AdmittedRequest, choice: Choice) -> bool:
        """Return whether to refuse the request because of the queues.

        A request that has reached a back end, or that takes up a stream, is not refused. For
        others, the share of idle engines is recorded first.
        """
        if self._history.reached or self._history.stream_version is not None:
            return False
        limit = self._context.pauses.queue_limit(admitted.service)
        limit.record_idle_share(choice.idle_share, self._context.clock())
        return should_refuse(choice, admitted.route, self._request.timeout_s, limit)

    async def _give_up(
        self, cause: RequestCause | None, retry_s: float = NO_BACK_END_RETRY_S
    ) -> None:
        """Respond to a request that no attempt has answered, or leave its response incomplete."""
        if cause is not None:
            self._history.causes.append(cause)
        failed_answer = self._history.failed_answer
        if self._responder.has_begun:
            self._outcome = RequestOutcome.BROKEN
        elif failed_answer is not None:
            self._outcome = RequestOutcome.FAILED
            await self._responder.send_whole(
                failed_answer.status, failed_answer.headers, failed_answer.body
            )
        elif self._history.may_have_run:
            self._outcome = RequestOutcome.FAILED
            await self._responder.refuse(HTTPStatus.BAD_GATEWAY)
        else:
            await self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, retry_s)

    async def _give_up_without_back_end(self, admitted: AdmittedRequest) -> None:
        """Refuse the request, with the time until a back end is available again, if known."""
        availability = self._context.selector.next_availability(admitted, self._history)
        if availability is None:
            is_bound = self._history.stream_version is not None
            await self._give_up(RequestCause.VERSION_GONE if is_bound else RequestCause.NO_BACK_END)
        elif availability.is_full:
            await self._give_up(RequestCause.FULL, availability.after_s)
        elif availability.is_limited:
            await self._give_up(
                RequestCause.LIMITED, max(NO_BACK_END_RETRY_S, availability.after_s)
            )
        else:
            await self._give_up(RequestCause.RESTING, availability.after_s)

    async def _refuse_for_overload(self, choice: Choice) -> None:
        self._history.causes.append(RequestCause.OVERLOADED)
        wait_s = retry_after_s(choice, self._request.timeout_s, NO_BACK_END_RETRY_S)
        await self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, wait_s)

    async def _time_out(self) -> None:
        self._outcome = RequestOutcome.TIMED_OUT
        self._history.causes.append(RequestCause.TIME_OUT)
        if not self._responder.has_begun:
            await self._responder.refuse(HTTPStatus.GATEWAY_TIMEOUT)

    async def _refuse(self, status: HTTPStatus, retry_s: float | None) -> None:
        self._outcome = RequestOutcome.REFUSED
        await self._responder.refuse(status, retry_s)

    def _summary(self) -> RequestSummary:
        admission = self._admission
        tenant = admission.tenant if admission else None
        return RequestSummary(
            request=self._request,
            route=admission.route if admission else None,
            service=admission.service if admission else None,
            outcome=self._outcome,
            status=self._responder.status,
            choice=self._choice,
            num_attempts=self._history.num_attempts,
            causes=tuple(self._history.causes),
            bodies=tuple(self._history.bodies),
            first_byte_s=self._relay.first_byte_s,
            longest_pause_s=self._relay.longest_pause_s,
            duration_s=self._context.clock() - self._arrived_at_s,
            tenant=tenant.name if tenant else None,
            quota=admission.quota if isinstance(admission, Refusal) else None,
            fingerprint=self._guard.known_fingerprint if self._guard else None,
            stream_version=self._history.stream_version,
            quarantined_blocks=self._guard.quarantined_blocks if self._guard else "",
        )


def _type_name(error: Exception) -> str:
    """Return the type of an error, or of the first error in a group."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return type(error).__name__
