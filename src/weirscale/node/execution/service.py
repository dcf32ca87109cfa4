"""Execution of service requests: passed through unchanged, retried only where allowed."""

from collections.abc import Callable

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.identifiers import BackendName
from weirscale.domain.request import refusals
from weirscale.domain.request.model import ServiceRequest, ServiceResponse
from weirscale.domain.request.refusal import Refusal
from weirscale.domain.request.retry_budget import RetryBudget
from weirscale.domain.request.retry_policy import (
    FailureClass,
    NextStep,
    RequestProgress,
    RunEvidence,
    final_refusal,
    next_step,
)
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.execution.claims import claim_key, fingerprint, settle_claim
from weirscale.node.execution.counts import ServiceCounts, count_failure
from weirscale.node.execution.history import RequestHistory
from weirscale.node.interfaces import ChosenBackend, Claim, ClaimState
from weirscale.node.routing.service_router import ServiceRouter
from weirscale.ports.event_log import EventLog
from weirscale.ports.service import ServiceFailure, ServiceFailureKind

_TIMED_OUT = ServiceFailure(ServiceFailureKind.TIMED_OUT, "the back end did not answer in time")

REPLAYED_HEADER = "idempotent-replayed"
"""Set to `true` on the stored answer of an earlier request with the same idempotency key."""


