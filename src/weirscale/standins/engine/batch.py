"""Continuous batching: select the running requests and plan the next step."""

import heapq
import itertools

import msgspec

from weirscale.standins.engine.attempt import Attempt
from weirscale.standins.engine.prefix_cache import PrefixCache
from weirscale.standins.engine.settings import EngineSettings


class PrefillPart(msgspec.Struct):
    """Prompt tokens of one attempt that a step computes."""

    attempt: Attempt
    num_tokens: int


class Step(msgspec.Struct):
    """One step of computation.

    Attributes:
        duration_s: Duration of the step.
        prefills: Prompt tokens to prefill.
        decoding: Attempts that generate tokens.
        num_decode_steps: Number of tokens that each decoding attempt generates.
    """

    duration_s: float
    prefills: list[PrefillPart]
    decoding: list[Attempt]
    num_decode_steps: int


class Batch:
    """Waiting and running attempts of one incarnation of an engine."""

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self._settings = settings
        self._cache = cache
        self._waiting: list[tuple[int, int, Attempt]] = []
        self._arrivals = itertools.count()
        self.running: list[Attempt] = []
        self.num_waiting = 0

    def add(self, attempt: Attempt) -> None:
        """Queue an attempt by priority, then by arrival."""
        heapq.heappush(self._waiting, (attempt.call.priority, next(self._arrivals), attempt))
        self.num_waiting += 1

    def waiting(self) -> list[Attempt]:
        """Return the waiting attempts in no particular order."""
        return [entry[2] for entry in self._waiting if not entry[2].is_done]

    def admit_next(self) -> Attempt | None:
        """Move the first waiting attempt into the batch and return it.

        Return None if no attempt waits, or if the batch or the memory has no room.
        """
        while self._waiting and self._waiting[0][2].is_done:
            heapq.heappop(self._waiting)
        if not self._waiting or len(self.running) >= self._settings.max_running:
            return None
        attempt = self._waiting[0][2]
        num_matched = self._cache.num_matched(attempt.block_hashes)
        num_new = attempt.num_total_blocks - num_matched
        if not self._cache.acquire(attempt.block_hashes, num_matched, num_new):
            return None
        heapq.heappop(self._waiting)
        self.num_waiting -= 1
        attempt.num_held_blocks = num_matched
        attempt.num_reserved_blocks = num_new
        self.running.append(attempt)
        return attempt

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended from the batch or the queue."""
        if attempt in self.running:
            self.running.remove(attempt)
            held = attempt.block_hashes[: attempt.num_held_blocks]
            self._cache.release(held, attempt.num_reserved_blocks)
        else:
            self.num_waiting -= 1

    def next_step(self) -> Step | None:
        """Plan the next step within the token budget; return None if nothing runs."""
        if not self.running:
            return None
        settings = self._settings
        decoding = [item for item in self.running if not item.num_prefill_left]
        budget = max(1, settings.max_step_tokens - len(decoding))
        prefills: list[PrefillPart] = []
        for attempt in self.running:
            if attempt.num_prefill_left and budget:
                num_tokens = min(budget, attempt.num_prefill_left)
                budget -= num_tokens
                prefills.append(PrefillPart(attempt, num_tokens))
        num_steps = 1
        if not prefills:
            max_tokens_left = max(attempt.num_tokens_left for attempt in decoding)
            num_steps = max(1, min(settings.num_scheduler_steps, max_tokens_left))
        num_prefill_tokens = sum(part.num_tokens for part in prefills)
        decode_s = settings.step_fixed_s + settings.decode_request_s * len(decoding)
        duration_s = num_steps * decode_s + settings.prefill_token_s * num_prefill_tokens
        return Step(duration_s, prefills, decoding, num_steps)
