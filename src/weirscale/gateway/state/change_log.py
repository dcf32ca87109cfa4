"""Compacted log of the platform's state: the latest change of each key, ordered by revision.

The latest change of a key supersedes its earlier ones, so the log grows no larger than the state.
"""

from collections import OrderedDict

from weirscale.gateway.ports.state_feed import VersionedChange

MAX_ENTRIES = 2048
"""Number of keys whose latest change is kept, to bound memory. The oldest changes are dropped
first; nodes that lack them read the store."""


class ChangeLog:
    """Stores the changes that other nodes may request; `ClusterState` is the only writer."""

    def __init__(self) -> None:
        self._latest: OrderedDict[str, VersionedChange] = OrderedDict()
        self._complete_after = 0

    def begin(self, revision: int) -> None:
        """Reset the log after a full read, which does not show what was removed before it."""
        self._latest.clear()
        self._complete_after = revision

    def add(self, change: VersionedChange) -> None:
        """Record the latest change of a key."""
        self._latest[change.key] = change
        self._latest.move_to_end(change.key)
        if len(self._latest) > MAX_ENTRIES:
            _, dropped = self._latest.popitem(last=False)
            self._complete_after = max(self._complete_after, dropped.revision)

    def since(self, revision: int) -> tuple[VersionedChange, ...] | None:
        """Return the changes after a revision; None if some of them may be missing."""
        if revision < self._complete_after:
            return None
        newer: list[VersionedChange] = []
        for change in reversed(self._latest.values()):
            if change.revision <= revision:
                break
            newer.append(change)
        return tuple(reversed(newer))
