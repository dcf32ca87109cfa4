"""This node's copy of the gateway's own records in the store."""

from collections.abc import Collection, Iterable, Iterator

from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker, read_weights_age_marker


class StoredRecords:
    """Stores records by key; `ClusterState` is the only writer.

    Attributes:
        num_changes: Increases with each change, so that readers can invalidate derived data.
    """

    def __init__(self) -> None:
        self.num_changes = 0
        self._values: dict[str, bytes] = {}
        self._weights_age_markers: dict[str, WeightsAgeMarker] = {}
        self._lost_until_s: dict[str, float] = {}

    def __contains__(self, key: object) -> bool:
        """Return whether there is a record with this key."""
        return key in self._values

    def get(self, key: str) -> bytes | None:
        """Return the value of a record."""
        return self._values.get(key)

    def under(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Return the keys and values of the records whose keys begin with a prefix."""
        return ((key, value) for key, value in self._values.items() if key.startswith(prefix))

    def weights_age_markers(self) -> Iterable[WeightsAgeMarker]:
        """Return the markers that bound the age of new target versions."""
        return self._weights_age_markers.values()

    def put(self, key: str, value: bytes | None) -> None:
        """Store a record; None as its value removes the record."""
        self.num_changes += 1
        self._lost_until_s.pop(key, None)
        if value is None:
            self._values.pop(key, None)
            self._weights_age_markers.pop(key, None)
            return
        self._values[key] = value
        marker = read_weights_age_marker(key, value)
        if marker is not None:
            self._weights_age_markers[key] = marker

    def mark_lost(self, keys: Collection[str], until_s: float) -> list[str]:
        """Mark the records that a store restored from a backup has lost, and return their keys.

        Lost records stay in force for a limited time, in which their owners write them again.
        Without them, each node would consider itself the only one, and two nodes would give orders
        at the same time.

        Args:
            keys: Keys of a full read of the store.
            until_s: Monotonic time in seconds until which lost records stay in force.
        """
        lost = [key for key in self._values if key not in keys]
        self._lost_until_s.update(dict.fromkeys(lost, until_s))
        self.num_changes += len(lost)
        return lost

    def is_lost(self, key: str) -> bool:
        """Return whether the store has lost a record that has not been written again yet."""
        return key in self._lost_until_s

    def forget_lost(self, now_s: float) -> None:
        """Remove the lost records that have not been written again in time."""
        for key in [key for key, until_s in self._lost_until_s.items() if until_s <= now_s]:
            self.put(key, None)

    def remove_missing(self, keys: Collection[str]) -> None:
        """Remove the records that are missing from a full read, except those marked as lost."""
        for key in [key for key in self._values if key not in keys and not self.is_lost(key)]:
            self.put(key, None)
