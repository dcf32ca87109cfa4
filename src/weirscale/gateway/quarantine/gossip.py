"""Sends the other nodes what this node has seen: crashes under requests, and answers to them."""

from collections.abc import Iterable

from weirscale.gateway.peers.messages import AnsweredGossip, CrashGossip
from weirscale.gateway.peers.outbox import GossipOutbox

RESEND_FOR_S = 3.0
"""Seconds for which an item is sent again with each refresh, once a second: single datagrams are
lost. Not measured."""


class QuarantineGossip:
    """Items to send, and those that are sent again."""

    def __init__(self) -> None:
        self._unsent: list[CrashGossip | AnsweredGossip] = []
        self._sent: list[tuple[CrashGossip | AnsweredGossip, float]] = []

    def add(self, item: CrashGossip | AnsweredGossip) -> None:
        """Send an item with the next message."""
        self._unsent.append(item)

    def add_to(self, outbox: GossipOutbox, must_refresh: bool, now_s: float) -> None:
        """Put new items into an outbox, and with a refresh those of the last seconds again."""
        if not (self._unsent or self._sent):
            return
        unsent, self._unsent = self._unsent, []
        self._sent = [(item, until_s) for item, until_s in self._sent if until_s > now_s]
        again = [item for item, _ in self._sent] if must_refresh else []
        self._sent.extend((item, now_s + RESEND_FOR_S) for item in unsent)
        _add_all(outbox, [*unsent, *again])


def _add_all(outbox: GossipOutbox, items: Iterable[CrashGossip | AnsweredGossip]) -> None:
    for one in items:
        if isinstance(one, CrashGossip):
            outbox.add_crash(one)
        else:
            outbox.add_answered(one)
