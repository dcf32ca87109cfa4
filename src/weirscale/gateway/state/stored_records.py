"""The gateway's own records in the store, as a node knows them."""

from collections.abc import Collection, Iterable, Iterator

from weirscale.gateway.state.weights_age_marker import WeightsAgeMarker, read_weights_age_marker


class StoredRecords:
    """Records by key; `ClusterState` is the only writer.

    Attributes:
        num_changes: Rises with each change, for readers that keep what they made of the records.
    """

    def __init__(self) -> None:
        self.num_changes = 0
        self._values: dict[str, bytes] = {}
        self._weights_age_markers: dict[str, WeightsAgeMarker] = {}
        self._lost_until_s: dict[str, float] = {}

    def __contains__(self, key: object) -> bool:
        """Whether there is a record with this key."""
        return key in self._values

    def get(self, key: str) -> bytes | None:
        """Return the value of a record."""
        return self._values.get(key)

    def under(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Return the records whose keys begin with a prefix."""
        return ((key, value) for key, value in self._values.items() if key.startswith(prefix))

    def weights_age_markers(self) -> Iterable[WeightsAgeMarker]:
        """Return the markers of target versions that are new."""
        return self._weights_age_markers.values()

    def put(self, key: str, value: bytes | None) -> None:
        """Take over a record; None removes it."""
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

    def lose_missing(self, keys: Collection[str], until_s: float) -> list[str]:
        """Note which records the store has lost, as it came back from a copy; returns their keys.

        They count on until a time: their owners write them again. Without them each node would take
        itself for the only one, and two would give orders at the same time.

        Args:
            keys: Keys of a reading of everything.
            until_s: Until when they count, in monotonic seconds.
        """
        lost = [key for key in self._values if key not in keys]
        self._lost_until_s.update(dict.fromkeys(lost, until_s))
        self.num_changes += len(lost)
        return lost

    def is_lost(self, key: str) -> bool:
        """Whether the store has lost a record, and nobody has written it again yet."""
        return key in self._lost_until_s

    def forget_lost(self, now_s: float) -> None:
        """Remove the lost records that nobody has written again in time."""
        for key in [key for key, until_s in self._lost_until_s.items() if until_s <= now_s]:
            self.put(key, None)

    def remove_missing(self, keys: Collection[str]) -> None:
        """Remove the records whose keys are not in a reading of everything, but not lost ones."""
        for key in [key for key in self._values if key not in keys and not self.is_lost(key)]:
            self.put(key, None)
