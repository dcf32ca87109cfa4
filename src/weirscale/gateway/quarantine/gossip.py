"""Sends the other nodes what this node has seen: crashes, and what was answered."""

from collections.abc import Iterable

from weirscale.gateway.peers.gossip_entries import (
    AnsweredBlockGossip,
    AnsweredGossip,
    BlocksCrashGossip,
    CrashGossip,
)
from weirscale.gateway.peers.outbox import GossipOutbox

RESEND_FOR_S = 3.0
"""Seconds for which an item is repeated with each refresh, once a second: datagrams may be lost."""

QuarantineItem = CrashGossip | AnsweredGossip | BlocksCrashGossip | AnsweredBlockGossip


class QuarantineGossip:
    """Queues new items, and repeats those sent recently."""

    def __init__(self) -> None:
        self._unsent: list[QuarantineItem] = []
        self._sent: list[tuple[QuarantineItem, float]] = []

    def add(self, item: QuarantineItem) -> None:
        """Queue an item for the next message."""
        self._unsent.append(item)

    def add_to(self, outbox: GossipOutbox, must_refresh: bool, now_s: float) -> None:
        """Add new items to an outbox; with a refresh, also those of the last `RESEND_FOR_S`."""
        if not (self._unsent or self._sent):
            return
        unsent, self._unsent = self._unsent, []
        self._sent = [(item, until_s) for item, until_s in self._sent if until_s > now_s]
        repeated = [item for item, _ in self._sent] if must_refresh else []
        self._sent.extend((item, now_s + RESEND_FOR_S) for item in unsent)
        _add_all(outbox, [*unsent, *repeated])


def _add_all(outbox: GossipOutbox, items: Iterable[QuarantineItem]) -> None:
    for item in items:
        match item:
            case CrashGossip():
                outbox.add_crash(item)
            case AnsweredGossip():
                outbox.add_answered(item)
            case BlocksCrashGossip():
                outbox.add_blocks_crash(item)
            case AnsweredBlockGossip():
                outbox.add_answered_block(item)
