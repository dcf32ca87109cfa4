"""A key-value store with revisions, leases and a change history; no I/O and no clock.

The revision starts at 1 and grows by one with each transaction that changes something, as etcd's.
"""

from typing import Any

import msgspec
from sortedcontainers import SortedDict

FIRST_REVISION = 1
DEFAULT_HISTORY_SIZE = 10_000
"""Changes kept for watches; older ones are compacted away."""


class StoredKey(msgspec.Struct, frozen=True):
    """One key as it stands."""

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
    """A lease and the keys that hang on it."""

    time_to_live_s: int
    expires_at_s: float
    keys: set[bytes]


class LeaseNotFoundError(Exception):
    """The named lease has expired or never was."""


class CompactedError(Exception):
    """The wanted revisions are gone."""

    def __init__(self, compact_revision: int) -> None:
        super().__init__(f"compacted up to {compact_revision}")
        self.compact_revision = compact_revision


class KeyValueModel:
    """The state of the store. Every method that takes `now_s` first drops expired leases."""

    def __init__(self, history_size: int = DEFAULT_HISTORY_SIZE) -> None:
        self.revision = FIRST_REVISION
        self.compact_revision = 0
        self._keys: Any = SortedDict()  # type: ignore[no-untyped-call]
        self._leases: dict[int, Lease] = {}
        self._history: list[Change] = []
        self._history_size = history_size
        self._next_lease_id = 1

    def range(self, key: bytes, range_end: bytes, now_s: float) -> list[StoredKey]:
        """Read one key (empty `range_end`) or all keys in [key, range_end)."""
        self.expire_leases(now_s)
        if not range_end:
            stored = self._keys.get(key)
            return [stored] if stored is not None else []
        names = self._keys.irange(key, range_end, inclusive=(True, False))
        return [self._keys[name] for name in names]

    def mod_revision(self, key: bytes, now_s: float) -> int:
        """Return the revision of a key's last change, 0 when it does not exist."""
        self.expire_leases(now_s)
        stored: StoredKey | None = self._keys.get(key)
        return stored.mod_revision if stored is not None else 0

    def put(self, key: bytes, value: bytes, lease_id: int, now_s: float) -> None:
        """Write a key; raises LeaseNotFoundError and changes nothing if the lease is gone."""
        self.expire_leases(now_s)
        if lease_id and lease_id not in self._leases:
            raise LeaseNotFoundError
        before = self._keys.get(key)
        if before is not None and before.lease_id:
            self._leases[before.lease_id].keys.discard(key)
        self.revision += 1
        stored = StoredKey(
            key=key,
            value=value,
            create_revision=before.create_revision if before is not None else self.revision,
            mod_revision=self.revision,
            version=before.version + 1 if before is not None else 1,
            lease_id=lease_id,
        )
        self._keys[key] = stored
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._remember(Change(self.revision, key, stored))

    def delete(self, key: bytes, now_s: float) -> bool:
        """Delete a key; False if it did not exist."""
        self.expire_leases(now_s)
        if key not in self._keys:
            return False
        self.revision += 1
        self._drop(key)
        return True

    def grant_lease(self, time_to_live_s: int, now_s: float) -> int:
        """Make a lease and return its id."""
        self.expire_leases(now_s)
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = Lease(time_to_live_s, now_s + time_to_live_s, set())
        return lease_id

    def keep_lease_alive(self, lease_id: int, now_s: float) -> int:
        """Renew a lease and return its time to live; 0 when it is gone."""
        self.expire_leases(now_s)
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_s = now_s + lease.time_to_live_s
        return lease.time_to_live_s

    def revoke_lease(self, lease_id: int, now_s: float) -> None:
        """End a lease and delete its keys; raises LeaseNotFoundError."""
        self.expire_leases(now_s)
        if lease_id not in self._leases:
            raise LeaseNotFoundError
        self._end_lease(lease_id)

    def expire_leases(self, now_s: float) -> bool:
        """End every lease whose time is up; True if a key was deleted."""
        revision = self.revision
        ended = [key for key, lease in self._leases.items() if lease.expires_at_s <= now_s]
        for lease_id in ended:
            self._end_lease(lease_id)
        return self.revision > revision

    def next_expiry_s(self) -> float | None:
        """Return when the next lease ends, None without leases."""
        return min((lease.expires_at_s for lease in self._leases.values()), default=None)

    def changes_from(self, revision: int, key: bytes, range_end: bytes) -> list[Change]:
        """Return the changes of a key or range at `revision` and after; raises CompactedError."""
        if revision <= self.compact_revision:
            raise CompactedError(self.compact_revision)
        wanted: list[Change] = []
        for change in reversed(self._history):
            if change.revision < revision:
                break
            is_in_range = key <= change.key < range_end if range_end else change.key == key
            if is_in_range:
                wanted.append(change)
        wanted.reverse()
        return wanted

    def compact(self, revision: int) -> None:
        """Forget the changes up to a revision; watches from there on are refused."""
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
        self._remember(Change(self.revision, key, None))

    def _remember(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > 2 * self._history_size:
            self.compact(self._history[-self._history_size].revision - 1)