class ServiceExecutor:
    """Runs requests to named services.

    Args:
        routing: Chooses back ends and receives the outcomes of attempts.
        ledger: Ledger of at-most-once claims, or None if the node has none.
        rules: Returns the retry rules in force.
        event_log: Receives an event for each failed attempt.
        budget: The node's retry budget, shared with the generation executor.
    """

    def __init__(
        self,
        routing: ServiceRouter,
        ledger: QuorumClaimLedger | None,
        rules: Callable[[], RetryRules],
        event_log: EventLog,
        budget: RetryBudget,
    ) -> None:
        self._routing = routing
        self._ledger = ledger
        self._rules = rules
        self._event_log = event_log
        self._budget = budget
        self.counts = ServiceCounts()

    async def run(
        self, request: ServiceRequest, history: RequestHistory | None = None
    ) -> Result[ServiceResponse, Refusal]:
        """Run a request and return the back end's answer.

        An answer with any HTTP status is Ok. A request that must not be repeated runs to its end,
        within its deadline, even if the caller disconnects, so that its claim is settled with the
        true outcome.

        Args:
            request: The request.
            history: Receives the attempts and failures, for the log.
        """
        history = history or RequestHistory()
        if request.repeatable:
            return await self._run_attempts(request, RunEvidence(), history)
        result: Result[ServiceResponse, Refusal] | None = None
        with anyio.CancelScope(shield=True):
            result = await self._run_once(request, history)
        assert result is not None
        return result

    async def _run_once(
        self, request: ServiceRequest, history: RequestHistory
    ) -> Result[ServiceResponse, Refusal]:
        if request.idempotency_key is None or self._ledger is None:
            return await self._run_attempts(request, RunEvidence(), history)
        return await self._run_claimed(request, self._ledger, request.idempotency_key, history)

    async def _run_claimed(
        self,
        request: ServiceRequest,
        ledger: QuorumClaimLedger,
        idempotency_key: str,
        history: RequestHistory,
    ) -> Result[ServiceResponse, Refusal]:
        content = fingerprint(
            request.service.encode(),
            request.method.encode(),
            request.path.encode(),
            request.body,
        )
        claimed = await claim_key(
            ledger,
            request.tenant,
            idempotency_key,
            request.request_id,
            content,
            request.deadline_s,
        )
        if isinstance(claimed, Err):
            return claimed
        claim = claimed.ok_value
        if claim.state is ClaimState.COMPLETED:
            return _replay(claim)
        evidence = RunEvidence()
        result = await self._run_attempts(request, evidence, history)
        answer = result.ok_value if isinstance(result, Ok) else None
        await settle_claim(ledger, claim, evidence.status, answer)
        return result

    async def _run_attempts(
        self, request: ServiceRequest, evidence: RunEvidence, history: RequestHistory
    ) -> Result[ServiceResponse, Refusal]:
        rules = self._rules()
        self._budget.record_first_attempt(rules)
        excluded: frozenset[BackendName] = frozenset()
        while True:
            choice = await self._choose(request, excluded, evidence)
            if isinstance(choice, Err):
                return Err(refusals.with_run_status(choice.err_value, evidence.status))
            chosen = choice.ok_value
            self.counts.num_attempts += 1
            self.counts.num_retries += history.num_attempts > 0
            history.record_attempt(chosen.backend)
            answer = await self._call(request, chosen)
            if isinstance(answer, Ok):
                evidence.record_answer()
                return answer
            failure = answer.err_value
            if not failure.provably_not_run:
                evidence.record_possible_run()
            refusal = self._refusal_or_retry(request, failure, evidence, history, rules)
            step = NextStep.ANOTHER if refusal is None else NextStep.GIVE_UP
            self._record_failure(request, chosen, failure, history, step)
            if refusal is not None:
                return Err(refusal)
            excluded |= {chosen.backend}

    async def _choose(
        self, request: ServiceRequest, excluded: frozenset[BackendName], evidence: RunEvidence
    ) -> Result[ChosenBackend, Refusal]:
        with anyio.CancelScope(deadline=request.deadline_s):
            return await self._routing.choose(request.service, excluded)
        return Err(refusals.deadline_exceeded(evidence.status))

    async def _call(
        self, request: ServiceRequest, chosen: ChosenBackend
    ) -> Result[ServiceResponse, ServiceFailure]:
        started_s = anyio.current_time()
        answer: Result[ServiceResponse, ServiceFailure] = Err(_TIMED_OUT)
        time_left_s = request.deadline_s - started_s
        try:
            with anyio.CancelScope(deadline=request.deadline_s):
                answer = await chosen.port.call(request, time_left_s)
        finally:
            self._routing.report(
                request.service,
                chosen.backend,
                answer.err_value if isinstance(answer, Err) else None,
                answer.ok_value.status if isinstance(answer, Ok) else None,
                anyio.current_time() - started_s,
            )
        return answer

    def _refusal_or_retry(
        self,
        request: ServiceRequest,
        failure: ServiceFailure,
        evidence: RunEvidence,
        history: RequestHistory,
        rules: RetryRules,
    ) -> Refusal | None:
        """Return the final refusal, or None if another attempt is allowed."""
        now_s = anyio.current_time()
        progress = RequestProgress(
            repeatable=request.repeatable,
            num_attempts=history.num_attempts,
            num_chunks=0,
            num_idle_resumes=0,
            may_have_run=evidence.may_have_run,
            time_left_s=request.deadline_s - now_s,
        )
        # A service call can't be resumed, so an interrupted call counts as FORGOTTEN.
        failure_class = FailureClass.NOT_RUN if failure.provably_not_run else FailureClass.FORGOTTEN
        step = next_step(failure_class, progress, rules)
        if step is NextStep.ANOTHER:
            if self._budget.try_take(rules, now_s):
                return None
            self.counts.num_budget_refusals += 1
        return final_refusal(failure_class, failure.detail, evidence, progress.time_left_s)

    def _record_failure(
        self,
        request: ServiceRequest,
        chosen: ChosenBackend,
        failure: ServiceFailure,
        history: RequestHistory,
        step: NextStep,
    ) -> None:
        count_failure(self.counts.failures, failure.kind.value, step)
        history.record_failure(chosen.backend, failure.kind.value, step)
        self._event_log.event(
            "service_attempt_failed",
            request_id=request.request_id,
            attempt=history.num_attempts - 1,
            backend=chosen.backend,
            address=chosen.address,
            failure=failure.kind.value,
            detail=failure.detail,
            next=step.value,
        )


def _replay(claim: Claim) -> Result[ServiceResponse, Refusal]:
    answer = claim.answer
    if answer is None:
        return Err(refusals.duplicate_completed(claim.holder_request_id))
    headers = {**answer.headers, REPLAYED_HEADER: "true"}
    return Ok(msgspec.structs.replace(answer, headers=headers))
