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
        if value is None:
            self._values.pop(key, None)
            self._weights_age_markers.pop(key, None)
            return
        self._values[key] = value
        marker = read_weights_age_marker(key, value)
        if marker is not None:
            self._weights_age_markers[key] = marker

    def remove_missing(self, keys: Collection[str]) -> None:
        """Remove the records whose keys are not in a reading of everything."""
        for key in [key for key in self._values if key not in keys]:
            self.put(key, None)
