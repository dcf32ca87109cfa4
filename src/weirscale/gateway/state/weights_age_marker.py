"""Records in the store that bound the age of a new target version.

A starting node asks the other nodes for this age. If all nodes restart at once, only the record is
left.
"""

import msgspec

WEIGHTS_AGE_PREFIX = "weirscale/young/"
"""Prefix of the records' keys in the store."""


class WeightsAgeMarker(msgspec.Struct, frozen=True):
    """Proves the maximum age of a target version to a starting node, while it is in the store.

    Attributes:
        model: The model.
        version: The target version.
        max_age_s: While the record exists, the version was set at most this many seconds ago.
    """

    model: str
    version: int
    max_age_s: float

    def key(self) -> str:
        """Return the key in the store."""
        return f"{WEIGHTS_AGE_PREFIX}{self.model}/{self.version}"

    def value(self) -> bytes:
        """Return the value in the store."""
        return str(self.max_age_s).encode()


def read_weights_age_marker(key: str, value: bytes) -> WeightsAgeMarker | None:
    """Parse a record; return None if the key is not a marker's or the value is invalid."""
    if not key.startswith(WEIGHTS_AGE_PREFIX):
        return None
    model, _, version = key.removeprefix(WEIGHTS_AGE_PREFIX).rpartition("/")
    try:
        return WeightsAgeMarker(model, int(version), float(value))
    except ValueError:
        # Without an age the version counts as old, so older weights do not serve for too long.
        return None
