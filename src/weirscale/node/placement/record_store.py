"""The placement record in the key-value store, written by compare-and-swap."""

import cbor2
import msgspec
from result import Err, Ok, Result

from weirscale.messages.placement import PlacementRecord
from weirscale.ports.key_value import KeyValueFailure, KeyValueFailureKind, KeyValuePort

PLACEMENT_KEY = "weirscale/placement"
"""Key of the record; the deployment has a single record, so two planners cannot both write."""


class StoredRecord(msgspec.Struct, frozen=True):
    """The record with its revision in the store.

    Attributes:
        record: The placement record; empty if the key does not exist.
        mod_revision: Expected revision for the next write; 0 if the key does not exist.
    """

    record: PlacementRecord
    mod_revision: int


class RecordConflict(msgspec.Struct, frozen=True):
    """Another planner has written the record since it was read; it must be read again."""


class RecordStore:
    """Reads and writes the record."""

    def __init__(self, key_value: KeyValuePort) -> None:
        self._key_value = key_value

    async def read(self) -> Result[StoredRecord, KeyValueFailure]:
        """Read the record."""
        answer = await self._key_value.read(PLACEMENT_KEY)
        if isinstance(answer, Err):
            return answer
        entries = [value for value in answer.ok_value.values if value.key == PLACEMENT_KEY]
        if not entries:
            return Ok(StoredRecord(PlacementRecord(), 0))
        decoded = _decode(entries[0].value)
        if isinstance(decoded, Err):
            return decoded
        return Ok(StoredRecord(decoded.ok_value, entries[0].mod_revision))

    async def write(
        self, record: PlacementRecord, expected_mod_revision: int
    ) -> Result[StoredRecord, KeyValueFailure | RecordConflict]:
        """Write the record if its revision in the store is still the expected one."""
        value = cbor2.dumps(msgspec.to_builtins(record))
        answer = await self._key_value.compare_and_swap(PLACEMENT_KEY, expected_mod_revision, value)
        if isinstance(answer, Err):
            return answer
        swap = answer.ok_value
        if not swap.succeeded or swap.current is None:
            return Err(RecordConflict())
        return Ok(StoredRecord(record, swap.current.mod_revision))


def _decode(value: bytes) -> Result[PlacementRecord, KeyValueFailure]:
    try:
        return Ok(msgspec.convert(cbor2.loads(value), PlacementRecord))
    except (ValueError, msgspec.ValidationError, cbor2.CBORDecodeError) as error:
        detail = f"key {PLACEMENT_KEY} does not hold a placement record ({error}); delete the key"
        return Err(KeyValueFailure(KeyValueFailureKind.UNREACHABLE, detail))
