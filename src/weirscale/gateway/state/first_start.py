"""Whether the whole system starts for the first time, whatever the settings of a node say.

The settings may still call a start the first one when all nodes are killed and come back. Nodes
that run therefore leave a record, which outlives them.
"""

from weirscale.gateway.model.store_positions import FIRST_ERA, StoreEra
from weirscale.gateway.state.stored_records import StoredRecords

STARTED_KEY = "weirscale/started"
"""Key of the record that nodes of this system have run."""


def has_run_before(records: StoredRecords, era: StoreEra) -> bool:
    """Return whether nodes have run before, by what a node finds as it first reads the store."""
    return STARTED_KEY in records or era > FIRST_ERA
