"""The newest epoch of each claim group that this node knows; epochs never go back."""

from collections.abc import Callable

from weirscale.domain.claims.model import NUM_GROUPS, GroupEpoch
from weirscale.messages.claims import KnownEpoch


class EpochDirectory:
    """Holds the newest known epoch of each group.

    Args:
        on_adopted: Called with each newly adopted epoch.
    """

    def __init__(self, on_adopted: Callable[[GroupEpoch], None]) -> None:
        self._records: dict[int, GroupEpoch] = {}
        self._on_adopted = on_adopted

    def record(self, group: int) -> GroupEpoch | None:
        """Return the record of the group's newest known epoch, or None."""
        return self._records.get(group)

    def adopt(self, record: GroupEpoch | None) -> bool:
        """Store an epoch in force if it is newer than the known one; return whether it was."""
        if record is None or not 0 <= record.group < NUM_GROUPS:
            return False
        current = self._records.get(record.group)
        if current is not None and current.epoch >= record.epoch:
            return False
        self._records[record.group] = record
        self._on_adopted(record)
        return True

    def newer_than(self, group: int, epoch: int) -> GroupEpoch | None:
        """Return the group's record if its epoch is higher than the given one, else None."""
        record = self._records.get(group)
        return record if record is not None and record.epoch > epoch else None

    def known_epochs(self) -> tuple[KnownEpoch, ...]:
        """Return the known epoch number of every group, 0 where none is known."""
        return tuple(KnownEpoch(group, self._epoch_of(group)) for group in range(NUM_GROUPS))

    def num_unknown(self) -> int:
        """Return the number of groups without a known epoch."""
        return NUM_GROUPS - len(self._records)

    def _epoch_of(self, group: int) -> int:
        record = self._records.get(group)
        return record.epoch if record is not None else 0
