"""Runs generation requests: one answer for the caller, whatever happens to single attempts."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from result import Err, Ok, Result

from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.identifiers import EngineName, WeightVersion
from weirscale.domain.request import refusals
from weirscale.domain.request.model import GenerationRequest, TokenChunk
from weirscale.domain.request.refusal import Refusal, RefusalCode
from weirscale.domain.request.retry_budget import RetryBudget
from weirscale.domain.request.retry_policy import (
    FailureClass,
    NextStep,
    RequestProgress,
    RunEvidence,
    final_refusal,
    first_chunk_patience_s,
    next_step,
    resume_backoff_s,
)
from weirscale.domain.request.stream import StreamCheck
from weirscale.node.event_log import EventLog
from weirscale.node.execution.attempt import Attempt, AttemptFailure, ChunkSink, generate_call
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.execution.claims import fingerprint, settle_claim, take_claim
from weirscale.node.execution.counts import GenerationCounts
from weirscale.node.execution.hedge import race_first_chunk
from weirscale.node.interfaces import ChosenEngine, Claim, ClaimLedger, ClaimState, EngineRouting

ChunkOrRefusal = Result[TokenChunk, Refusal]

SAME_ENGINE_PAUSE_S = 0.1
"""Pause before an engine that failed this request is tried again for want of another."""


class GenerationExecutor:
    """Runs generation requests on the engines that routing chooses.

    Args:
        routing: Chooses engines and learns from outcomes.
        ledger: At-most-once claims, or None where the node has none.
        rules: Answers the retry rules in force.
        canceller: Stops abandoned work; its `run` must be running.
        event_log: Where retries and broken streams are told.
        budget: The node's retry budget, shared with the service executor.
    """

    def __init__(
        self,
        routing: EngineRouting,
        ledger: ClaimLedger | None,
        rules: Callable[[], RetryRules],
        canceller: EngineCanceller,
        event_log: EventLog,
        budget: RetryBudget,
    ) -> None:
        self.routing = routing
        self.ledger = ledger
        self.rules = rules
        self.canceller = canceller
        self.event_log = event_log
        self.budget = budget
        self.counts = GenerationCounts()

    @asynccontextmanager
    async def run(self, request: GenerationRequest) -> AsyncIterator["GenerationRun"]:
        """Run a request; leaving the context stops whatever still runs for it.

        The iterator yields Ok chunks, each once and in order, and ends after the one with a
        finish reason; or it ends with one Err. Nothing is read ahead of the consumer.
        """
        run = GenerationRun(self, request)
        try:
            yield run
        finally:
            await run.close()


class GenerationRun:
    """One request's answer: an iterator of chunks; used by one task."""

    def __init__(self, executor: GenerationExecutor, request: GenerationRequest) -> None:
        self._executor = executor
        self._request = request
        self._rules = executor.rules()
        self._check = StreamCheck(request.request_id)
        self._evidence = RunEvidence()
        self._attempt: Attempt | None = None
        self._hedge: Attempt | None = None
        self._attempt_give_up_at_s = request.deadline_s
        self._num_attempts = 0
        self._excluded: frozenset[EngineName] = frozenset()
        self._required_version: WeightVersion | None = None
        self._claim: Claim | None = None
        self._has_started = False
        self._is_over = False

    def __aiter__(self) -> AsyncIterator[ChunkOrRefusal]:
        return self

    async def __anext__(self) -> ChunkOrRefusal:
        if self._is_over:
            raise StopAsyncIteration
        if not self._has_started:
            refusal = await self._start()
            if refusal is not None:
                return self._end(refusal)
        while True:
            attempt = self._attempt
            assert attempt is not None
            if attempt.last_chunk is not None:
                result = await attempt.next(self._request.deadline_s)
            else:
                result = await self._first_of(attempt)
            if isinstance(result, Ok):
                return self._pass(result.ok_value)
            refusal = await self._recover(result.err_value)
            if refusal is not None:
                return self._end(refusal)

    async def deliver(self, sink: ChunkSink) -> Refusal | None:
        """Hand the rest of the answer to a sink, instead of iterating.

        Args:
            sink: Called with each chunk in turn, after the first one has been taken by `anext`.

        Returns:
            None once the last chunk has been handed over, else why there are no more.
        """
        while not self._is_over:
            attempt = self._attempt
            if attempt is None or attempt.last_chunk is None:
                result = await anext(self)
                if isinstance(result, Err):
                    return result.err_value
                await sink(result.ok_value)
                continue
            refusal = await self._deliver_attempt(attempt, sink)
            if refusal is not None:
                self._is_over = True
                return refusal
        return None

    async def _deliver_attempt(self, attempt: Attempt, sink: ChunkSink) -> Refusal | None:
        watch = self._executor.canceller.stall_watch
        failed = await attempt.stream(sink, watch, self._request.deadline_s)
        self._is_over = attempt.is_complete
        return None if failed is None else await self._recover(failed)

    @property
    def num_ready(self) -> int:
        """Chunks that have arrived and not been taken: the consumer is behind."""
        return self._attempt.num_ready if self._attempt is not None else 0

    async def close(self) -> None:
        """Stop the current attempt and settle the claim."""
        self._is_over = True
        await self._leave_attempt()
        if self._hedge is not None:
            await self._retire(self._hedge)
        if self._claim is not None and self._executor.ledger is not None:
            claim = self._claim
            self._claim = None
            await settle_claim(self._executor.ledger, claim, self._evidence.status, None)

    async def _start(self) -> Refusal | None:
        self._has_started = True
        self._executor.budget.note_first_attempt(self._rules)
        refusal = await self._take_claim()
        if refusal is not None:
            return refusal
        return await self._start_attempt()

    async def _take_claim(self) -> Refusal | None:
        request = self._request
        ledger = self._executor.ledger
        if request.repeatable or request.idempotency_key is None or ledger is None:
            return None
        content = fingerprint(
            request.path.encode(),
            request.model.encode(),
            (request.adapter or "").encode(),
            str(request.max_tokens).encode(),
            request.prompt,
        )
        taken = await take_claim(
            ledger,
            request.tenant,
            request.idempotency_key,
            request.request_id,
            content,
            request.deadline_s,
        )
        if isinstance(taken, Err):
            return taken.err_value
        claim = taken.ok_value
        if claim.state is ClaimState.COMPLETED:
            return refusals.duplicate_completed(claim.holder_request_id)
        self._claim = claim
        return None

    async def _start_attempt(self) -> Refusal | None:
        """Choose an engine and make the attempt; its stream opens with the first pull."""
        attempt = await self._make_attempt(self._check, self._excluded)
        if isinstance(attempt, Err):
            return refusals.with_run_status(attempt.err_value, self._evidence.status)
        self._attempt = attempt.ok_value
        return None

    async def _make_attempt(
        self, check: StreamCheck, excluded: frozenset[EngineName]
    ) -> Result[Attempt, Refusal]:
        request = self._request
        routing = self._executor.routing
        number = self._num_attempts
        choice = await routing.choose(request, number, excluded, self._required_version)
        if isinstance(choice, Err) and excluded and _is_no_backend(choice.err_value):
            await anyio.sleep(SAME_ENGINE_PAUSE_S)
            choice = await routing.choose(request, number, frozenset(), self._required_version)
        if isinstance(choice, Err):
            return choice
        chosen = choice.ok_value
        self._set_patience(chosen, anyio.current_time())
        return Ok(self._new_attempt(chosen, check))

    def _new_attempt(self, chosen: ChosenEngine, check: StreamCheck) -> Attempt:
        now_s = anyio.current_time()
        number = self._num_attempts
        self._num_attempts += 1
        self._executor.counts.num_attempts += 1
        time_left_s = self._request.deadline_s - now_s
        call = generate_call(self._request, number, chosen, check, time_left_s)
        return Attempt(call, self._request, chosen, check, now_s)

    def _set_patience(self, chosen: ChosenEngine, now_s: float) -> None:
        time_left_s = self._request.deadline_s - now_s
        patience_s = first_chunk_patience_s(chosen.choice.estimated_ttft_s, time_left_s)
        self._attempt_give_up_at_s = now_s + patience_s

    # --- passing chunks ---

    async def _first_of(self, attempt: Attempt) -> Result[TokenChunk, AttemptFailure]:
        hedge_after_s = self._rules.hedge_after_s
        if hedge_after_s is None or not self._request.repeatable or self._num_attempts > 1:
            return await attempt.next(self._attempt_give_up_at_s)
        race = await race_first_chunk(
            attempt, self._make_hedge, hedge_after_s, self._attempt_give_up_at_s
        )
        self._hedge = None
        for loser in race.losers:
            await self._retire(loser)
        if race.winner is not attempt:
            self._executor.counts.num_hedge_wins += 1
        self._attempt = race.winner
        self._check = race.winner.check
        return race.result

    async def _make_hedge(self, first: Attempt) -> Attempt | None:
        if not self._may_try_another():
            return None
        excluded = self._excluded | {first.chosen.choice.engine}
        number = self._num_attempts
        choice = await self._executor.routing.choose(self._request, number, excluded, None)
        if isinstance(choice, Err):
            return None
        self._executor.counts.num_hedges += 1
        check = StreamCheck(self._request.request_id)
        self._hedge = self._new_attempt(choice.ok_value, check)
        return self._hedge

    def _pass(self, chunk: TokenChunk) -> ChunkOrRefusal:
        attempt = self._attempt
        assert attempt is not None
        if self._required_version is None:
            self._evidence.note_answer()
            self._required_version = attempt.chosen.weight_version
        if chunk.finish_reason is not None:
            self._is_over = True
        return Ok(chunk)

    # --- recovering ---

    async def _recover(self, failed: AttemptFailure) -> Refusal | None:
        attempt = self._attempt
        assert attempt is not None
        failure_class = failed.failure_class
        if failure_class not in (FailureClass.NOT_RUN, FailureClass.INVALID):
            self._evidence.note_may_have_run()
        time_left_s = self._request.deadline_s - anyio.current_time()
        step = next_step(failure_class, self._progress(attempt, time_left_s), self._rules)
        if step is NextStep.ANOTHER and not self._may_try_another():
            # The budget is spent. A slow engine may still answer; a failed one will not.
            is_slow = failure_class is FailureClass.STALLED
            step = NextStep.RESUME if is_slow else NextStep.GIVE_UP
        self._log_failure(attempt, failed, step)
        if step is NextStep.RESUME:
            await self._resume(attempt)
            return None
        await self._leave_attempt()
        if step is NextStep.GIVE_UP:
            detail = failed.failure.detail
            return final_refusal(failure_class, detail, self._evidence, time_left_s)
        self._excluded |= {attempt.chosen.choice.engine}
        self._count_another()
        return await self._start_attempt()

    def _may_try_another(self) -> bool:
        if self._executor.budget.try_take(self._rules, anyio.current_time()):
            return True
        self._executor.counts.num_budget_refusals += 1
        return False

    async def _resume(self, attempt: Attempt) -> None:
        self._executor.counts.num_resumes += 1
        await anyio.sleep(resume_backoff_s(attempt.num_idle_resumes))
        await attempt.resume()
        self._set_patience(attempt.chosen, anyio.current_time())

    def _count_another(self) -> None:
        if self._check.next_sequence > 0:
            self._executor.counts.num_continued += 1
        else:
            self._executor.counts.num_retries += 1

    def _progress(self, attempt: Attempt, time_left_s: float) -> RequestProgress:
        return RequestProgress(
            repeatable=self._request.repeatable,
            num_attempts=self._num_attempts,
            num_chunks=self._check.next_sequence,
            num_idle_resumes=attempt.num_idle_resumes,
            may_have_run=self._evidence.may_have_run,
            time_left_s=time_left_s,
        )

    def _log_failure(self, attempt: Attempt, failed: AttemptFailure, step: NextStep) -> None:
        self._executor.event_log.event(
            "attempt_failed",
            request_id=self._request.request_id,
            attempt=attempt.call.attempt,
            engine=attempt.chosen.choice.engine,
            address=attempt.chosen.address,
            failure=failed.failure.kind.value,
            detail=failed.failure.detail,
            num_chunks=self._check.next_sequence,
            next=step.value,
        )

    # --- ending ---

    def _end(self, refusal: Refusal) -> ChunkOrRefusal:
        self._is_over = True
        return Err(refusal)

    async def _leave_attempt(self) -> None:
        attempt = self._attempt
        self._attempt = None
        if attempt is not None:
            await self._retire(attempt)

    async def _retire(self, attempt: Attempt) -> None:
        executor = self._executor
        executor.counts.num_repeated_chunks += attempt.num_repeated
        if attempt.may_have_run:
            self._evidence.note_may_have_run()
        attempt.finish(executor.routing, executor.canceller, anyio.current_time())
        await attempt.close()


def _is_no_backend(refusal: Refusal) -> bool:
    return refusal.code is RefusalCode.NO_BACKEND
