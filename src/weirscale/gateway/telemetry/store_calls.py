"""Wrappers that count the calls to the store by kind and result, for any adapter."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import TypeVar

from result import Err, Result

from weirscale.gateway.model.rollout_order import RolloutStatus
from weirscale.gateway.ports.state_feed import StateBatch, StateFeed
from weirscale.ports.key_value import (
    KeyValueFailure,
    KeyValuePort,
    ReadAnswer,
    SwapAnswer,
    WatchEvent,
)

_T = TypeVar("_T")
CountCall = Callable[[str, str], None]
"""Counts a call, given its kind and its result."""

SUCCEEDED = "ok"
"""Result of a successful call; the result of a failed call is the value of its failure kind."""


async def _count_call(
    count: CountCall, kind: str, call: Awaitable[Result[_T, KeyValueFailure]]
) -> Result[_T, KeyValueFailure]:
    answer = await call
    count(kind, answer.err_value.kind.value if isinstance(answer, Err) else SUCCEEDED)
    return answer


class CountedFeed(StateFeed):
    """A state feed that counts the calls to another feed."""

    def __init__(self, feed: StateFeed, count: CountCall) -> None:
        self._feed = feed
        self._count = count

    async def read_all(self) -> Result[StateBatch, KeyValueFailure]:
        """Read the whole state."""
        return await _count_call(self._count, "read_all", self._feed.read_all())

    async def follow(
        self, after_revision: int, wait_s: float
    ) -> Result[StateBatch, KeyValueFailure]:
        """Wait for changes."""
        return await _count_call(self._count, "follow", self._feed.follow(after_revision, wait_s))

    async def current_revision(self) -> Result[int, KeyValueFailure]:
        """Return the store's revision."""
        return await _count_call(self._count, "revision", self._feed.current_revision())

    async def write_rollout_status(
        self, status: RolloutStatus, expected_revision: int
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write a rollout status if its revision is the expected one."""
        call = self._feed.write_rollout_status(status, expected_revision)
        return await _count_call(self._count, "status", call)


class CountedStore(KeyValuePort):
    """A key-value store that counts the calls to another store."""

    def __init__(self, store: KeyValuePort, count: CountCall) -> None:
        self._store = store
        self._count = count

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read all keys with a prefix."""
        return await _count_call(self._count, "read", self._store.read(prefix))

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write or delete a key if its modification revision is the expected one."""
        call = self._store.compare_and_swap(key, expected_mod_revision, value, lease_id)
        return await _count_call(self._count, "swap", call)

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Grant a lease."""
        return await _count_call(self._count, "grant", self._store.grant_lease(time_to_live_s))

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease."""
        return await _count_call(self._count, "renew", self._store.keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """Revoke a lease."""
        return await _count_call(self._count, "revoke", self._store.revoke_lease(lease_id))

    def watch(
        self, prefix: str, start_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[WatchEvent, KeyValueFailure]]]:
        """Watch a prefix; not counted, because a watch has many results."""
        return self._store.watch(prefix, start_revision)
