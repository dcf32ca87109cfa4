"""Recovery of generation requests: decides and records what follows a failed attempt."""

import anyio
import msgspec

from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.request.model import GenerationRequest
from weirscale.domain.request.refusal import Refusal
from weirscale.domain.request.retry_budget import RetryBudget
from weirscale.domain.request.retry_policy import (
    FailureClass,
    NextStep,
    RequestProgress,
    final_refusal,
    next_step,
)
from weirscale.node.execution.attempt import Attempt, AttemptFailure
from weirscale.node.execution.attempts import RequestAttempts
from weirscale.node.execution.counts import GenerationCounts, count_failure
from weirscale.ports.event_log import EventLog


class RecoveryDecision(msgspec.Struct, frozen=True):
    """The step that follows a failure.

    Attributes:
        step: The step.
        refusal: The refusal that ends the request if the step is GIVE_UP, otherwise None.
    """

    step: NextStep
    refusal: Refusal | None


class GenerationRecovery:
    """Decides what follows failures of one request; used only by the task that runs it.

    Args:
        request: The request.
        attempts: Its attempts.
        rules: Retry rules in force.
        budget: The node's retry budget.
        counts: The executor's counts.
        event_log: Receives one event for each failure.
    """

    def __init__(
        self,
        request: GenerationRequest,
        attempts: RequestAttempts,
        rules: RetryRules,
        budget: RetryBudget,
        counts: GenerationCounts,
        event_log: EventLog,
    ) -> None:
        self._request = request
        self._attempts = attempts
        self._rules = rules
        self._budget = budget
        self._counts = counts
        self._event_log = event_log

    def decide(
        self, attempt: Attempt, attempt_failure: AttemptFailure, num_chunks: int
    ) -> RecoveryDecision:
        """Decide what follows a failure, and record both.

        Args:
            attempt: The attempt that failed.
            attempt_failure: The failure.
            num_chunks: Chunks of the answer so far, summed over all attempts.
        """
        failure_class = attempt_failure.failure_class
        evidence = self._attempts.evidence
        if failure_class not in (FailureClass.NOT_RUN, FailureClass.INVALID):
            evidence.record_possible_run()
        time_left_s = self._request.deadline_s - anyio.current_time()
        progress = self._progress(attempt, num_chunks, time_left_s)
        step = next_step(failure_class, progress, self._rules)
        if step is NextStep.ANOTHER and not self.try_take_retry():
            # The budget is exhausted. A slow engine may still answer; a failed one will not.
            is_slow = failure_class is FailureClass.STALLED
            step = NextStep.RESUME if is_slow else NextStep.GIVE_UP
        self._record(attempt, attempt_failure, num_chunks, step)
        if step is not NextStep.GIVE_UP:
            return RecoveryDecision(step, None)
        detail = attempt_failure.failure.detail
        return RecoveryDecision(step, final_refusal(failure_class, detail, evidence, time_left_s))

    def try_take_retry(self) -> bool:
        """Take one attempt from the retry budget; return False if the budget is exhausted."""
        if self._budget.try_take(self._rules, anyio.current_time()):
            return True
        self._counts.num_budget_refusals += 1
        return False

    def _progress(self, attempt: Attempt, num_chunks: int, time_left_s: float) -> RequestProgress:
        return RequestProgress(
            repeatable=self._request.repeatable,
            num_attempts=self._attempts.history.num_attempts,
            num_chunks=num_chunks,
            num_idle_resumes=attempt.num_idle_resumes,
            may_have_run=self._attempts.evidence.may_have_run,
            time_left_s=time_left_s,
        )

    def _record(
        self, attempt: Attempt, attempt_failure: AttemptFailure, num_chunks: int, step: NextStep
    ) -> None:
        engine = attempt.chosen.choice.engine
        failure = attempt_failure.failure.kind.value
        self._count(failure, num_chunks, step)
        self._attempts.history.record_failure(engine, failure, step)
        self._event_log.event(
            "attempt_failed",
            request_id=self._request.request_id,
            attempt=attempt.call.attempt,
            engine=engine,
            address=attempt.chosen.address,
            failure=failure,
            detail=attempt_failure.failure.detail,
            num_chunks=num_chunks,
            next=step.value,
        )

    def _count(self, failure: str, num_chunks: int, step: NextStep) -> None:
        counts = self._counts
        count_failure(counts.failures, failure, step)
        if step is not NextStep.ANOTHER:
            return
        if num_chunks > 0:
            counts.num_continued += 1
        else:
            counts.num_retries += 1
