"""The epochs of claim groups that this node knows; only higher ones are taken."""

from collections.abc import Callable

from weirscale.domain.claims.model import NUM_GROUPS, GroupEpoch
from weirscale.messages.claims import KnownEpoch


class EpochDirectory:
    """The newest known epoch of each group.

    Args:
        on_adopted: Told of each epoch that is taken.
    """

    def __init__(self, on_adopted: Callable[[GroupEpoch], None]) -> None:
        self._records: dict[int, GroupEpoch] = {}
        self._on_adopted = on_adopted

    def record(self, group: int) -> GroupEpoch | None:
        """The group's newest known epoch."""
        return self._records.get(group)

    def adopt(self, record: GroupEpoch | None) -> bool:
        """Take an epoch in force if it is newer than the one known."""
        if record is None or not 0 <= record.group < NUM_GROUPS:
            return False
        known = self._records.get(record.group)
        if known is not None and known.epoch >= record.epoch:
            return False
        self._records[record.group] = record
        self._on_adopted(record)
        return True

    def newer_than(self, group: int, epoch: int) -> GroupEpoch | None:
        """The group's epoch if it is newer than the given one."""
        record = self._records.get(group)
        return record if record is not None and record.epoch > epoch else None

    def known(self) -> tuple[KnownEpoch, ...]:
        """What this node knows of every group."""
        return tuple(KnownEpoch(group, self._epoch_of(group)) for group in range(NUM_GROUPS))

    def num_unknown(self) -> int:
        """Groups of which no epoch is known."""
        return NUM_GROUPS - len(self._records)

    def _epoch_of(self, group: int) -> int:
        record = self._records.get(group)
        return record.epoch if record is not None else 0
