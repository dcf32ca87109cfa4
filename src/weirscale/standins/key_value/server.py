"""The store with its faults: what both the in-process port and the HTTP app are built on."""

from collections.abc import AsyncGenerator, Callable
from random import Random
from typing import TypeVar

import anyio
import msgspec

from weirscale.standins.key_value.model import Change, KeyValueModel

AnswerT = TypeVar("AnswerT")


class KeyValueFaults(msgspec.Struct):
    """Faults in force; change the fields at any time.

    Attributes:
        is_down: Every call is refused before it takes effect; watches end.
        delay_s: Each call takes this long, half before its effect and half after.
        lost_answer_probability: Share of calls whose answer is lost after their effect.
        num_answers_to_lose: The next so many calls lose their answers after their effect.
        requests_per_s: Rate limit over all clients, None for no limit.
        burst_requests: Calls above the rate that may come at once.
        is_watch_silent: Watches stay open but deliver nothing.
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
    """The call was refused for rate; nothing changed."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("too many requests")
        self.retry_after_s = retry_after_s


class AnswerLostError(Exception):
    """The call took effect and its answer is lost."""


class KeyValueServer:
    """One store, its faults and its watchers; everything in one event loop.

    Attributes:
        model: The store.
        faults: What goes wrong now.
        num_calls: Calls that arrived, refused ones included.
        num_watches: Watches open now.
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
        """Carry out one call under the faults in force.

        Args:
            effect: Reads or changes the model at the given time, without waiting.

        Raises:
            StoreDownError, StoreRateLimitedError: Nothing changed.
            AnswerLostError: The effect took place.
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
        """Wake the watchers, after a change of the model or of the faults."""
        self._changed.set()
        self._changed = anyio.Event()

    def cut_watches(self) -> None:
        """End every open watch."""
        self._num_watch_cuts += 1
        self.notify()

    async def changes(
        self, key: bytes, range_end: bytes, start_revision: int
    ) -> AsyncGenerator[list[Change], None]:
        """Follow the changes of a range from a revision on (0: from now on).

        Raises:
            StoreDownError: The watch is cut.
            CompactedError: The wanted revisions are gone.
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
                found = self.model.changes_from(next_revision, key, range_end)
                if not self.faults.is_watch_silent:
                    next_revision = max(next_revision, self.model.revision + 1)
                    if found:
                        yield found
                        continue
                await self._wait_for_change(changed)
        finally:
            self.num_watches -= 1

    async def _wait_for_change(self, changed: anyio.Event) -> None:
        """Wait for the event or for the next lease to end."""
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
