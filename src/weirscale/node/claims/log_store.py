"""Stores the logs of claim groups in the key-value service.

One key holds the head of a group's log. A full head is copied to a segment, whose key contains the
revision of that head. A segment never changes: two writers of the same segment write the same
bytes.
"""

from collections.abc import Mapping

import cbor2
import msgspec
from result import Err, Ok, Result

from weirscale.domain.claims.log import LoggedClaim, LogHead
from weirscale.node.claims.store_reads import read_with_retry
from weirscale.ports.key_value import (
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    KeyValuePort,
)

LOG_PREFIX = "weirscale/claims/log/"


class StoredHead(msgspec.Struct, frozen=True):
    """A head as read or swapped; revision 0 if the log does not exist yet."""

    head: LogHead
    mod_revision: int


class StoredLog(msgspec.Struct, frozen=True):
    """A whole log as read at one revision of the service; `claims` is None if it is damaged."""

    stored: StoredHead
    claims: tuple[LoggedClaim, ...] | None


class HeadSwap(msgspec.Struct, frozen=True):
    """Outcome of a swap of the head; `stored` is the head after it."""

    succeeded: bool
    stored: StoredHead


EMPTY_HEAD = StoredHead(LogHead(), 0)


class ClaimLogStore:
    """Reads and writes logs; returns every failure of the service to the caller.

    Args:
        store: The key-value service.
    """

    def __init__(self, store: KeyValuePort) -> None:
        self._store = store

    async def read(self, group: int) -> Result[StoredLog, KeyValueFailure]:
        """Read the head and all its segments."""
        answer = await read_with_retry(self._store, _group_prefix(group))
        if isinstance(answer, Err):
            return answer
        values = {value.key: value for value in answer.ok_value.values}
        stored = _stored_head(values.get(_head_key(group)))
        if isinstance(stored, Err):
            return stored
        return Ok(StoredLog(stored.ok_value, _all_claims(group, stored.ok_value, values)))

    async def swap(
        self, group: int, before: StoredHead, head: LogHead
    ) -> Result[HeadSwap, KeyValueFailure]:
        """Replace the previous head by compare-and-swap."""
        answer = await self._store.compare_and_swap(
            _head_key(group), before.mod_revision, _encode(head)
        )
        if isinstance(answer, Err):
            return answer
        swapped = answer.ok_value
        if swapped.succeeded and swapped.current is not None:
            return Ok(HeadSwap(True, StoredHead(head, swapped.current.mod_revision)))
        stored = _stored_head(swapped.current)
        return stored if isinstance(stored, Err) else Ok(HeadSwap(False, stored.ok_value))

    async def write_segment(self, group: int, full: StoredHead) -> Result[None, KeyValueFailure]:
        """Write the claims of a full head to the segment named by its revision."""
        answer = await self._store.compare_and_swap(
            _segment_key(group, full.mod_revision), 0, _encode(full.head.claims)
        )
        return answer if isinstance(answer, Err) else Ok(None)

    async def delete_segment(self, group: int, name: int) -> None:
        """Delete a segment that the head no longer lists; failures are ignored."""
        key = _segment_key(group, name)
        current = await self._store.read(key)
        if isinstance(current, Err) or not current.ok_value.values:
            return
        await self._store.compare_and_swap(key, current.ok_value.values[0].mod_revision, None)


def _group_prefix(group: int) -> str:
    return f"{LOG_PREFIX}{group:03d}/"


def _head_key(group: int) -> str:
    return f"{_group_prefix(group)}head"


def _segment_key(group: int, name: int) -> str:
    return f"{_group_prefix(group)}segment/{name:020d}"


def _encode(value: object) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def _stored_head(value: KeyValue | None) -> Result[StoredHead, KeyValueFailure]:
    if value is None:
        return Ok(EMPTY_HEAD)
    try:
        head = msgspec.convert(cbor2.loads(value.value), LogHead, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError):
        return Err(_unreadable(value.key))
    return Ok(StoredHead(head, value.mod_revision))


def _all_claims(
    group: int, stored: StoredHead, values: Mapping[str, KeyValue]
) -> tuple[LoggedClaim, ...] | None:
    claims: list[LoggedClaim] = []
    for name in stored.head.segments:
        key = _segment_key(group, name)
        if key not in values:
            return None
        try:
            loaded = cbor2.loads(values[key].value)
            claims += msgspec.convert(loaded, list[LoggedClaim], builtin_types=(bytes,))
        except (cbor2.CBORDecodeError, msgspec.ValidationError):
            return None
    return (*claims, *stored.head.claims)


def _unreadable(key: str) -> KeyValueFailure:
    detail = f"{key} is not a valid head of a claim log: delete the key to start a new log"
    return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, detail)
