"""A record in the store that bounds the age of a new target version.

A starting node asks others for that age; all may restart at once, and then only the record is left.
"""

import msgspec

WEIGHTS_AGE_PREFIX = "weirscale/young/"
"""Of the records' keys in the store."""


class WeightsAgeMarker(msgspec.Struct, frozen=True):
    """Proves to a starting node how old a target version is at most, while it is in the store.

    Attributes:
        model: The model.
        version: The version.
        max_age_s: While the record is there, the version was set no longer ago than this.
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
    """Return the record with a key; None for any other key, or a value that proves nothing."""
    if not key.startswith(WEIGHTS_AGE_PREFIX):
        return None
    model, _, version = key.removeprefix(WEIGHTS_AGE_PREFIX).rpartition("/")
    try:
        return WeightsAgeMarker(model, int(version), float(value))
    except ValueError:
        # Without an age the version is taken for old, which lets no older weights serve too long.
        return None
