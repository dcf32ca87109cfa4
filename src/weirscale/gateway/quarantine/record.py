"""The records of quarantines in the store, which outlast the nodes that saw the crashes."""

from collections.abc import Callable, Iterable, Sequence

import msgspec
from result import Err

from weirscale.gateway.model.identifiers import RunId
from weirscale.gateway.quarantine.fingerprint import RequestFingerprint, read_fingerprint
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.expiring_record import write_expiring_record
from weirscale.ports.key_value import KeyValuePort

QUARANTINE_PREFIX = "weirscale/quarantine/"

QUARANTINE_S = 600.0
"""Seconds for which a request is refused. After that it is sent to back ends again, and one more
crash begins the next quarantine. This is the longest lifetime that the store gives a lease."""

WRITE_WITHIN_S = 2.0
"""Seconds within which the lease must be granted; otherwise the record is not written."""

RETRY_S = 1.0
"""Seconds after which a write or deletion without a visible effect is repeated."""


def quarantine_key(fingerprint: RequestFingerprint) -> str:
    """Return the key of the record of a request's quarantine."""
    return QUARANTINE_PREFIX + fingerprint


def read_quarantine_key(key: str) -> RequestFingerprint | None:
    """Return the fingerprint in a key; None if the key is not that of a quarantine."""
    if not key.startswith(QUARANTINE_PREFIX):
        return None
    return read_fingerprint(key.removeprefix(QUARANTINE_PREFIX))


class RecordChanges(msgspec.Struct, frozen=True):
    """Changes of the records since the previous call.

    Attributes:
        added: Requests that have a record now.
        removed: Requests whose record expired or was deleted.
        lost: Requests whose record the store lost when it was restored from a backup.
    """

    added: frozenset[RequestFingerprint] = frozenset()
    removed: frozenset[RequestFingerprint] = frozenset()
    lost: frozenset[RequestFingerprint] = frozenset()


NO_CHANGES = RecordChanges()


def _read_fingerprints(keys: Iterable[str]) -> frozenset[RequestFingerprint]:
    fingerprints = (read_quarantine_key(key) for key in keys)
    return frozenset(fingerprint for fingerprint in fingerprints if fingerprint is not None)


class QuarantineRecords:
    """Reads, writes and deletes the records.

    Args:
        name: Name of this node, written into the records for operators.
        cluster: Provides the records in the store.
        store: Where records are written and deleted.
        clock: Monotonic seconds.
    """

    def __init__(
        self, name: str, cluster: ClusterState, store: KeyValuePort, clock: Callable[[], float]
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._store = store
        self._clock = clock
        self._recorded: frozenset[RequestFingerprint] = frozenset()
        self._num_changes_seen = -1
        self._write_at_s: dict[RequestFingerprint, float] = {}
        self._delete_at_s: dict[RequestFingerprint, float] = {}

    def take_changes(self) -> RecordChanges:
        """Return the changes since the previous call; cancel writes of records that now exist."""
        if self._num_changes_seen == self._cluster.records.num_changes:
            return NO_CHANGES
        self._num_changes_seen = self._cluster.records.num_changes
        records = self._cluster.records
        keys = [key for key, _ in records.under(QUARANTINE_PREFIX)]
        lost = _read_fingerprints(key for key in keys if records.is_lost(key))
        previous, self._recorded = self._recorded, _read_fingerprints(keys) - lost
        removed = previous - self._recorded
        changes = RecordChanges(self._recorded - previous, removed - lost, removed & lost)
        for fingerprint in changes.added:
            self.cancel_write(fingerprint)
        return changes

    def write_after(self, fingerprint: RequestFingerprint, wait_s: float) -> None:
        """Write a record after `wait_s`, unless it appears in the store or is cancelled before."""
        self._write_at_s[fingerprint] = self._clock() + wait_s

    def cancel_write(self, fingerprint: RequestFingerprint) -> None:
        """Cancel the pending write of a request's record, if there is one."""
        self._write_at_s.pop(fingerprint, None)

    def delete(self, fingerprint: RequestFingerprint) -> None:
        """Delete the record of a request, if there is one."""
        self._delete_at_s[fingerprint] = self._clock()

    async def apply_due(self, crashes: Callable[[RequestFingerprint], Sequence[RunId]]) -> None:
        """Write and delete the records that are due.

        Args:
            crashes: Returns the runs that crashed during a request, for the record.
        """
        for fingerprint in self._due(self._write_at_s):
            await self._write(fingerprint, crashes(fingerprint))
        for fingerprint in self._due(self._delete_at_s):
            await self._delete(fingerprint)

    def _due(self, at_s: dict[RequestFingerprint, float]) -> Sequence[RequestFingerprint]:
        now_s = self._clock()
        return [fingerprint for fingerprint, due_s in at_s.items() if due_s <= now_s]

    async def _write(self, fingerprint: RequestFingerprint, crashes: Sequence[RunId]) -> None:
        self._write_at_s[fingerprint] = self._clock() + RETRY_S
        value = f"{self._name} {','.join(crashes)}".encode()
        await write_expiring_record(
            self._store,
            quarantine_key(fingerprint),
            value,
            QUARANTINE_S,
            WRITE_WITHIN_S,
            self._clock,
        )

    async def _delete(self, fingerprint: RequestFingerprint) -> None:
        key = quarantine_key(fingerprint)
        self._delete_at_s[fingerprint] = self._clock() + RETRY_S
        if key not in self._cluster.records:
            del self._delete_at_s[fingerprint]
            return
        revision = self._cluster.revision_of(key)
        deleted = await self._store.compare_and_swap(key, revision, None)
        if not isinstance(deleted, Err):
            self._delete_at_s.pop(fingerprint, None)
