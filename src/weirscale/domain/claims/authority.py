"""Limits the time for which a holder may vote without a confirmation that its epoch is in force.

The limit is needed only for an epoch that follows the loss of a group's quorum: every other change
of holders first seals a majority of the current ones. The node that declares a quorum lost has live
nodes in more than half of the zones. A holder votes only while it gets answers from at least half
of the zones, or has read the key-value service. So a holder that was declared lost while it still
runs stops voting within AUTHORITY_S.
"""

from collections.abc import Iterable

from weirscale.domain.identifiers import ZoneName

AUTHORITY_S = 30.0
"""Validity of a confirmation: long enough for a few lost messages, and below LOST_AFTER_S."""
LOST_AFTER_S = 120.0
"""How long a majority of a group's holders must be gone before its quorum counts as lost."""
AMNESIA_MARGIN_S = 2 * AUTHORITY_S
"""Added to the retention after a loss, because a live holder may have granted keys for this much
longer."""


class HolderAuthority:
    """Tracks when a node's epochs were last confirmed, by zone and by the key-value service."""

    def __init__(self, own_zone: ZoneName) -> None:
        self._own_zone = own_zone
        self._answered_at_s: dict[ZoneName, float] = {}
        self._store_read_at_s: float | None = None

    def record_zone_answer(self, zone: ZoneName, asked_at_s: float) -> None:
        """Record that a node of the zone, queried at `asked_at_s`, reported no newer epoch."""
        self._answered_at_s[zone] = max(asked_at_s, self._answered_at_s.get(zone, asked_at_s))

    def record_store_read(self, asked_at_s: float) -> None:
        """Record that all epochs read from the key-value service at `asked_at_s` were applied."""
        self._store_read_at_s = max(asked_at_s, self._store_read_at_s or asked_at_s)

    def may_answer(self, zones: Iterable[ZoneName], now_s: float) -> bool:
        """Return whether this node may vote now, given the declared zones."""
        if self._store_read_at_s is not None and self._is_fresh(self._store_read_at_s, now_s):
            return True
        declared = set(zones) | {self._own_zone}
        confirmed = [zone for zone in declared if self._is_confirmed_by(zone, now_s)]
        return 2 * len(confirmed) >= len(declared)

    def _is_confirmed_by(self, zone: ZoneName, now_s: float) -> bool:
        if zone == self._own_zone:
            return True
        answered_at_s = self._answered_at_s.get(zone)
        return answered_at_s is not None and self._is_fresh(answered_at_s, now_s)

    @staticmethod
    def _is_fresh(at_s: float, now_s: float) -> bool:
        return now_s - at_s < AUTHORITY_S
