"""Execution of generation requests: one answer for the caller, made of one or more attempts."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from result import Err, Ok, Result

from weirscale.domain.configuration.model import RetryRules
from weirscale.domain.request import refusals
from weirscale.domain.request.model import GenerationRequest, TokenChunk
from weirscale.domain.request.refusal import Refusal
from weirscale.domain.request.retry_budget import RetryBudget
from weirscale.domain.request.retry_policy import NextStep
from weirscale.domain.request.stream import StreamCheck
from weirscale.node.claims.ledger import QuorumClaimLedger
from weirscale.node.execution.attempt import Attempt, AttemptFailure, ChunkSink
from weirscale.node.execution.attempts import RequestAttempts
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.execution.claims import claim_key, fingerprint, settle_claim
from weirscale.node.execution.counts import GenerationCounts
from weirscale.node.execution.hedge import race_first_chunk
from weirscale.node.execution.history import RequestHistory
from weirscale.node.execution.recovery import GenerationRecovery
from weirscale.node.interfaces import Claim, ClaimState
from weirscale.node.routing.engine_router import EngineRouter
from weirscale.ports.event_log import EventLog

ChunkOrRefusal = Result[TokenChunk, Refusal]


class GenerationExecutor:
    """Runs generation requests on the engines that routing chooses.

    Args:
        routing: Chooses engines and receives the outcomes of attempts.
        ledger: Ledger of at-most-once claims, or None if the node has none.
        rules: Returns the retry rules in force.
        canceller: Cancels abandoned work; its `run` must be running.
        event_log: Receives an event for each failed attempt.
        budget: The node's retry budget, shared with the service executor.
    """

    def __init__(
        self,
        routing: EngineRouter,
        ledger: QuorumClaimLedger | None,
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
        """Run a request; leaving the context stops all work that still runs for it.

        The run is an iterator that yields Ok chunks, each once and in order. It ends after the
        chunk with a finish reason, or after one Err. Nothing is read ahead of the consumer.
        """
        run = GenerationRun(self, request)
        try:
            yield run
        finally:
            await run.close()


class GenerationRun:
    """The run of one request, an iterator over the chunks of its answer; used by one task."""

    def __init__(self, executor: GenerationExecutor, request: GenerationRequest) -> None:
        self._executor = executor
        self._request = request
        self._rules = executor.rules()
        self._check = StreamCheck(request.request_id)
        self._attempts = RequestAttempts(
            request, executor.routing, executor.canceller, executor.counts
        )
        self._recovery = GenerationRecovery(
            request,
            self._attempts,
            self._rules,
            executor.budget,
            executor.counts,
            executor.event_log,
        )
        self._attempt: Attempt | None = None
        self._hedge: Attempt | None = None
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
                result = await self._wait_first_chunk(attempt)
            if isinstance(result, Ok):
                return self._accept(result.ok_value)
            refusal = await self._recover(result.err_value)
            if refusal is not None:
                return self._end(refusal)

    async def deliver(self, sink: ChunkSink) -> Refusal | None:
        """Pass the rest of the answer to a sink, instead of iterating.

        Args:
            sink: Called with each chunk in order, after the first has been read with `anext`.

        Returns:
            None once the last chunk has been passed on, otherwise the refusal that ends the answer.
        """
        while not self._is_over:
            attempt = self._attempt
            if attempt is None or attempt.last_chunk is None:
                result = await anext(self)
                if isinstance(result, Err):
                    return result.err_value
                await sink(result.ok_value, self.num_ready > 0)
                continue
            refusal = await self._deliver_attempt(attempt, sink)
            if refusal is not None:
                self._is_over = True
                return refusal
        return None

    async def _deliver_attempt(self, attempt: Attempt, sink: ChunkSink) -> Refusal | None:
        watch = self._executor.canceller.stall_watch
        attempt_failure = await attempt.stream(sink, watch, self._request.deadline_s)
        self._is_over = attempt.is_complete
        return None if attempt_failure is None else await self._recover(attempt_failure)

    @property
    def num_ready(self) -> int:
        """Return the number of arrived, unread chunks; more than 0 if the consumer lags."""
        return self._attempt.num_ready if self._attempt is not None else 0

    @property
    def history(self) -> RequestHistory:
        """Return the attempts and failures of the request so far."""
        return self._attempts.history

    async def close(self) -> None:
        """Cancel running attempts, close their connections and settle the claim."""
        self._is_over = True
        self._end_attempt()
        if self._hedge is not None:
            self._attempts.end(self._hedge)
        await self._attempts.close()
        if self._claim is not None and self._executor.ledger is not None:
            claim = self._claim
            self._claim = None
            status = self._attempts.evidence.status
            await settle_claim(self._executor.ledger, claim, status, None)

    async def _start(self) -> Refusal | None:
        self._has_started = True
        self._executor.budget.record_first_attempt(self._rules)
        refusal = await self._claim_key()
        if refusal is not None:
            return refusal
        return await self._start_attempt()

    async def _claim_key(self) -> Refusal | None:
        request = self._request
        ledger = self._executor.ledger
        if request.repeatable or request.idempotency_key is None or ledger is None:
            return None
        claimed = await claim_key(
            ledger,
            request.tenant,
            request.idempotency_key,
            request.request_id,
            _fingerprint(request),
            request.deadline_s,
        )
        if isinstance(claimed, Err):
            return claimed.err_value
        claim = claimed.ok_value
        if claim.state is ClaimState.COMPLETED:
            return refusals.duplicate_completed(claim.holder_request_id)
        self._claim = claim
        return None

    async def _start_attempt(self) -> Refusal | None:
        started = await self._attempts.start(self._check)
        if isinstance(started, Err):
            return started.err_value
        self._attempt = started.ok_value
        return None

    # --- chunks ---

    async def _wait_first_chunk(self, attempt: Attempt) -> Result[TokenChunk, AttemptFailure]:
        attempts = self._attempts
        hedge_after_s = self._rules.hedge_after_s
        is_first = attempts.history.num_attempts == 1
        if hedge_after_s is None or not self._request.repeatable or not is_first:
            return await attempt.next(attempts.give_up_at_s)
        race = await race_first_chunk(
            attempt, self._make_hedge, hedge_after_s, attempts.give_up_at_s
        )
        self._hedge = None
        for loser in race.losers:
            attempts.end(loser)
        if race.winner is not attempt:
            self._executor.counts.num_hedge_wins += 1
        self._attempt = race.winner
        self._check = race.winner.check
        return race.result

    async def _make_hedge(self, first: Attempt) -> Attempt | None:
        if not self._recovery.try_take_retry():
            return None
        self._hedge = await self._attempts.start_hedge(first)
        return self._hedge

    def _accept(self, chunk: TokenChunk) -> ChunkOrRefusal:
        attempt = self._attempt
        assert attempt is not None
        if self._attempts.required_version is None:
            self._attempts.evidence.record_answer()
            self._attempts.required_version = attempt.chosen.weight_version
        if chunk.finish_reason is not None:
            self._is_over = True
        return Ok(chunk)

    # --- recovery ---

    async def _recover(self, attempt_failure: AttemptFailure) -> Refusal | None:
        attempt = self._attempt
        assert attempt is not None
        decision = self._recovery.decide(attempt, attempt_failure, self._check.next_sequence)
        if decision.step is NextStep.RESUME:
            await self._attempts.resume(attempt)
            return None
        self._end_attempt()
        if decision.refusal is not None:
            return decision.refusal
        self._attempts.excluded |= {attempt.chosen.choice.engine}
        return await self._start_attempt()

    # --- end ---

    def _end(self, refusal: Refusal) -> ChunkOrRefusal:
        self._is_over = True
        return Err(refusal)

    def _end_attempt(self) -> None:
        if self._attempt is not None:
            self._attempts.end(self._attempt)
        self._attempt = None


def _fingerprint(request: GenerationRequest) -> bytes:
    return fingerprint(
        request.path.encode(),
        request.model.encode(),
        (request.adapter or "").encode(),
        str(request.max_tokens).encode(),
        request.prompt,
    )
