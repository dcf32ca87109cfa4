"""Task that chooses engines; it owns the policy, the load estimates and the decision log."""

from collections.abc import Callable, Sequence
from random import Random

import anyio
import msgspec
from result import Err, Ok, Result

from weirscale.domain.choice.policy import Choice, ChoiceRequest
from weirscale.domain.choice.prefix_aware import PrefixAware
from weirscale.domain.identifiers import (
    BlockHash,
    EngineName,
    RequestId,
    WeightVersion,
    ZoneName,
)
from weirscale.domain.prefix.chain import BYTES_PER_TOKEN, chain_seed
from weirscale.domain.request.model import GenerationRequest
from weirscale.domain.request.refusal import Refusal
from weirscale.domain.request.refusals import not_configured, unknown_model
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.backends.facts import DirectorySnapshot
from weirscale.node.backends.observations import EngineAttemptEnded, EngineAttemptStarted
from weirscale.node.interfaces import AttemptOutcome, ChosenEngine
from weirscale.node.mailbox import Mailbox, Reply
from weirscale.node.routing.attempt_records import (
    attempt_result,
    choice_record,
    refusal_record,
)
from weirscale.node.routing.candidates import (
    CandidateFinder,
    CandidateSet,
    GroupKey,
    LoadEstimates,
)
from weirscale.node.routing.decisions import DecisionLog
from weirscale.node.routing.refusals import (
    all_full,
    no_backend,
    router_overloaded,
)

FIRST_REPORT_WAIT_S = 1.0
"""Longest wait of a request for the first configuration and reports after a node's start."""

SWEEP_INTERVAL_S = 30.0
"""Time between two searches for attempts whose outcome was never reported."""

SWEEP_MARGIN_S = 60.0
"""An attempt is taken as ended this long after its caller's deadline, even without a report."""

HashPrompt = Callable[[BlockHash, bytes, int], Sequence[BlockHash]]
"""Returns the block hashes of a prompt; arguments are seed, prompt and block size in bytes."""

ChooseResult = Result[ChosenEngine, Refusal]


class _Choose(msgspec.Struct, frozen=True):
    request: GenerationRequest
    attempt: int
    excluded: frozenset[EngineName]
    required_version: WeightVersion | None
    reply: Reply[ChooseResult]


class _Withdraw(msgspec.Struct, frozen=True):
    """The caller was cancelled before it received the choice."""

    request_id: RequestId
    attempt: int


class _Sweep(msgspec.Struct, frozen=True):
    pass


_Message = _Choose | AttemptOutcome | _Withdraw | _Sweep


