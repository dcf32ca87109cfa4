"""Counts the calls to the store by kind and result, whatever adapter makes them."""

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
Count = Callable[[str, str], None]
"""Takes the kind of a call and its result."""

SUCCEEDED = "ok"
"""Result of a call that did not fail; failures are counted under the value of their kind."""


async def _counted(
    count: Count, kind: str, call: Awaitable[Result[_T, KeyValueFailure]]
) -> Result[_T, KeyValueFailure]:
    answer = await call
    count(kind, answer.err_value.kind.value if isinstance(answer, Err) else SUCCEEDED)
    return answer


class CountedFeed(StateFeed):
    """Counts the calls of a feed."""

    def __init__(self, feed: StateFeed, count: Count) -> None:
        self._feed = feed
        self._count = count

    async def read_all(self) -> Result[StateBatch, KeyValueFailure]:
        """Read everything."""
        return await _counted(self._count, "read_all", self._feed.read_all())

    async def follow(
        self, after_revision: int, wait_s: float
    ) -> Result[StateBatch, KeyValueFailure]:
        """Wait for changes."""
        return await _counted(self._count, "follow", self._feed.follow(after_revision, wait_s))

    async def current_revision(self) -> Result[int, KeyValueFailure]:
        """Return the store's revision."""
        return await _counted(self._count, "revision", self._feed.current_revision())

    async def write_rollout_status(
        self, status: RolloutStatus, expected_revision: int
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write a status under a condition."""
        call = self._feed.write_rollout_status(status, expected_revision)
        return await _counted(self._count, "status", call)


class CountedStore(KeyValuePort):
    """Counts the calls of a key-value service."""

    def __init__(self, store: KeyValuePort, count: Count) -> None:
        self._store = store
        self._count = count

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read every key with a prefix."""
        return await _counted(self._count, "read", self._store.read(prefix))

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write, or delete, under a condition."""
        call = self._store.compare_and_swap(key, expected_mod_revision, value, lease_id)
        return await _counted(self._count, "swap", call)

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Make a lease."""
        return await _counted(self._count, "grant", self._store.grant_lease(time_to_live_s))

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease."""
        return await _counted(self._count, "renew", self._store.keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """End a lease."""
        return await _counted(self._count, "revoke", self._store.revoke_lease(lease_id))

    def watch(
        self, prefix: str, start_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[WatchEvent, KeyValueFailure]]]:
        """Watch a prefix; not counted, since one watch has many answers."""
        return self._store.watch(prefix, start_revision)
