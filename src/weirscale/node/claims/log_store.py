"""The logs of claim groups as keys of the key-value service.

One key holds the head of a group's log. A full head is written once more as a segment, under a key
named by the revision of that head, and never changes: two writers that come to the same segment
write the same bytes.
"""

from collections.abc import Mapping

import cbor2
import msgspec
from result import Err, Ok, Result

from weirscale.domain.claims.log import LoggedClaim, LogHead
from weirscale.node.claims.store_reads import read_patiently
from weirscale.ports.key_value import (
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    KeyValuePort,
)

LOG_PREFIX = "weirscale/claims/log/"


class StoredHead(msgspec.Struct, frozen=True):
    """A head as read or swapped; revision 0 when the log has no key yet."""

    head: LogHead
    mod_revision: int


class StoredLog(msgspec.Struct, frozen=True):
    """A whole log as read at one revision of the service; `claims` is None where it is damaged."""

    stored: StoredHead
    claims: tuple[LoggedClaim, ...] | None


class HeadSwap(msgspec.Struct, frozen=True):
    """Outcome of a swap of the head; `stored` is the head that stands now."""

    succeeded: bool
    stored: StoredHead


EMPTY_HEAD = StoredHead(LogHead(), 0)


class ClaimLogStore:
    """Reads and writes logs; every failure of the service is handed on.

    Args:
        store: The key-value service.
    """

    def __init__(self, store: KeyValuePort) -> None:
        self._store = store

    async def read(self, group: int) -> Result[StoredLog, KeyValueFailure]:
        """Read the head and all its segments."""
        answer = await read_patiently(self._store, _group_prefix(group))
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
        """Put a head in the place of the one before."""
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
        """Write the claims of a head as a segment named by its revision."""
        answer = await self._store.compare_and_swap(
            _segment_key(group, full.mod_revision), 0, _encode(full.head.claims)
        )
        return answer if isinstance(answer, Err) else Ok(None)

    async def delete_segment(self, group: int, name: int) -> None:
        """Delete a segment that no head names any more; best effort."""
        key = _segment_key(group, name)
        found = await self._store.read(key)
        if isinstance(found, Err) or not found.ok_value.values:
            return
        await self._store.compare_and_swap(key, found.ok_value.values[0].mod_revision, None)


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
    detail = f"{key} is no head of a claim log: delete the key, and its log begins anew"
    return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, detail)
