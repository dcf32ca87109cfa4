"""Which nodes know that a service's traffic moves and have nothing at its older versions any more.

Told as numbers of nodes, by source, with the other news: a later message replaces an earlier one.
"""

from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.peers.heartbeat import HEARD_LIFE_S

MovedKey = tuple[ServiceName, Epoch]


class _Heard(msgspec.Struct, frozen=True):
    num_nodes: int
    heard_at_s: float


class MoveBarrier:
    """Counts the nodes that have moved."""

    def __init__(self) -> None:
        self._heard: dict[MovedKey, dict[str, _Heard]] = {}

    def hear(self, source: str, key: MovedKey, num_nodes: int, now_s: float) -> None:
        """Take over how many nodes of a source have moved."""
        self._heard.setdefault(key, {})[source] = _Heard(num_nodes, now_s)

    def num_moved(self, key: MovedKey, is_wanted: Callable[[str], bool], now_s: float) -> int:
        """Return how many nodes of some sources have moved, as far as was told of late."""
        return sum(
            heard.num_nodes
            for source, heard in self._heard.get(key, {}).items()
            if is_wanted(source) and now_s - heard.heard_at_s <= HEARD_LIFE_S
        )

    def keep(self, keys: set[MovedKey]) -> None:
        """Forget all rollouts but these."""
        self._heard = {key: heard for key, heard in self._heard.items() if key in keys}
