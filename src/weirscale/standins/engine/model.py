"""Model of an inference engine without I/O: the caller passes the time and waits."""

import heapq
from collections import OrderedDict
from collections.abc import Sequence

from result import Err, Ok, Result

from weirscale.domain.identifiers import (
    AdapterName,
    BlockHash,
    Incarnation,
    ModelName,
    RequestId,
    WeightVersion,
)
from weirscale.domain.prefix.chain import BYTES_PER_TOKEN, chain_seed, extend_chain
from weirscale.messages.cache import CacheDump, LoadReport
from weirscale.ports.engine import (
    ChangeRole,
    EngineFailure,
    EngineFailureKind,
    EngineOrder,
    GenerateCall,
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
)
from weirscale.standins.engine.attempt import Attempt
from weirscale.standins.engine.batch import Batch, Step
from weirscale.standins.engine.event_log import EventLog
from weirscale.standins.engine.ledger import RunLedger, RunRecord
from weirscale.standins.engine.orders import OrderFence
from weirscale.standins.engine.prefix_cache import PrefixCache
from weirscale.standins.engine.settings import EngineSettings

AttemptKey = tuple[RequestId, int]

BUSY_RETRY_AFTER_S = 0.5
"""Retry hint of a busy refusal: after a few more steps, room in the queue is likely."""


