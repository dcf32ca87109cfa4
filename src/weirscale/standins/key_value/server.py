"""The store with faults, shared by the in-process port and the HTTP app."""

from collections.abc import AsyncGenerator, Callable
from random import Random
from typing import TypeVar

import anyio
import msgspec

from weirscale.standins.key_value.model import Change, KeyValueModel

AnswerT = TypeVar("AnswerT")


class KeyValueFaults(msgspec.Struct):
    """Active faults; the fields may be changed at any time.

    Attributes:
        is_down: All calls are refused before they take effect; watches end.
        delay_s: Duration of each call, half of it before the effect and half after.
        lost_answer_probability: Probability that an answer is lost after the call took effect.
        num_answers_to_lose: Number of next calls whose answers are lost after they took effect.
        requests_per_s: Rate limit for all clients together, None for no limit.
        burst_requests: Burst size of the rate limit.
        is_watch_silent: Watches stay open but deliver no changes.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lost_answer_probability: float = 0.0
    num_answers_to_lose: int = 0
    requests_per_s: float | None = None
    burst_requests: int = 10
    is_watch_silent: bool = False


class StoreDownError(Exception):
    """The call was refused before it took effect."""


class StoreRateLimitedError(Exception):
    """The rate limit refused the call; nothing changed."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("too many requests")
        self.retry_after_s = retry_after_s


class AnswerLostError(Exception):
    """The call took effect, but its answer was lost."""


class KeyValueServer:
    """One store with its faults and watches, in a single event loop.

    Attributes:
        model: The store.
        faults: Active faults.
        num_calls: Number of calls received, including refused ones.
        num_watches: Number of open watches.
    """

    def __init__(self, random: Random, now: Callable[[], float] = anyio.current_time) -> None:
        self.model = KeyValueModel()
        self.faults = KeyValueFaults()
        self.num_calls = 0
        self.num_watches = 0
        self.now = now
        self._random = random
        self._changed = anyio.Event()
        self._num_watch_cuts = 0
        self._rate_tokens: float | None = None
        self._rate_time_s = 0.0

    async def run(self, effect: Callable[[float], AnswerT]) -> AnswerT:
        """Execute one call with the active faults.

        Args:
            effect: Reads or changes the model at a given time, without waiting.

        Raises:
            StoreDownError, StoreRateLimitedError: Nothing changed.
            AnswerLostError: The call took effect.
        """
        self.num_calls += 1
        self._refuse_when_down()
        self._take_rate_token()
        await anyio.sleep(self.faults.delay_s / 2)
        self._refuse_when_down()
        revision, expiry_s = self.model.revision, self.model.next_expiry_s()
        answer = effect(self.now())
        if self.model.revision > revision or self.model.next_expiry_s() != expiry_s:
            self.notify()
        await anyio.sleep(self.faults.delay_s / 2)
        if self._loses_answer():
            raise AnswerLostError
        return answer

    def notify(self) -> None:
        """Wake all watches after a change of the model or the faults."""
        self._changed.set()
        self._changed = anyio.Event()

    def cut_watches(self) -> None:
        """End every open watch."""
        self._num_watch_cuts += 1
        self.notify()

    async def changes(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncGenerator[list[Change], None]:
        """Follow the changes of a range from a revision onwards (0: from now on).

        Raises:
            StoreDownError: The store is down, or the watch was cut.
            StoreRateLimitedError: The rate limit refused the watch.
            CompactedError: The requested revisions have been compacted.
        """
        self.num_calls += 1
        self._refuse_when_down()
        self._take_rate_token()
        next_revision = start_revision or self.model.revision + 1
        num_cuts = self._num_watch_cuts
        self.num_watches += 1
        try:
            while True:
                changed = self._changed
                self.model.expire_leases(self.now())
                if self.faults.is_down or self._num_watch_cuts > num_cuts:
                    raise StoreDownError
                new_changes = self.model.changes_from(next_revision, key, range_end)
                if not self.faults.is_watch_silent:
                    next_revision = max(next_revision, self.model.revision + 1)
                    if new_changes:
                        yield new_changes
                        continue
                await self._wait_for_change(changed)
        finally:
            self.num_watches -= 1

    async def _wait_for_change(self, changed: anyio.Event) -> None:
        """Wait for a change or for the expiry of the next lease."""
        expiry_s = self.model.next_expiry_s()
        if expiry_s is None:
            await changed.wait()
            return
        with anyio.move_on_after(max(0.0, expiry_s - self.now())):
            await changed.wait()

    def _refuse_when_down(self) -> None:
        if self.faults.is_down:
            raise StoreDownError

    def _take_rate_token(self) -> None:
        rate = self.faults.requests_per_s
        if rate is None:
            self._rate_tokens = None
            return
        now_s = self.now()
        if self._rate_tokens is None:
            self._rate_tokens = float(self.faults.burst_requests)
        else:
            earned = (now_s - self._rate_time_s) * rate
            self._rate_tokens = min(self._rate_tokens + earned, self.faults.burst_requests)
        self._rate_time_s = now_s
        if self._rate_tokens < 1.0:
            raise StoreRateLimitedError((1.0 - self._rate_tokens) / rate)
        self._rate_tokens -= 1.0

    def _loses_answer(self) -> bool:
        if self.faults.num_answers_to_lose > 0:
            self.faults.num_answers_to_lose -= 1
            return True
        return self._random.random() < self.faults.lost_answer_probability
