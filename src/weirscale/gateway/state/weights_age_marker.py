"""What a record in the store proves of a newly named version, to a node that starts.

All nodes may restart at once, and then none of them can tell another how old a naming is.
"""

import msgspec

WEIGHTS_AGE_PREFIX = "weirscale/young/"


class WeightsAgeMarker(msgspec.Struct, frozen=True):
    """Lives in the store while a version is newly named; what it proves to a node that starts.

    Attributes:
        model: The model.
        version: The version.
        max_age_s: While the record is there, the version was named no longer ago than this.
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
        return None
