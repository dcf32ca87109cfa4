"""Acquires and renews a fenced lease on one duty while this node is among its candidates."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

import anyio
import msgspec
from result import Err

from weirscale.domain.duties.assignment import Duty
from weirscale.domain.duties.lease import (
    CallFailed,
    DutyKey,
    KeyAnswer,
    LeaseAnswer,
    LeaseGranted,
    LeaseLost,
    LeaseOperation,
    LeaseRenewed,
    LeaseRules,
    LeaseState,
    after_answer,
    after_release,
    next_operation,
)
from weirscale.domain.identifiers import NodeId
from weirscale.ports.key_value import (
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    KeyValuePort,
)

KEY_PREFIX = "weirscale/duties/"

NUM_LEASE_CANDIDATES = 3
"""Number of nodes that try to take a duty: enough that one is alive, and few enough to limit the
load on the key-value service."""

CALL_TIMEOUT_S = 3.0
"""A call that takes longer, in seconds, counts as failed. Several such calls fit into a lease's
time to live."""

MAX_BACKOFF = 8
"""Maximum factor by which consecutive failed calls multiply the wait. The longer, jittered wait
keeps nodes from calling all at once when an outage ends."""

POLL_INTERVAL_S = 0.25
"""Seconds between two checks whether an operation is due."""


class DutyEligibility(Protocol):
    """Determines whether this node should try to take a duty."""

    def is_own(self, duty: Duty, count: int, /) -> bool:
        """Return whether this node is among the first `count` candidates for a duty."""
        ...


class DutyLeaseTask:
    """Acquires and renews the lease while `run` is running.

    Args:
        duty: The duty that the lease is for.
        own_id: Id of this node; its name is written as the key's value.
        key_value: The key-value service.
        duties: Determines whether this node is among the candidates.
        random: Source of jitter for retries.
        rules: Durations of the lease.
        sleep: Sleep function; replaced by experiments that freeze nodes.
        call_timeout_s: A call that takes longer counts as failed.
        clock: Monotonic clock in seconds. If machines may be suspended, it must count that time.
    """

    def __init__(
        self,
        duty: Duty,
        own_id: NodeId,
        key_value: KeyValuePort,
        duties: DutyEligibility,
        random: Random,
        rules: LeaseRules | None = None,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        call_timeout_s: float = CALL_TIMEOUT_S,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self._clock = clock
        self.duty = duty
        self.state = LeaseState()
        self._own_name = own_id.name.encode()
        self._key = KEY_PREFIX + duty.key
        self._key_value = key_value
        self._duties = duties
        self._random = random
        self._rules = rules or LeaseRules()
        self._sleep = sleep
        self._call_timeout_s = call_timeout_s
        self._num_failures = 0
        self._is_released = False

    def is_held(self) -> bool:
        """Return whether this node certainly holds the duty now, by its own clock.

        Must be checked before each use of the duty.
        """
        return self.state.is_held(self._clock())

    def token(self) -> int | None:
        """Return the fencing token to send with orders, None unless the duty is held now."""
        return self.state.token if self.is_held() else None

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled or released."""
        while not self._is_released:
            operation = next_operation(self.state, self._clock())
            if operation is not None and self._may_hold():
                await self._step(operation)
            else:
                await self._sleep(POLL_INTERVAL_S)

    async def release(self) -> None:
        """Give up the duty permanently; see `give_up`."""
        self._is_released = True
        await self.give_up()

    async def give_up(self) -> None:
        """Give up the duty until this node is a candidate again.

        On this node this takes effect at once. Revoking the lease at the key-value service is best
        effort.
        """
        lease_id = self.state.lease_id
        self.state = after_release(self._clock(), self._rules)
        if lease_id:
            with anyio.move_on_after(self._call_timeout_s):
                await self._key_value.revoke_lease(lease_id)

    def _may_hold(self) -> bool:
        """Return whether this node may hold the duty.

        A holder keeps its lease whatever its rank, because moving a duty costs more than keeping
        it.
        """
        return bool(self.state.token) or self._duties.is_own(self.duty, NUM_LEASE_CANDIDATES)

    async def _step(self, operation: LeaseOperation) -> None:
        state = self.state
        sent_at_s = self._clock()
        answer = await self._call_in_time(operation, state.lease_id)
        if self._is_released or self.state is not state:
            return
        now_s = self._clock()
        next_state = after_answer(state, answer, sent_at_s, now_s, self._rules)
        self._num_failures = self._num_failures + 1 if isinstance(answer, CallFailed) else 0
        self.state = self._back_off(next_state, now_s)

    def _back_off(self, state: LeaseState, now_s: float) -> LeaseState:
        """Extend the wait after failures, with jitter; renewals of a held lease are not delayed."""
        if self._num_failures == 0 or state.is_held(now_s):
            return state
        factor = min(MAX_BACKOFF, 2 ** min(self._num_failures, 16))
        wait_s = self._rules.retry_interval_s * factor * (0.5 + self._random.random() / 2)
        not_before_s = max(state.not_before_s, now_s + wait_s)
        return msgspec.structs.replace(state, not_before_s=not_before_s)

    async def _call_in_time(self, operation: LeaseOperation, lease_id: int) -> LeaseAnswer:
        with anyio.move_on_after(self._call_timeout_s):
            return await self._call(operation, lease_id)
        return CallFailed()

    async def _call(self, operation: LeaseOperation, lease_id: int) -> LeaseAnswer:
        store = self._key_value
        if operation is LeaseOperation.GRANT_LEASE:
            granted = await store.grant_lease(self._rules.time_to_live_s)
            if isinstance(granted, Err):
                return _failed(granted.err_value)
            return LeaseGranted(granted.ok_value)
        if operation is LeaseOperation.KEEP_ALIVE:
            renewed = await store.keep_lease_alive(lease_id)
            if isinstance(renewed, Err):
                return _failed(renewed.err_value)
            return LeaseRenewed(renewed.ok_value)
        if operation is LeaseOperation.TAKE_KEY:
            swapped = await store.compare_and_swap(self._key, 0, self._own_name, lease_id)
            if isinstance(swapped, Err):
                return _failed(swapped.err_value)
            return KeyAnswer(_duty_key(swapped.ok_value.current))
        read = await store.read(self._key)
        if isinstance(read, Err):
            return _failed(read.err_value)
        stored_items = (item for item in read.ok_value.values if item.key == self._key)
        return KeyAnswer(_duty_key(next(stored_items, None)))


def _duty_key(stored: KeyValue | None) -> DutyKey | None:
    if stored is None:
        return None
    return DutyKey(stored.lease_id, stored.create_revision, stored.value)


def _failed(failure: KeyValueFailure) -> LeaseAnswer:
    if failure.kind is KeyValueFailureKind.LEASE_LOST:
        return LeaseLost()
    return CallFailed(failure.retry_after_s or 0.0)
