"""The table of members: the record of highest precedence for each name, digests and rings."""

from random import Random

import xxhash

from weirscale.domain.identifiers import NodeName, ZoneName
from weirscale.domain.membership.ring import HashRing
from weirscale.messages.membership import MemberState, MemberUpdate

NUM_BUCKETS = 32
"""Number of name buckets that are compared by digest: 13 names each at 400 nodes."""


class MemberTable:
    """Records by name. Live members are in the rings and digests; dead members are tombstones.

    Args:
        zone: The zone whose ring is kept in addition to the fleet's ring.
        max_tombstones: Maximum number of dead records; the oldest are dropped first.
    """

    def __init__(self, zone: ZoneName, max_tombstones: int) -> None:
        self.fleet_ring = HashRing()
        self.zone_ring = HashRing()
        self.bucket_digests = [0] * NUM_BUCKETS
        self.digest = 0
        self.version = 0
        self._zone = zone
        self._max_tombstones = max_tombstones
        self._records: dict[NodeName, MemberUpdate] = {}
        self._dead_since_s: dict[NodeName, float] = {}
        self._live_names: list[NodeName] = []
        self._live_index: dict[NodeName, int] = {}

    @property
    def num_live(self) -> int:
        """Number of members that are not dead and have not left."""
        return len(self._live_names)

    def get(self, name: NodeName) -> MemberUpdate | None:
        """Return the record of a name, None if there is none."""
        return self._records.get(name)

    def live(self) -> list[MemberUpdate]:
        """Return the records of live members."""
        return [self._records[name] for name in self._live_names]

    def is_alive(self, name: NodeName) -> bool:
        """Return whether a member is live and not suspected."""
        record = self._records.get(name)
        return record is not None and record.state < MemberState.SUSPECT

    def random_live(self, random: Random) -> MemberUpdate | None:
        """Return a random live member."""
        if not self._live_names:
            return None
        return self._records[random.choice(self._live_names)]

    def sample_live(self, random: Random, count: int) -> list[MemberUpdate]:
        """Return up to `count` distinct random live members."""
        names = random.sample(self._live_names, min(count, len(self._live_names)))
        return [self._records[name] for name in names]

    def random_dead(self, random: Random) -> MemberUpdate | None:
        """Return a random dead member; None if there is none or the chosen one has left."""
        if not self._dead_since_s:
            return None
        record = self._records[random.choice(list(self._dead_since_s))]
        return record if record.state is MemberState.DEAD else None

    def put(self, update: MemberUpdate, now_s: float) -> None:
        """Store a record in place of the previous one."""
        old = self._records.get(update.name)
        if old is not None and old.is_live:
            self._toggle_digest(old)
        self._records[update.name] = update
        if update.is_live:
            self._toggle_digest(update)
            self._add_live(update)
        else:
            self._remove_live(update.name)
            self._dead_since_s.setdefault(update.name, now_s)
            self._drop_oldest_tombstones()
        self.version += 1

    def expire_tombstones(self, before_s: float) -> None:
        """Remove members that died before a given time."""
        # Insertion order is the order of death, so the search ends at the first recent tombstone.
        for name, since_s in list(self._dead_since_s.items()):
            if since_s >= before_s:
                return
            self._remove(name)

    def differing_buckets(self, bucket_digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets that differ from another table; all if the other has no digests."""
        if len(bucket_digests) != NUM_BUCKETS:
            return tuple(range(NUM_BUCKETS))
        pairs = enumerate(zip(self.bucket_digests, bucket_digests, strict=True))
        return tuple(bucket for bucket, (own, other) in pairs if own != other)

    def in_buckets(self, buckets: tuple[int, ...]) -> list[MemberUpdate]:
        """Return all records in the given buckets, tombstones included."""
        wanted = set(buckets)
        return [record for record in self._records.values() if _bucket(record.name) in wanted]

    def _add_live(self, update: MemberUpdate) -> None:
        self._dead_since_s.pop(update.name, None)
        if update.name not in self._live_index:
            self._live_index[update.name] = len(self._live_names)
            self._live_names.append(update.name)
            self.fleet_ring.add(update.name)
        if update.zone == self._zone:
            self.zone_ring.add(update.name)
        else:
            self.zone_ring.remove(update.name)

    def _remove_live(self, name: NodeName) -> None:
        index = self._live_index.pop(name, None)
        if index is None:
            return
        last = self._live_names.pop()
        if last != name:
            self._live_names[index] = last
            self._live_index[last] = index
        self.fleet_ring.remove(name)
        self.zone_ring.remove(name)

    def _drop_oldest_tombstones(self) -> None:
        while len(self._dead_since_s) > self._max_tombstones:
            self._remove(next(iter(self._dead_since_s)))

    def _remove(self, name: NodeName) -> None:
        del self._dead_since_s[name]
        del self._records[name]

    def _toggle_digest(self, record: MemberUpdate) -> None:
        identity = f"{record.name}\x1f{record.incarnation}\x1f{record.refutations}"
        value = xxhash.xxh3_64_intdigest(identity.encode())
        self.digest ^= value
        self.bucket_digests[_bucket(record.name)] ^= value


def _bucket(name: NodeName) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % NUM_BUCKETS
