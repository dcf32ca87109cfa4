"""The records of quarantines in the store, which outlive the nodes that know of the crashes."""

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
"""Seconds for which a request is refused. Then it is sent on again, and one more crash begins the
next quarantine. The longest life that the store gives a lease."""

WRITE_WITHIN_S = 2.0
"""Seconds within which the lease must be granted for the record to be written. Not measured."""

RETRY_S = 1.0
"""Seconds until a write or a deletion without a visible effect is done again. Not measured."""


def quarantine_key(fingerprint: RequestFingerprint) -> str:
    """Return the key of a request's quarantine."""
    return QUARANTINE_PREFIX + fingerprint


def read_quarantine_key(key: str) -> RequestFingerprint | None:
    """Return the request that a key stands for; None for any other key."""
    if not key.startswith(QUARANTINE_PREFIX):
        return None
    return read_fingerprint(key.removeprefix(QUARANTINE_PREFIX))


class RecordChanges(msgspec.Struct, frozen=True):
    """What has changed in the store since the last look.

    Attributes:
        added: Requests that have a record now.
        gone: Requests that have none any more: its time is over, or it was deleted.
        lost: Requests whose record the store lost as it came back from a copy.
    """

    added: frozenset[RequestFingerprint] = frozenset()
    gone: frozenset[RequestFingerprint] = frozenset()
    lost: frozenset[RequestFingerprint] = frozenset()


NO_CHANGES = RecordChanges()


def _requests(keys: Iterable[str]) -> frozenset[RequestFingerprint]:
    found = (read_quarantine_key(key) for key in keys)
    return frozenset(one for one in found if one is not None)


class QuarantineRecords:
    """Reads, writes and deletes the records.

    Args:
        name: This node, written into the records for operators.
        cluster: Where the records are seen.
        store: Where they are written.
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
        """Return what has changed since the last call; a record that is seen needs no write."""
        if self._num_changes_seen == self._cluster.records.num_changes:
            return NO_CHANGES
        self._num_changes_seen = self._cluster.records.num_changes
        records = self._cluster.records
        keys = [key for key, _ in records.under(QUARANTINE_PREFIX)]
        lost = _requests(key for key in keys if records.is_lost(key))
        before, self._recorded = self._recorded, _requests(keys) - lost
        gone = before - self._recorded
        changes = RecordChanges(self._recorded - before, gone - lost, gone & lost)
        for fingerprint in changes.added:
            self.cancel_write(fingerprint)
        return changes

    def write_after(self, fingerprint: RequestFingerprint, wait_s: float) -> None:
        """Write a record once `wait_s` has passed, unless it is seen or cancelled before."""
        self._write_at_s[fingerprint] = self._clock() + wait_s

    def cancel_write(self, fingerprint: RequestFingerprint) -> None:
        """Write no record of a request, if none was written yet."""
        self._write_at_s.pop(fingerprint, None)

    def delete(self, fingerprint: RequestFingerprint) -> None:
        """Delete the record of a request, if there is one."""
        self._delete_at_s[fingerprint] = self._clock()

    async def carry_out(self, crashes: Callable[[RequestFingerprint], Sequence[RunId]]) -> None:
        """Write and delete what is due.

        Args:
            crashes: Returns the runs that ended under a request, for the record.
        """
        for fingerprint in self._due(self._write_at_s):
            await self._write(fingerprint, crashes(fingerprint))
        for fingerprint in self._due(self._delete_at_s):
            await self._delete(fingerprint)

    def _due(self, at_s: dict[RequestFingerprint, float]) -> Sequence[RequestFingerprint]:
        now_s = self._clock()
        return [one for one, due_s in at_s.items() if due_s <= now_s]

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
