"""Selects the nodes that store the origin of a stream."""

from collections.abc import Callable, Collection

from weirscale.domain.rendezvous import rendezvous_ranking

NUM_KEEPERS = 5
"""Number of nodes that are told of a stream, so that its origin survives the loss of six nodes in
ten."""

NUM_ASKED = 8
"""Number of nodes that are asked, more than are told: the fleet may have changed meanwhile."""


class OriginKeepers:
    """Selects keepers by rendezvous hashing, so nodes with the same list of nodes agree.

    Args:
        name: Name of this node.
        node_names: Returns the names of all nodes in the fleet, those included whose registration
            ended recently: an outage of the store ends all registrations.
    """

    def __init__(self, name: str, node_names: Callable[[], Collection[str]]) -> None:
        self._name = name
        self._node_names = node_names

    def told(self, key: int) -> list[str]:
        """Return the other nodes that are told of a stream."""
        return self._ranked(key, NUM_KEEPERS)

    def asked(self, key: int) -> list[str]:
        """Return the other nodes that are asked about a stream, the likeliest first."""
        return self._ranked(key, NUM_ASKED)

    def _ranked(self, key: int, num: int) -> list[str]:
        ranked = rendezvous_ranking(self._node_names(), key, num)
        return [name for name in ranked if name != self._name]
