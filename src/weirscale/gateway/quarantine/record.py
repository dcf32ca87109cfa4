"""The records of quarantines in the store, which outlast the nodes that saw the crashes."""

from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import Generic, TypeVar

import msgspec
from result import Err

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.block_key import BlockGroup, group_text, read_group
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, read_fingerprint
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.expiring_record import write_expiring_record
from weirscale.ports.key_value import KeyValuePort

QUARANTINE_PREFIX = "weirscale/quarantine/"

BLOCKS_PREFIX = "weirscale/quarantined-blocks/"

QUARANTINE_S = 600.0
"""Seconds for which a subject is refused. After that it is sent to back ends again, and one more
crash begins the next quarantine. This is the longest lifetime that the store gives a lease."""

WRITE_WITHIN_S = 2.0
"""Seconds within which the lease must be granted; otherwise the record is not written."""

RETRY_S = 1.0
"""Seconds after which a write or deletion without a visible effect is repeated."""


SubjectT = TypeVar("SubjectT", bound=Hashable)
"""What is quarantined: a request by its fingerprint, or requests with a group of blocks."""


class RecordNaming(msgspec.Struct, Generic[SubjectT], frozen=True):
    """How the keys of the records of a kind of subject are written and read.

    Attributes:
        prefix: Beginning of the keys.
        text_of: Returns the rest of a subject's key.
        read: Returns the subject in the rest of a key; None if there is none.
    """

    prefix: str
    text_of: Callable[[SubjectT], str]
    read: Callable[[str], SubjectT | None]

    def key_of(self, subject: SubjectT) -> str:
        """Return the key of a subject's record."""
        return self.prefix + self.text_of(subject)

    def read_keys(self, keys: Iterable[str]) -> frozenset[SubjectT]:
        """Return the subjects in keys with the prefix; keys without one are ignored."""
        subjects = (self.read(key.removeprefix(self.prefix)) for key in keys)
        return frozenset(subject for subject in subjects if subject is not None)


REQUEST_RECORDS: RecordNaming[RequestFingerprint] = RecordNaming(
    QUARANTINE_PREFIX, str, read_fingerprint
)
BLOCK_RECORDS: RecordNaming[BlockGroup] = RecordNaming(BLOCKS_PREFIX, group_text, read_group)


class RecordChanges(msgspec.Struct, Generic[SubjectT], frozen=True):
    """Changes of the records since the previous call.

    Attributes:
        added: Subjects that have a record now.
        removed: Subjects whose record expired or was deleted.
        lost: Subjects whose record the store lost when it was restored from a backup.
    """

    added: frozenset[SubjectT] = frozenset()
    removed: frozenset[SubjectT] = frozenset()
    lost: frozenset[SubjectT] = frozenset()


class QuarantineRecords(Generic[SubjectT]):
    """Reads, writes and deletes the records of one kind of subject.

    Args:
        naming: Keys of the records.
        name: Name of this node, written into the records for operators.
        cluster: Provides the records in the store.
        store: Where records are written and deleted.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        naming: RecordNaming[SubjectT],
        name: str,
        cluster: ClusterState,
        store: KeyValuePort,
        clock: Callable[[], float],
    ) -> None:
        self._naming = naming
        self._name = name
        self._cluster = cluster
        self._store = store
        self._clock = clock
        self._recorded: frozenset[SubjectT] = frozenset()
        self._num_changes_seen = -1
        self._write_at_s: dict[SubjectT, float] = {}
        self._delete_at_s: dict[SubjectT, float] = {}

    def take_changes(self) -> RecordChanges[SubjectT]:
        """Return the changes since the previous call; cancel writes of records that now exist."""
        if self._num_changes_seen == self._cluster.records.num_changes:
            return RecordChanges()
        self._num_changes_seen = self._cluster.records.num_changes
        records = self._cluster.records
        keys = [key for key, _ in records.under(self._naming.prefix)]
        lost = self._naming.read_keys(key for key in keys if records.is_lost(key))
        previous, self._recorded = self._recorded, self._naming.read_keys(keys) - lost
        removed = previous - self._recorded
        changes = RecordChanges(self._recorded - previous, removed - lost, removed & lost)
        for subject in changes.added:
            self.cancel_write(subject)
        return changes

    def write_after(self, subject: SubjectT, wait_s: float) -> None:
        """Write a record after `wait_s`, unless it appears in the store or is cancelled before."""
        self._write_at_s[subject] = self._clock() + wait_s

    def cancel_write(self, subject: SubjectT) -> None:
        """Cancel the pending write of a subject's record, if there is one."""
        self._write_at_s.pop(subject, None)

    def delete(self, subject: SubjectT) -> None:
        """Delete the record of a subject, if there is one."""
        self._delete_at_s[subject] = self._clock()

    async def apply_due(self, crashes: Callable[[SubjectT], Sequence[RunId]]) -> None:
        """Write and delete the records that are due.

        Args:
            crashes: Returns the runs that crashed with a subject, for the record.
        """
        for subject in self._due(self._write_at_s):
            await self._write(subject, crashes(subject))
        for subject in self._due(self._delete_at_s):
            await self._delete(subject)

    def _due(self, at_s: dict[SubjectT, float]) -> Sequence[SubjectT]:
        now_s = self._clock()
        return [subject for subject, due_s in at_s.items() if due_s <= now_s]

    async def _write(self, subject: SubjectT, crashes: Sequence[RunId]) -> None:
        self._write_at_s[subject] = self._clock() + RETRY_S
        value = f"{self._name} {','.join(crashes)}".encode()
        await write_expiring_record(
            self._store,
            self._naming.key_of(subject),
            value,
            QUARANTINE_S,
            WRITE_WITHIN_S,
            self._clock,
        )

    async def _delete(self, subject: SubjectT) -> None:
        key = self._naming.key_of(subject)
        self._delete_at_s[subject] = self._clock() + RETRY_S
        if key not in self._cluster.records:
            del self._delete_at_s[subject]
            return
        revision = self._cluster.revision_of(key)
        deleted = await self._store.compare_and_swap(key, revision, None)
        if not isinstance(deleted, Err):
            self._delete_at_s.pop(subject, None)
