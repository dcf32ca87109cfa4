"""What a node cannot know that starts while the store is back from a backup.

The store has lost its latest writes, and the node has no memory of them. Operators write their
latest configuration again within seconds. Until then, the node must not rely on the one that it
reads: a key may have been removed since the backup.
"""

from weirscale.gateway.model.store_positions import FIRST_ERA, StoreEra
from weirscale.gateway.state.store_outages import NEVER_S
from weirscale.gateway.state.stored_records import StoredRecords

SETTLED_KEY = "weirscale/settled_era"
"""Key of the record with the last settled era of the store. An era is settled once a node has
waited in it until what earlier eras lost was written again, and their holders had stopped."""


def settled_value(era: StoreEra) -> bytes:
    """Return the value of the record for an era."""
    return str(era).encode()


def is_era_settled(records: StoredRecords, era: StoreEra) -> bool:
    """Return whether nothing of earlier eras may be missing any more."""
    return era == FIRST_ERA or records.get(SETTLED_KEY) == settled_value(era)


class RestoredStart:
    """Whether the configuration that a node first read may be older than one that was lost."""

    def __init__(self) -> None:
        self._until_s = NEVER_S
        self._first_revision = 0

    def begin(self, first_revision: int, until_s: float) -> None:
        """Record that the node's first read was in a later era.

        Args:
            first_revision: Revision of that read.
            until_s: Time by which operators have written again.
        """
        self._first_revision = first_revision
        self._until_s = until_s

    def configuration_written(self, revision: int) -> None:
        """Record a write of the configuration; one after the first read is the latest."""
        if revision > self._first_revision:
            self._until_s = NEVER_S

    def may_lack_configuration(self, now_s: float) -> bool:
        """Return whether operators may still have to write again."""
        return now_s < self._until_s
