"""The latest change of each key of the platform's state, in the order of revisions.

The latest change of a key makes its earlier ones needless, so the log stays as large as the state.
"""

from collections import OrderedDict

from weirscale.gateway.ports.state_feed import VersionedChange

MAX_ENTRIES = 2048
"""Keys whose latest change is kept; beyond it the oldest are dropped, and nodes that lack them
read the store. Bounds memory; not measured."""


class ChangeLog:
    """The changes that other nodes may ask for; `ClusterState` is its only writer."""

    def __init__(self) -> None:
        self._latest: OrderedDict[str, VersionedChange] = OrderedDict()
        self._complete_after = 0

    def begin(self, revision: int) -> None:
        """Start anew after a reading of everything: what was removed before it is not known."""
        self._latest.clear()
        self._complete_after = revision

    def add(self, change: VersionedChange) -> None:
        """Note the latest change of a key."""
        self._latest[change.key] = change
        self._latest.move_to_end(change.key)
        if len(self._latest) > MAX_ENTRIES:
            _, dropped = self._latest.popitem(last=False)
            self._complete_after = max(self._complete_after, dropped.revision)

    def since(self, revision: int) -> tuple[VersionedChange, ...] | None:
        """Return the changes after a revision; None if some of them may not be known."""
        if revision < self._complete_after:
            return None
        newer: list[VersionedChange] = []
        for change in reversed(self._latest.values()):
            if change.revision <= revision:
                break
            newer.append(change)
        return tuple(reversed(newer))