class _RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt whose outcome has not been reported yet."""

    choice_request: ChoiceRequest
    engine: EngineName
    address: str
    deadline_s: float


class EngineRouter:
    """Chooses engines for attempts and records the outcomes; `run` must be running.

    Args:
        directory: The directory of back ends.
        policy: Chooses among candidates; used by this task alone.
        decisions: Log of decisions.
        link_delay_s: One-way delay from this node to a zone.
        random: For the policy and for engines of reduced admission weight.
        hash_prompt: Returns the block hashes of a prompt.
    """

    def __init__(
        self,
        directory: BackendDirectory,
        policy: PrefixAware,
        decisions: DecisionLog,
        link_delay_s: Callable[[ZoneName], float],
        random: Random,
        hash_prompt: HashPrompt,
    ) -> None:
        self._directory = directory
        self._policy = policy
        self._decisions = decisions
        self._random = random
        self._hash_prompt = hash_prompt
        self._mailbox: Mailbox[_Message] = Mailbox()
        self._estimates = LoadEstimates()
        self._finder = CandidateFinder(
            self._estimates, link_delay_s, directory.health_rules, random
        )
        self._running: dict[tuple[RequestId, int], _RunningAttempt] = {}
        self.num_lost_reports = 0

    async def choose(
        self,
        request: GenerationRequest,
        attempt: int,
        excluded: frozenset[EngineName],
        required_version: WeightVersion | None,
    ) -> ChooseResult:
        """Choose an engine for an attempt.

        Waits up to `FIRST_REPORT_WAIT_S` for the first reports if the node has just started.
        """
        wait_until_s = min(anyio.current_time() + FIRST_REPORT_WAIT_S, request.deadline_s)
        while True:
            result = await self._request_choice(request, attempt, excluded, required_version)
            if result.is_ok() or not self._is_starting(request):
                return result
            with anyio.move_on_at(wait_until_s) as deadline:
                await self._directory.wait_for_change()
            if deadline.cancelled_caught:
                return result

    def report(self, outcome: AttemptOutcome) -> None:
        """Report the outcome of an attempt; dropped and counted if the mailbox is full."""
        if not self._mailbox.post(outcome):
            self.num_lost_reports += 1

    async def run(self) -> None:
        """Choose engines and record outcomes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep_at_intervals)
            while True:
                self._handle(await self._mailbox.receive())

    async def _request_choice(
        self,
        request: GenerationRequest,
        attempt: int,
        excluded: frozenset[EngineName],
        required_version: WeightVersion | None,
    ) -> ChooseResult:
        reply: Reply[ChooseResult] = Reply()
        message = _Choose(request, attempt, excluded, required_version, reply)
        if not self._mailbox.post(message):
            return Err(router_overloaded())
        is_answered = False
        try:
            result = await reply.wait()
            is_answered = True
        finally:
            if not is_answered:
                self._mailbox.post(_Withdraw(request.request_id, attempt))
        return result

    def _is_starting(self, request: GenerationRequest) -> bool:
        """Return whether no engine declared for the model has reported yet."""
        snapshot = self._directory.snapshot()
        if not snapshot.revision:
            return True
        declared = [
            facts for facts in snapshot.engines.values() if facts.engine.model == request.model
        ]
        return bool(declared) and not any(facts.num_reports for facts in declared)

    async def _sweep_at_intervals(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            await self._mailbox.put(_Sweep())

    def _handle(self, message: _Message) -> None:
        match message:
            case _Choose():
                message.reply.set(self._choose(message, anyio.current_time()))
            case AttemptOutcome():
                self._record_outcome(message)
            case _Withdraw():
                self._remove_attempt(message.request_id, message.attempt)
            case _Sweep():
                self._sweep(anyio.current_time())

    def _choose(self, message: _Choose, now_s: float) -> ChooseResult:
        request = message.request
        snapshot = self._directory.snapshot()
        if not snapshot.revision:
            return Err(not_configured())
        if request.model not in snapshot.declared_models:
            return Err(unknown_model(request.model))
        candidate_set = self._finder.find(
            snapshot, request, message.excluded, message.required_version, now_s
        )
        chosen = self._choose_from(candidate_set, message, now_s)
        if chosen is None:
            return Err(self._refuse(candidate_set, message, now_s))
        choice_request, choice = chosen
        return Ok(self._send(snapshot, candidate_set, message, choice_request, choice, now_s))

    def _choose_from(
        self, candidate_set: CandidateSet, message: _Choose, now_s: float
    ) -> tuple[ChoiceRequest, Choice] | None:
        """Let the policy choose in each group, and return the choice with the lowest cost."""
        best: tuple[ChoiceRequest, Choice] | None = None
        best_cost = float("inf")
        for key, candidates in candidate_set.groups.items():
            choice_request = self._choice_request(message, key)
            choice = self._policy.choose(choice_request, candidates, now_s, self._random)
            if choice is None:
                continue
            cost = choice.estimates[0].cost if choice.estimates else 0.0
            if best is None or cost < best_cost:
                best, best_cost = (choice_request, choice), cost
        return best

    def _choice_request(self, message: _Choose, key: GroupKey) -> ChoiceRequest:
        request = message.request
        seed = chain_seed(request.tenant, request.model, key.weight_version, request.adapter)
        return ChoiceRequest(
            request_id=request.request_id,
            tenant=request.tenant,
            block_hashes=self._hash_prompt(seed, request.prompt, key.block_size_bytes),
            num_prompt_tokens=max(1, int(len(request.prompt) / BYTES_PER_TOKEN)),
            tokens_per_block=key.block_size_bytes / BYTES_PER_TOKEN,
            excluded=message.excluded,
        )

    def _send(
        self,
        snapshot: DirectorySnapshot,
        candidate_set: CandidateSet,
        message: _Choose,
        choice_request: ChoiceRequest,
        choice: Choice,
        now_s: float,
    ) -> ChosenEngine:
        facts = snapshot.engines[choice.engine]
        engine = facts.engine
        report = facts.report
        assert report is not None and report.weight_version is not None
        request = message.request
        num_cached = min(
            choice_request.num_prompt_tokens,
            int(choice.num_matched_blocks * choice_request.tokens_per_block),
        )
        key = (request.request_id, message.attempt)
        self._running[key] = _RunningAttempt(
            choice_request, engine.name, engine.address, request.deadline_s
        )
        self._estimates.of(facts).record_send(
            key, choice_request.num_prompt_tokens - num_cached, now_s, engine.prefill_tokens_per_s
        )
        self._policy.record_send(choice_request, engine.name, now_s)
        self._directory.post(EngineAttemptStarted(engine.name, engine.address))
        record = choice_record(
            message.attempt,
            candidate_set,
            choice,
            engine.address,
            report.incarnation,
            report.weight_version,
            num_cached,
            now_s,
        )
        self._decisions.record_decision(request, record)
        return ChosenEngine(
            choice, facts.port, report.incarnation, report.weight_version, engine.address
        )

    def _refuse(self, candidate_set: CandidateSet, message: _Choose, now_s: float) -> Refusal:
        target = f"model {message.request.model!r}"
        refusal = (
            all_full(target, candidate_set.retry_after_s)
            if candidate_set.num_full
            else no_backend(target, candidate_set.retry_after_s)
        )
        record = refusal_record(
            message.attempt, candidate_set, message.required_version, refusal, now_s
        )
        self._decisions.record_decision(message.request, record)
        return refusal

    def _record_outcome(self, outcome: AttemptOutcome) -> None:
        request_id = outcome.request.request_id
        duration_s = outcome.duration_s if outcome.failure is None else None
        running = self._remove_attempt(request_id, outcome.attempt, duration_s)
        if running is None:
            return
        now_s = anyio.current_time()
        if outcome.failure is None:
            self._policy.record_completion(
                running.choice_request, running.engine, outcome.num_cached_tokens, now_s
            )
        self._directory.post(
            EngineAttemptEnded(
                outcome.engine, running.address, outcome.incarnation, outcome.failure
            )
        )
        self._decisions.record_result(request_id, outcome.attempt, attempt_result(outcome))

    def _remove_attempt(
        self, request_id: RequestId, attempt: int, duration_s: float | None = None
    ) -> _RunningAttempt | None:
        key = (request_id, attempt)
        running = self._running.pop(key, None)
        if running is None:
            return None
        estimate = self._estimates.find(running.engine)
        if estimate is not None:
            estimate.record_end(key, duration_s)
        return running

    def _sweep(self, now_s: float) -> None:
        """Drop attempts whose outcome was never reported, and estimates of removed engines."""
        overdue = [
            key
            for key, running in self._running.items()
            if now_s > running.deadline_s + SWEEP_MARGIN_S
        ]
        for request_id, attempt in overdue:
            self._remove_attempt(request_id, attempt)
        self._estimates.retain_only(self._directory.snapshot().engines)
