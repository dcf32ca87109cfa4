"""`KeyValuePort` that calls a stand-in in the same event loop, for fleets in virtual time."""

import math
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager
from typing import TypeVar

import anyio
from result import Err, Ok, Result

from weirscale.ports.key_value import (
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    ReadAnswer,
    SwapAnswer,
    WatchEvent,
    prefix_end,
)
from weirscale.standins.key_value.model import (
    Change,
    CompactedError,
    KeyValueModel,
    LeaseNotFoundError,
    StoredKey,
)
from weirscale.standins.key_value.server import (
    AnswerLostError,
    KeyValueServer,
    StoreDownError,
    StoreRateLimitedError,
)

AnswerT = TypeVar("AnswerT")
DEFAULT_TIMEOUT_S = 3.0

Watch = AsyncIterator[Result[WatchEvent, KeyValueFailure]]


class InProcessKeyValue:
    """A client of a `KeyValueServer`.

    Attributes:
        is_cut_off: Whether this client cannot reach the store.
    """

    def __init__(self, server: KeyValueServer, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self.is_cut_off = False
        self._server = server
        self._timeout_s = timeout_s

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read all keys with a prefix."""
        start = prefix.encode()

        def effect(now_s: float) -> ReadAnswer:
            model = self._server.model
            stored_keys = model.range(start, prefix_end(start), now_s)
            return ReadAnswer(model.revision, tuple(_to_key_value(key) for key in stored_keys))

        return await self._call(effect, is_write=False)

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write a key, or delete it if the value is None, if its revision is the expected one."""

        def effect(now_s: float) -> SwapAnswer:
            return _swap(
                self._server.model, key.encode(), expected_mod_revision, value, lease_id, now_s
            )

        return await self._call(effect, is_write=True)

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Grant a lease; its time to live is rounded up to whole seconds."""
        whole_s = math.ceil(time_to_live_s)
        return await self._call(
            lambda now_s: self._server.model.grant_lease(whole_s, now_s), is_write=True
        )

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease and return its time to live in seconds."""

        def effect(now_s: float) -> float:
            time_to_live_s = self._server.model.keep_lease_alive(lease_id, now_s)
            if not time_to_live_s:
                raise LeaseNotFoundError
            return float(time_to_live_s)

        return await self._call(effect, is_write=True)

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """Revoke a lease."""
        return await self._call(
            lambda now_s: self._server.model.revoke_lease(lease_id, now_s), is_write=True
        )

    def watch(self, prefix: str, start_revision: int) -> AbstractAsyncContextManager[Watch]:
        """Follow the changes from a revision onwards."""
        return self._watch(prefix, start_revision)

    @asynccontextmanager
    async def _watch(self, prefix: str, start_revision: int) -> AsyncIterator[Watch]:
        async with aclosing(self._events(prefix.encode(), start_revision)) as events:
            yield events

    async def _events(
        self, start: bytes, start_revision: int
    ) -> AsyncGenerator[Result[WatchEvent, KeyValueFailure], None]:
        try:
            if self.is_cut_off:
                raise StoreDownError
            changes = self._server.changes(start, prefix_end(start), start_revision)
            async with aclosing(changes) as batches:
                async for batch in batches:
                    for change in batch:
                        yield Ok(_watch_event(change))
        except StoreDownError:
            yield Err(
                _failure(KeyValueFailureKind.UNREACHABLE, "the watch was cut off; watch again")
            )
        except StoreRateLimitedError as error:
            yield Err(_rate_limited(error))
        except CompactedError as error:
            detail = f"compacted up to {error.compact_revision}; read, then watch from there"
            yield Err(_failure(KeyValueFailureKind.COMPACTED, detail))

    async def _call(
        self, effect: Callable[[float], AnswerT], is_write: bool
    ) -> Result[AnswerT, KeyValueFailure]:
        """Run a call and turn what went wrong into a failure."""
        lost = KeyValueFailureKind.AMBIGUOUS if is_write else KeyValueFailureKind.UNREACHABLE
        try:
            if self.is_cut_off:
                raise StoreDownError
            with anyio.fail_after(self._timeout_s):
                return Ok(await self._server.run(effect))
        except StoreDownError:
            return Err(
                _failure(
                    KeyValueFailureKind.UNREACHABLE, "the store is unavailable; try again later"
                )
            )
        except StoreRateLimitedError as error:
            return Err(_rate_limited(error))
        except LeaseNotFoundError:
            return Err(
                _failure(KeyValueFailureKind.LEASE_LOST, "the lease is lost; grant a new lease")
            )
        except (AnswerLostError, TimeoutError):
            return Err(_failure(lost, "the answer was lost; read again to find the outcome"))


def _swap(
    model: KeyValueModel,
    key: bytes,
    expected_mod_revision: int,
    value: bytes | None,
    lease_id: int,
    now_s: float,
) -> SwapAnswer:
    succeeded = model.mod_revision(key, now_s) == expected_mod_revision
    if succeeded and value is not None:
        model.put(key, value, lease_id, now_s)
    elif succeeded:
        model.delete(key, now_s)
    stored = model.range(key, b"", now_s)
    return SwapAnswer(succeeded, model.revision, _to_key_value(stored[0]) if stored else None)


def _to_key_value(stored: StoredKey) -> KeyValue:
    return KeyValue(
        key=stored.key.decode(),
        value=stored.value,
        create_revision=stored.create_revision,
        mod_revision=stored.mod_revision,
        lease_id=stored.lease_id,
    )


def _watch_event(change: Change) -> WatchEvent:
    value = _to_key_value(change.stored) if change.stored is not None else None
    return WatchEvent(change.key.decode(), value, change.revision)


def _failure(kind: KeyValueFailureKind, detail: str) -> KeyValueFailure:
    return KeyValueFailure(kind, detail)


def _rate_limited(error: StoreRateLimitedError) -> KeyValueFailure:
    kind = KeyValueFailureKind.RATE_LIMITED
    return KeyValueFailure(kind, "too many requests; wait", error.retry_after_s)
