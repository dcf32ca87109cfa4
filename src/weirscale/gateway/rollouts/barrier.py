"""Counts the nodes that have moved to a rollout's target.

A node has moved once it has seen that the service's traffic moves and has no request left at the
older versions. Gossip carries the counts by source; a later message replaces an earlier one.
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
    """Counts of moved nodes by rollout and source."""

    def __init__(self) -> None:
        self._received: dict[MovedKey, dict[str, _Received]] = {}

    def receive(self, source: str, key: MovedKey, num_nodes: int, now_s: float) -> None:
        """Record how many nodes of a source have moved."""
        self._received.setdefault(key, {})[source] = _Received(num_nodes, now_s)

    def num_moved(self, key: MovedKey, is_counted: Callable[[str], bool], now_s: float) -> int:
        """Return how many nodes have moved, by the latest gossip of the selected sources.

        Sources that have been silent for longer than `PEER_TIMEOUT_S` are left out.
        """
        return sum(
            received.num_nodes
            for source, received in self._received.get(key, {}).items()
            if is_counted(source) and now_s - received.received_at_s <= PEER_TIMEOUT_S
        )

    def keep(self, keys: set[MovedKey]) -> None:
        """Drop the counts of all rollouts except the given ones."""
        self._received = {key: received for key, received in self._received.items() if key in keys}
