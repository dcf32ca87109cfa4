"""Stores the origins of recent streams, at the nodes that were told of them."""

from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import ServiceName, SoftwareVersion

ORIGIN_LIFE_S = 120.0
"""Seconds for which an origin is stored; longer than callers wait for a stream and its retries."""

MAX_STORED_ORIGINS = 20_000
"""Maximum number of stored origins; beyond it, the oldest are dropped."""


class StreamOrigin(msgspec.Struct, frozen=True):
    """What made the first event of a stream.

    Attributes:
        service: The service.
        version: Its service version.
    """

    service: ServiceName
    version: SoftwareVersion


class OriginConflict(msgspec.Struct, frozen=True):
    """Several streams with different origins began under the same id."""


StoredOrigin = StreamOrigin | OriginConflict


class _Record(msgspec.Struct, frozen=True):
    origin: StoredOrigin
    stored_at_s: float


class OriginStore:
    """Stores origins by the key of their stream.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[int, _Record] = {}
        """The oldest first."""

    def put(self, key: int, origin: StoredOrigin) -> None:
        """Store an origin; a different one that is stored already makes it a conflict."""
        self._drop_expired()
        stored = self._records.get(key)
        if stored is None:
            self._records[key] = _Record(origin, self._clock())
        elif stored.origin != origin:
            self._records[key] = _Record(OriginConflict(), stored.stored_at_s)
        if len(self._records) > MAX_STORED_ORIGINS:
            del self._records[next(iter(self._records))]

    def get(self, key: int) -> StoredOrigin | None:
        """Return what is stored about a stream; None if nothing is."""
        record = self._records.get(key)
        if record is None or self._has_expired(record):
            return None
        return record.origin

    def __len__(self) -> int:
        """Return the number of stored origins."""
        return len(self._records)

    def _drop_expired(self) -> None:
        while self._records:
            oldest = next(iter(self._records))
            if not self._has_expired(self._records[oldest]):
                return
            del self._records[oldest]

    def _has_expired(self, record: _Record) -> bool:
        return self._clock() - record.stored_at_s > ORIGIN_LIFE_S
