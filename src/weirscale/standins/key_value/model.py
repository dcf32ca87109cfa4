"""Key-value store with revisions, leases and a change history, without I/O or clock.

As in etcd, the revision starts at 1 and increases by one with each transaction that makes a change.
"""

from typing import Any

import msgspec
from sortedcontainers import SortedDict

FIRST_REVISION = 1
DEFAULT_HISTORY_SIZE = 10_000
"""Minimum number of latest changes kept for watches; older ones are compacted."""


class StoredKey(msgspec.Struct, frozen=True):
    """Current state of one key."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


class Change(msgspec.Struct, frozen=True):
    """One change; `stored` is None when the key was deleted."""

    revision: int
    key: bytes
    stored: StoredKey | None


class Lease(msgspec.Struct):
    """A lease and the keys that are deleted when it ends."""

    time_to_live_s: int
    expires_at_s: float
    keys: set[bytes]


class LeaseNotFoundError(Exception):
    """The lease has ended or never existed."""


class CompactedError(Exception):
    """The requested revisions have been compacted."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"compacted up to {compact_revision}")
        self.compact_revision = compact_revision


class KeyValueModel:
    """State of the store. All methods that take `now_s` first end expired leases."""

    def __init__(self, history_size: int = DEFAULT_HISTORY_SIZE) -> None:
        self.revision = FIRST_REVISION
        self.compact_revision = 0
        self._keys: Any = SortedDict()  # type: ignore[no-untyped-call]
        self._leases: dict[int, Lease] = {}
        self._history: list[Change] = []
        self._history_size = history_size
        self._next_lease_id = 1

    def range(self, key: bytes, range_end: bytes, now_s: float) -> list[StoredKey]:
        """Return one key (empty `range_end`) or all keys in [key, range_end)."""
        self.expire_leases(now_s)
        if not range_end:
            stored = self._keys.get(key)
            return [stored] if stored is not None else []
        names = self._keys.irange(key, range_end, inclusive=(True, False))
        return [self._keys[name] for name in names]

    def mod_revision(self, key: bytes, now_s: float) -> int:
        """Return the revision of a key's last change, 0 if the key does not exist."""
        self.expire_leases(now_s)
        stored: StoredKey | None = self._keys.get(key)
        return stored.mod_revision if stored is not None else 0

    def put(self, key: bytes, value: bytes, lease_id: int, now_s: float) -> None:
        """Write a key; raise LeaseNotFoundError and change nothing if the lease does not exist."""
        self.expire_leases(now_s)
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFoundError
        previous = self._keys.get(key)
        if previous is not None and previous.lease_id:
            self._leases[previous.lease_id].keys.discard(key)
        self.revision += 1
        stored = StoredKey(
            key=key,
            value=value,
            create_revision=previous.create_revision if previous is not None else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous is not None else 1,
            lease_id=lease_id,
        )
        self._keys[key] = stored
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._record(Change(self.revision, key, stored))

    def delete(self, key: bytes, now_s: float) -> bool:
        """Delete a key; return False if it did not exist."""
        self.expire_leases(now_s)
        if key not in self._keys:
            return False
        self.revision += 1
        self._drop(key)
        return True

    def grant_lease(self, time_to_live_s: int, now_s: float) -> int:
        """Grant a lease and return its id."""
        self.expire_leases(now_s)
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = Lease(time_to_live_s, now_s + time_to_live_s, set())
        return lease_id

    def keep_lease_alive(self, lease_id: int, now_s: float) -> int:
        """Renew a lease and return its time to live in seconds, 0 if the lease does not exist."""
        self.expire_leases(now_s)
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_s = now_s + lease.time_to_live_s
        return lease.time_to_live_s

    def revoke_lease(self, lease_id: int, now_s: float) -> None:
        """End a lease and delete its keys; raise LeaseNotFoundError if it does not exist."""
        self.expire_leases(now_s)
        if lease_id not in self._leases:
            raise LeaseNotFoundError
        self._end_lease(lease_id)

    def expire_leases(self, now_s: float) -> bool:
        """End all expired leases; return whether a key was deleted."""
        revision = self.revision
        expired = [
            lease_id for lease_id, lease in self._leases.items() if lease.expires_at_s <= now_s
        ]
        for lease_id in expired:
            self._end_lease(lease_id)
        return self.revision > revision

    def next_expiry_s(self) -> float | None:
        """Return the time of the next lease expiry, None if there are no leases."""
        return min((lease.expires_at_s for lease in self._leases.values()), default=None)

    def changes_from(self, revision: int, key: bytes, range_end: bytes) -> list[Change]:
        """Return the changes of a key or range from `revision` onwards.

        Raise CompactedError if some of them have been compacted.
        """
        if revision <= self.compact_revision:
            raise CompactedError(self.compact_revision)
        changes: list[Change] = []
        for change in reversed(self._history):
            if change.revision < revision:
                break
            is_in_range = key <= change.key < range_end if range_end else change.key == key
            if is_in_range:
                changes.append(change)
        changes.reverse()
        return changes

    def compact(self, revision: int) -> None:
        """Drop the changes up to a revision; watches that start at or below it are refused."""
        self.compact_revision = max(self.compact_revision, min(revision, self.revision))
        self._history = [c for c in self._history if c.revision > self.compact_revision]

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id)
        if lease.keys:
            self.revision += 1
        for key in sorted(lease.keys):
            self._drop(key)

    def _drop(self, key: bytes) -> None:
        stored: StoredKey = self._keys.pop(key)
        if stored.lease_id in self._leases:
            self._leases[stored.lease_id].keys.discard(key)
        self._record(Change(self.revision, key, None))

    def _record(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > 2 * self._history_size:
            self.compact(self._history[-self._history_size].revision - 1)
