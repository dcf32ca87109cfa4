"""Counts of the messages that a node sends to and receives from other nodes, by message type."""

import msgspec


class TrafficCount(msgspec.Struct):
    """Messages and bytes of one message type in one direction; bytes include the envelope."""

    num_messages: int = 0
    num_bytes: int = 0


class PeerTraffic:
    """Traffic counts by message tag; updated by the peer link."""

    def __init__(self) -> None:
        self.sent: dict[str, TrafficCount] = {}
        self.received: dict[str, TrafficCount] = {}
        self.num_rejected: dict[str, int] = {}
        """Number of rejected envelopes and messages, by kind of failure."""

    def record_sent(self, tag: str, num_bytes: int) -> None:
        """Count one sent message."""
        _add(self.sent, tag, num_bytes)

    def record_received(self, tag: str, num_bytes: int) -> None:
        """Count one received message."""
        _add(self.received, tag, num_bytes)

    def record_rejected(self, kind: str) -> None:
        """Count one rejected envelope or message."""
        self.num_rejected[kind] = self.num_rejected.get(kind, 0) + 1


def _add(counts: dict[str, TrafficCount], tag: str, num_bytes: int) -> None:
    count = counts.get(tag)
    if count is None:
        count = counts[tag] = TrafficCount()
    count.num_messages += 1
    count.num_bytes += num_bytes
