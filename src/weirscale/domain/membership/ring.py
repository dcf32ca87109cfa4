"""A ring of node names in hash order; it determines which node probes which, without messages."""

import bisect
from collections.abc import Callable

import xxhash

from weirscale.domain.identifiers import NodeName

_Position = tuple[int, NodeName]


class HashRing:
    """Names ordered by hash, so that neighbours do not depend on how names are chosen."""

    def __init__(self) -> None:
        self._positions: list[_Position] = []

    def __len__(self) -> int:
        return len(self._positions)

    def add(self, name: NodeName) -> None:
        """Insert a name; no effect if present."""
        position = _position(name)
        index = bisect.bisect_left(self._positions, position)
        if index == len(self._positions) or self._positions[index] != position:
            self._positions.insert(index, position)

    def remove(self, name: NodeName) -> None:
        """Remove a name; no effect if absent."""
        position = _position(name)
        index = bisect.bisect_left(self._positions, position)
        if index < len(self._positions) and self._positions[index] == position:
            del self._positions[index]

    def successor(self, name: NodeName, is_wanted: Callable[[NodeName], bool]) -> NodeName | None:
        """Return the first name after `name` that satisfies a condition; never `name` itself.

        The search wraps around; None if no name satisfies the condition.
        """
        start = bisect.bisect_right(self._positions, _position(name))
        for offset in range(len(self._positions)):
            candidate = self._positions[(start + offset) % len(self._positions)][1]
            if candidate != name and is_wanted(candidate):
                return candidate
        return None

    def is_among_predecessors(self, name: NodeName, other: NodeName, count: int) -> bool:
        """Return whether `name` is one of the `count` names before `other`."""
        end = bisect.bisect_left(self._positions, _position(other))
        num_names = len(self._positions)
        for offset in range(1, min(count, num_names) + 1):
            if self._positions[(end - offset) % num_names][1] == name:
                return True
        return False

    def names(self) -> list[NodeName]:
        """Return all names in ring order."""
        return [name for _, name in self._positions]


def _position(name: NodeName) -> _Position:
    return (xxhash.xxh3_64_intdigest(name.encode()), name)
