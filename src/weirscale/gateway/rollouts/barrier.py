"""How many nodes have moved: know that a service's traffic moves, and have no request left at its
older versions.

Gossip carries the numbers by source; a later message replaces an earlier one.
"""

from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import ServiceName
from weirscale.gateway.model.rollout_order import Epoch
from weirscale.gateway.peers.heartbeat import PEER_TIMEOUT_S

MovedKey = tuple[ServiceName, Epoch]


class _Received(msgspec.Struct, frozen=True):
    num_nodes: int
    received_at_s: float


class MoveBarrier:
    """Counts the nodes that have moved."""

    def __init__(self) -> None:
        self._received: dict[MovedKey, dict[str, _Received]] = {}

    def receive(self, source: str, key: MovedKey, num_nodes: int, now_s: float) -> None:
        """Take over how many nodes of a source have moved."""
        self._received.setdefault(key, {})[source] = _Received(num_nodes, now_s)

    def num_moved(self, key: MovedKey, is_wanted: Callable[[str], bool], now_s: float) -> int:
        """Return how many nodes of some sources have moved, by their latest gossip."""
        return sum(
            received.num_nodes
            for source, received in self._received.get(key, {}).items()
            if is_wanted(source) and now_s - received.received_at_s <= PEER_TIMEOUT_S
        )

    def keep(self, keys: set[MovedKey]) -> None:
        """Forget all rollouts but these."""
        self._received = {key: received for key, received in self._received.items() if key in keys}
