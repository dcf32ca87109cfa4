"""The attempts of one generation request: starting them with a time limit, and ending them."""

import anyio
from result import Err, Ok, Result

from weirscale.domain.identifiers import EngineName, WeightVersion
from weirscale.domain.request import refusals
from weirscale.domain.request.model import GenerationRequest
from weirscale.domain.request.refusal import Refusal, RefusalCode
from weirscale.domain.request.retry_policy import (
    RunEvidence,
    first_chunk_timeout_s,
    resume_backoff_s,
)
from weirscale.domain.request.stream import StreamCheck
from weirscale.node.execution.attempt import Attempt, generate_call
from weirscale.node.execution.canceller import EngineCanceller
from weirscale.node.execution.counts import GenerationCounts
from weirscale.node.execution.history import RequestHistory
from weirscale.node.interfaces import ChosenEngine
from weirscale.node.routing.engine_router import EngineRouter

SAME_ENGINE_PAUSE_S = 0.1
"""Pause before retrying an engine that failed this request, if no other engine is available."""


class RequestAttempts:
    """Starts and ends the attempts of one request; used only by the task that runs the request.

    Args:
        request: The request.
        routing: Chooses engines and receives the outcomes of attempts.
        canceller: Cancels the engines' work for abandoned attempts.
        counts: The executor's counts.

    Attributes:
        evidence: Evidence of whether the request ran.
        history: Attempts and failures, for the log.
        excluded: Engines that failed this request.
        required_version: Weight version that every further attempt must use, set with the first
            chunk of the answer.
        give_up_at_s: When the first chunk of the latest attempt times out.
    """

    def __init__(
        self,
        request: GenerationRequest,
        routing: EngineRouter,
        canceller: EngineCanceller,
        counts: GenerationCounts,
    ) -> None:
        self.evidence = RunEvidence()
        self.history = RequestHistory()
        self.excluded: frozenset[EngineName] = frozenset()
        self.required_version: WeightVersion | None = None
        self.give_up_at_s = request.deadline_s
        self._request = request
        self._routing = routing
        self._canceller = canceller
        self._counts = counts
        self._ended: list[Attempt] = []

    async def start(self, check: StreamCheck) -> Result[Attempt, Refusal]:
        """Choose an engine and create an attempt, whose stream opens with the first `next`."""
        choice = await self._choose(self.excluded)
        if isinstance(choice, Err) and self.excluded and _is_no_backend(choice.err_value):
            await self._pause(SAME_ENGINE_PAUSE_S)
            choice = await self._choose(frozenset())
        if isinstance(choice, Err):
            return Err(refusals.with_run_status(choice.err_value, self.evidence.status))
        self._start_first_chunk_timeout(choice.ok_value)
        return Ok(self._make_attempt(choice.ok_value, check))

    async def start_hedge(self, first: Attempt) -> Attempt | None:
        """Create an attempt on another engine, in parallel with a slow first one, if possible."""
        slow_engine = first.chosen.choice.engine
        choice = await self._choose(self.excluded | {slow_engine})
        if isinstance(choice, Err):
            return None
        self._counts.num_hedges += 1
        self.history.record_hedge(slow_engine)
        return self._make_attempt(choice.ok_value, StreamCheck(self._request.request_id))

    async def resume(self, attempt: Attempt) -> None:
        """Back off, then prepare to resume the attempt's stream; the following `next` opens it."""
        self._counts.num_resumes += 1
        self.history.num_resumes += 1
        await self._pause(resume_backoff_s(attempt.num_idle_resumes))
        await attempt.resume()
        self._start_first_chunk_timeout(attempt.chosen)

    def end(self, attempt: Attempt) -> None:
        """Report an attempt's outcome and request the cancellation of its work, without waiting.

        `close` closes the connection later, because closing a broken connection may take long and
        must not delay the answer to the caller.
        """
        self._counts.num_repeated_chunks += attempt.num_repeated
        if attempt.may_have_run:
            self.evidence.record_possible_run()
        attempt.finish(self._routing, self._canceller, anyio.current_time())
        self._ended.append(attempt)

    async def close(self) -> None:
        """Close the connections of ended attempts."""
        while self._ended:
            await self._ended.pop().close()

    async def _choose(self, excluded: frozenset[EngineName]) -> Result[ChosenEngine, Refusal]:
        request = self._request
        number = self.history.num_attempts
        with anyio.CancelScope(deadline=request.deadline_s):
            return await self._routing.choose(request, number, excluded, self.required_version)
        return Err(refusals.deadline_exceeded(self.evidence.status))

    def _make_attempt(self, chosen: ChosenEngine, check: StreamCheck) -> Attempt:
        now_s = anyio.current_time()
        number = self.history.num_attempts
        self.history.record_attempt(chosen.choice.engine)
        self._counts.num_attempts += 1
        time_left_s = self._request.deadline_s - now_s
        call = generate_call(self._request, number, chosen, check, time_left_s)
        return Attempt(call, self._request, chosen, check, now_s)

    def _start_first_chunk_timeout(self, chosen: ChosenEngine) -> None:
        now_s = anyio.current_time()
        time_left_s = self._request.deadline_s - now_s
        timeout_s = first_chunk_timeout_s(chosen.choice.estimated_ttft_s, time_left_s)
        self.give_up_at_s = now_s + timeout_s

    async def _pause(self, pause_s: float) -> None:
        """Sleep, at most until the request's deadline."""
        if pause_s > 0:
            await anyio.sleep_until(min(anyio.current_time() + pause_s, self._request.deadline_s))


def _is_no_backend(refusal: Refusal) -> bool:
    return refusal.code is RefusalCode.NO_BACKEND
