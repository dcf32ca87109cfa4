"""How long a holder may go on without word that its epoch is still in force.

Only an epoch after the loss of a whole group needs this: every other change seals a majority of
the holders before it. The node that declares a group lost sees more than half of the zones; a
holder goes on only while it hears at least half of them, or has read the key-value service. So a
holder that has been declared lost while it lives stops within AUTHORITY_S.
"""

from collections.abc import Iterable

from weirscale.domain.identifiers import ZoneName

AUTHORITY_S = 30.0
"""How long a confirmation counts; far above a few lost messages, below LOST_AFTER_S."""
LOST_AFTER_S = 120.0
"""How long the holders of a group must be gone before the group counts as lost."""
AMNESIA_MARGIN_S = 2 * AUTHORITY_S
"""Added to the retention after a loss: a living holder may have granted keys this much longer."""


class HolderAuthority:
    """When a node last had confirmation of its epochs."""

    def __init__(self, own_zone: ZoneName) -> None:
        self._own_zone = own_zone
        self._heard_at_s: dict[ZoneName, float] = {}
        self._store_read_at_s: float | None = None

    def record_zone_answer(self, zone: ZoneName, asked_at_s: float) -> None:
        """A node of the zone answered a question asked then, and knew no newer epoch."""
        self._heard_at_s[zone] = max(asked_at_s, self._heard_at_s.get(zone, asked_at_s))

    def record_store_read(self, asked_at_s: float) -> None:
        """The key-value service answered a read asked then, and every record was adopted."""
        self._store_read_at_s = max(asked_at_s, self._store_read_at_s or asked_at_s)

    def may_answer(self, zones: Iterable[ZoneName], now_s: float) -> bool:
        """Whether this node may vote now, given the declared zones."""
        if self._store_read_at_s is not None and self._is_fresh(self._store_read_at_s, now_s):
            return True
        declared = set(zones) | {self._own_zone}
        heard = [zone for zone in declared if self._hears(zone, now_s)]
        return 2 * len(heard) >= len(declared)

    def _hears(self, zone: ZoneName, now_s: float) -> bool:
        if zone == self._own_zone:
            return True
        heard_at_s = self._heard_at_s.get(zone)
        return heard_at_s is not None and self._is_fresh(heard_at_s, now_s)

    @staticmethod
    def _is_fresh(at_s: float, now_s: float) -> bool:
        return now_s - at_s < AUTHORITY_S
