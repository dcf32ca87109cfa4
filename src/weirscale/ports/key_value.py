"""Interface to the platform's key-value service. Adapter: `key_value_etcd`."""

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec
from result import Result


class KeyValueFailureKind(enum.Enum):
    """How a call to the key-value service failed."""

    UNREACHABLE = "unreachable"
    """No connection was made, so nothing changed."""
    RATE_LIMITED = "rate_limited"
    """Refused because of a rate limit; nothing changed."""
    AMBIGUOUS = "ambiguous"
    """The answer was lost, so the change may have taken effect. A read shows whether it did."""
    LEASE_LOST = "lease_lost"
    """The lease has expired or never existed."""
    COMPACTED = "compacted"
    """The history since the watch's start revision is gone: read, then watch from the revision of
    that read."""


class KeyValueFailure(msgspec.Struct, frozen=True):
    """A failed call to the key-value service."""

    kind: KeyValueFailureKind
    detail: str
    retry_after_s: float | None = None


class KeyValue(msgspec.Struct, frozen=True):
    """One key with its value.

    Attributes:
        key: The key.
        value: The value.
        create_revision: Revision at which the key was created.
        mod_revision: Revision of the last change.
        lease_id: The lease to which the key is attached, and with which it ends; 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


class ReadAnswer(msgspec.Struct, frozen=True):
    """Keys read at one revision of the store."""

    revision: int
    values: tuple[KeyValue, ...]


class SwapAnswer(msgspec.Struct, frozen=True):
    """Outcome of a compare-and-swap.

    Attributes:
        succeeded: Whether the comparison held and the change was made.
        revision: The store's revision after the call.
        current: The key after the call, None if it does not exist.
    """

    succeeded: bool
    revision: int
    current: KeyValue | None


class WatchEvent(msgspec.Struct, frozen=True):
    """One change of a watched key; `value` is None on deletion."""

    key: str
    value: KeyValue | None
    revision: int


END_OF_ALL_KEYS = b"\x00"
"""Range end for all keys from the range's start on."""


def prefix_end(prefix: bytes) -> bytes:
    """Return the range end of a prefix: the smallest key above all keys that start with it."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return END_OF_ALL_KEYS
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


class KeyValuePort(Protocol):
    """Operations of the key-value service."""

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read every key with a prefix, linearizably."""
        ...

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write the value, or delete the key if it is None, if the key has the expected revision.

        An expected revision of 0 means that the key must not exist.
        """
        ...

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Create a lease and return its id."""
        ...

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease and return its time to live in seconds; LEASE_LOST if it has expired."""
        ...

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """End a lease and delete its keys."""
        ...

    def watch(
        self, prefix: str, start_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Result[WatchEvent, KeyValueFailure]]]:
        """Follow changes from a revision on; the watch ends after an Err."""
        ...