def count_tokens(num_bytes: int) -> int:
    """Return the number of tokens in a number of bytes of text, rounded up."""
    return -int(-num_bytes // BYTES_PER_TOKEN)


class EngineModel:
    """One engine over all its incarnations; a crash starts a new one with an empty cache."""

    def __init__(self, settings: EngineSettings, incarnation: Incarnation) -> None:
        self.settings = settings
        self.ledger = RunLedger(settings.max_ledger_records)
        self.is_leaving = False
        self._start_incarnation(incarnation)

    def _start_incarnation(self, incarnation: Incarnation) -> None:
        settings = self.settings
        self.incarnation = incarnation
        self.model: ModelName | None = settings.model
        self.weight_version: WeightVersion | None = settings.weight_version
        self.adapters: set[AdapterName] = set(settings.adapters)
        self.role = "both"
        self.events = EventLog(settings.name, incarnation, settings.replay_window_batches)
        self.cache = PrefixCache(settings.num_total_blocks, self.events)
        self.batch = Batch(settings, self.cache)
        self.pending_load: LoadModel | None = None
        self._fence = OrderFence()
        self._pending_load_token = 0
        self._failed_load_token = 0
        self._order_token = 0
        self._attempts: dict[AttemptKey, Attempt] = {}
        self._finished: OrderedDict[AttemptKey, Attempt] = OrderedDict()
        self._deadlines: list[tuple[float, int, Attempt]] = []
        self._num_submitted = 0
        self._step: Step | None = None
        self.finished_attempts: list[Attempt] = []
        self._num_waiting_prefill_tokens = 0
        self._report = self._snapshot()
        self._report_number = -1

    def submit(self, call: GenerateCall, now_s: float) -> Result[Attempt, EngineFailure]:
        """Queue an attempt, or refuse it without running it."""
        self._refresh_report(now_s)
        self._drop_old_attempts(now_s)
        refusal = self.refusal(call)
        if refusal is not None:
            return Err(refusal)
        attempt = self._new_attempt(call, now_s)
        if attempt.num_total_blocks > self.settings.num_total_blocks:
            detail = f"needs {attempt.num_total_blocks} blocks; shorten the prompt or the answer"
            return Err(EngineFailure(EngineFailureKind.REFUSED_INVALID, detail))
        self._attempts[(call.request_id, call.attempt)] = attempt
        self._num_waiting_prefill_tokens += attempt.num_prefill_left
        self._num_submitted += 1
        heapq.heappush(self._deadlines, (attempt.deadline_s, self._num_submitted, attempt))
        self.batch.add(attempt)
        return Ok(attempt)

    def find(self, request_id: RequestId, attempt: int) -> Attempt | None:
        """Return a current or retained attempt, or None."""
        return self._attempts.get((request_id, attempt))

    def cancel(self, request_id: RequestId, attempt_number: int, now_s: float) -> bool:
        """Stop an attempt; return False if it is unknown."""
        self._refresh_report(now_s)
        attempt = self.find(request_id, attempt_number)
        if attempt is None:
            return False
        self._end(attempt, "cancelled", now_s, EngineFailureKind.BROKEN)
        return True

    def begin_step(self, now_s: float) -> float | None:
        """Plan the next step and return its duration in seconds, or None if nothing runs."""
        self._refresh_report(now_s)
        self._drop_old_attempts(now_s)
        self._drop_expired(now_s)
        self._admit(now_s)
        self._step = self.batch.next_step()
        return self._step.duration_s if self._step else None

    def finish_step(self, now_s: float) -> None:
        """Apply the planned step: cache blocks, append chunks and end complete attempts."""
        self._refresh_report(now_s)
        step, self._step = self._step, None
        if step is None:
            return
        for attempt in step.decoding:
            if not attempt.is_done:
                self._generate(attempt, step.num_decode_steps, now_s)
        for prefill in step.prefills:
            if not prefill.attempt.is_done:
                self._prefill(prefill.attempt, prefill.num_tokens, now_s)
        self.flush_events(now_s)

    def flush_events(self, now_s: float) -> None:
        """Publish the cache events recorded since the last flush."""
        model = self.model or self.settings.model
        version = self.weight_version or self.settings.weight_version
        self.events.flush(model, version, now_s)

    def order(self, order: EngineOrder, now_s: float) -> Result[None, EngineFailure]:
        """Accept or refuse a fenced order; a load begins once no request runs any more."""
        self._refresh_report(now_s)
        if order.expected_incarnation not in (None, self.incarnation):
            detail = f"incarnation is {self.incarnation}; read the load report and decide again"
            return Err(EngineFailure(EngineFailureKind.REFUSED_MISMATCH, detail))
        checked = self._fence.check(order)
        if isinstance(checked, Err):
            return checked
        if checked.ok_value:
            self._execute_order(order, now_s)
        return Ok(None)

    def load_to_begin(self) -> LoadModel | None:
        """Return the pending load if no request runs, else None."""
        return self.pending_load if not self.batch.running else None

    def begin_load(self, load: LoadModel, now_s: float) -> None:
        """Drop the old weights and all blocks computed with them."""
        self._refresh_report(now_s)
        self.cache.clear()
        self.flush_events(now_s)
        self.model = None
        self.weight_version = None
        self.adapters = set()

    def finish_load(self, load: LoadModel, succeeded: bool, now_s: float) -> None:
        """Serve the loaded version, or remain without weights if the load failed."""
        self._refresh_report(now_s)
        if self.pending_load is not load:
            return
        self.pending_load = None
        if succeeded:
            self.model = load.model
            self.weight_version = load.weight_version
            self._order_token = max(self._order_token, self._pending_load_token)
        else:
            self._failed_load_token = self._pending_load_token

    def block_hashes(self, call: GenerateCall) -> list[BlockHash]:
        """Return the hash chain of a call's prompt for the loaded weights."""
        text = call.prompt + call.continue_text.encode() if call.continue_text else call.prompt
        version = self.weight_version or self.settings.weight_version
        seed = chain_seed(call.cache_salt, call.model, version, call.adapter)
        return extend_chain(seed, text, 0, self.settings.block_size_bytes)

    def import_blocks(self, block_hashes: Sequence[BlockHash], now_s: float) -> None:
        """Cache leading blocks of a chain that were read from the kept-KV store."""
        self.cache.import_blocks(block_hashes)
        self.flush_events(now_s)

    def load_report(self, now_s: float) -> LoadReport:
        """Return the state at the last multiple of the report interval."""
        self._refresh_report(now_s)
        return self._report

    def dump(self) -> CacheDump:
        """Return all cached blocks, with the last published sequence number."""
        return CacheDump(
            engine=self.settings.name,
            incarnation=self.incarnation,
            model=self.model or self.settings.model,
            weight_version=self.weight_version or self.settings.weight_version,
            sequence=self.events.last_sequence,
            block_hashes=self.cache.block_hashes(),
        )

    def crash(self, incarnation: Incarnation, now_s: float) -> None:
        """Lose all state and start a new incarnation; open streams end as broken."""
        old_events = self.events
        for attempt in self._attempts.values():
            if not attempt.is_done:
                self._close(attempt, "crashed", now_s, EngineFailureKind.BROKEN)
        self._start_incarnation(incarnation)
        old_events.notify()

    def refusal(self, call: GenerateCall) -> EngineFailure | None:
        """Return the reason for which a call would be refused now, or None."""
        kinds = EngineFailureKind
        if self.is_leaving:
            return EngineFailure(
                kinds.REFUSED_LEAVING, "the engine is shutting down; choose another"
            )
        if self.pending_load is not None:
            return EngineFailure(
                kinds.REFUSED_MISMATCH, "the engine is loading weights; choose another"
            )
        mismatch = self._mismatch(call)
        if mismatch is not None:
            return EngineFailure(kinds.REFUSED_MISMATCH, f"{mismatch}; choose another engine")
        if (call.request_id, call.attempt) in self._attempts:
            detail = "this attempt was sent before; resume it or increment the attempt number"
            return EngineFailure(kinds.REFUSED_INVALID, detail)
        if self.batch.num_waiting >= self.settings.max_waiting:
            detail = f"{self.batch.num_waiting} requests are waiting; choose another engine"
            return EngineFailure(kinds.REFUSED_BUSY, detail, BUSY_RETRY_AFTER_S)
        return None

    def _mismatch(self, call: GenerateCall) -> str | None:
        if call.expected_incarnation not in (None, self.incarnation):
            return f"incarnation is {self.incarnation}"
        if call.model != self.model:
            return f"model is {self.model}"
        if call.expected_weight_version not in (None, self.weight_version):
            return f"weight version is {self.weight_version}"
        if call.adapter is not None and call.adapter not in self.adapters:
            return f"adapter {call.adapter} is not loaded"
        return None

    def _new_attempt(self, call: GenerateCall, now_s: float) -> Attempt:
        settings = self.settings
        hashes = self.block_hashes(call)
        num_prompt_tokens = count_tokens(len(call.prompt) + len(call.continue_text.encode()))
        tokens_per_block = settings.block_size_bytes / BYTES_PER_TOKEN
        num_tokens = num_prompt_tokens + max(0, call.max_tokens - call.continue_num_tokens)
        num_total_blocks = max(len(hashes), -int(-num_tokens // tokens_per_block))
        deadline_s = now_s + call.time_left_s
        return Attempt(call, hashes, num_prompt_tokens, num_total_blocks, deadline_s)

    def _admit(self, now_s: float) -> None:
        while (attempt := self.batch.admit_next()) is not None:
            self._start(attempt, now_s)

    def _start(self, attempt: Attempt, now_s: float) -> None:
        call = attempt.call
        num_cached_bytes = attempt.num_held_blocks * self.settings.block_size_bytes
        # The last prompt token is always computed, as its logits give the first answer token.
        attempt.num_cached_tokens = min(
            int(num_cached_bytes // BYTES_PER_TOKEN), attempt.num_prompt_tokens - 1
        )
        attempt.num_prefill_left = attempt.num_prompt_tokens - attempt.num_cached_tokens
        self._num_waiting_prefill_tokens -= attempt.num_cached_tokens
        attempt.record = RunRecord(
            engine=self.settings.name,
            request_id=call.request_id,
            attempt=call.attempt,
            cache_salt=call.cache_salt,
            incarnation=self.incarnation,
            model=call.model,
            weight_version=self.weight_version or self.settings.weight_version,
            adapter=call.adapter,
            num_prompt_tokens=attempt.num_prompt_tokens,
            num_cached_tokens=attempt.num_cached_tokens,
            started_at_s=now_s,
        )
        self.ledger.add(attempt.record)

    def _prefill(self, attempt: Attempt, num_tokens: int, now_s: float) -> None:
        attempt.num_prefill_left -= num_tokens
        self._num_waiting_prefill_tokens -= num_tokens
        num_prefilled_tokens = attempt.num_prompt_tokens - attempt.num_prefill_left
        num_full_blocks = (
            int(num_prefilled_tokens * BYTES_PER_TOKEN) // self.settings.block_size_bytes
        )
        hashes = attempt.block_hashes
        for index in range(attempt.num_held_blocks, min(num_full_blocks, len(hashes))):
            self.cache.store_reserved(hashes[index], hashes[index - 1] if index else None)
            attempt.num_held_blocks += 1
            attempt.num_reserved_blocks -= 1
        if not attempt.num_prefill_left:
            self._generate(attempt, 1, now_s)

    def _generate(self, attempt: Attempt, num_tokens: int, now_s: float) -> None:
        attempt.generate(num_tokens)
        if attempt.num_tokens_left:
            attempt.notify()
        else:
            self._end(attempt, "finished", now_s, None)
            self.finished_attempts.append(attempt)

    def _drop_expired(self, now_s: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_s:
            attempt = heapq.heappop(self._deadlines)[2]
            self._end(attempt, "expired", now_s, EngineFailureKind.TIMED_OUT)

    def _end(
        self, attempt: Attempt, outcome: str, now_s: float, kind: EngineFailureKind | None
    ) -> None:
        if attempt.is_done:
            return
        self._num_waiting_prefill_tokens -= attempt.num_prefill_left
        self.batch.remove(attempt)
        self._close(attempt, outcome, now_s, kind)
        attempt.retained_until_s = now_s + self.settings.attempt_retention_s
        self._finished[(attempt.call.request_id, attempt.call.attempt)] = attempt

    def _close(
        self, attempt: Attempt, outcome: str, now_s: float, kind: EngineFailureKind | None
    ) -> None:
        attempt.is_done = True
        if kind is not None:
            attempt.failure = EngineFailure(kind, f"the engine's work has {outcome}")
        if attempt.record is not None:
            attempt.record.finished_at_s = now_s
            attempt.record.outcome = outcome
        attempt.notify()

    def _drop_old_attempts(self, now_s: float) -> None:
        while self._finished:
            key, attempt = next(iter(self._finished.items()))
            if attempt.retained_until_s > now_s:
                return
            del self._finished[key]
            del self._attempts[key]

    def _execute_order(self, order: EngineOrder, now_s: float) -> None:
        action = order.action
        if isinstance(action, LoadModel):
            self.pending_load = action
            self._pending_load_token = order.token
            for attempt in self.batch.waiting():
                self._end(attempt, "refused", now_s, EngineFailureKind.REFUSED_MISMATCH)
            return
        if isinstance(action, LoadAdapter):
            self.adapters.add(action.adapter)
        elif isinstance(action, UnloadAdapter):
            self.adapters.discard(action.adapter)
        elif isinstance(action, ChangeRole):
            self.role = action.role
        self._order_token = order.token

    def _refresh_report(self, now_s: float) -> None:
        # Every change of the state calls this first, so the present state still is the state at the
        # last multiple of the interval.
        number = int(now_s / self.settings.load_report_interval_s)
        if number != self._report_number:
            self._report = self._snapshot()
            self._report_number = number

    def _snapshot(self) -> LoadReport:
        return LoadReport(
            engine=self.settings.name,
            incarnation=self.incarnation,
            model=self.model,
            weight_version=self.weight_version,
            adapters=tuple(sorted(self.adapters)),
            num_running=len(self.batch.running),
            num_waiting=self.batch.num_waiting,
            num_waiting_prefill_tokens=self._num_waiting_prefill_tokens,
            num_cached_blocks=self.cache.num_cached,
            num_total_blocks=self.settings.num_total_blocks,
            is_leaving=self.is_leaving,
            order_token=self._order_token,
            role=self.role,
            loading_token=self._pending_load_token if self.pending_load is not None else 0,
            failed_load_token=self._failed_load_token,
        )
