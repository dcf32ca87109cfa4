"""Challenges to senders unknown to this node; their casts are held until they answer."""

from collections import OrderedDict
from random import Random

import msgspec

from weirscale.domain.identifiers import NodeId
from weirscale.messages.envelope import NONCE_BYTES, Envelope

MAX_PENDING_CHALLENGES = 1024
"""Maximum number of open challenges; above the fleet size, so that all nodes may start at once."""

MAX_HELD_CASTS = 4
"""Casts held for one sender until it answers; further casts are dropped, as casts may be lost."""


class _PendingChallenge(msgspec.Struct):
    nonce: bytes
    held_casts: list[tuple[Envelope, int]]
    num_casts: int = 0


class PendingChallenges:
    """The open challenges and their nonces; the oldest is dropped when there are too many."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: OrderedDict[NodeId, _PendingChallenge] = OrderedDict()

    def open(self, sender: NodeId) -> bytes:
        """Return the nonce that the sender must answer with; open a challenge if there is none."""
        pending = self._pending.get(sender)
        if pending is None:
            pending = _PendingChallenge(self._random.randbytes(NONCE_BYTES), [])
            self._pending[sender] = pending
        while len(self._pending) > MAX_PENDING_CHALLENGES:
            self._pending.popitem(last=False)
        return pending.nonce

    def hold(self, cast: Envelope, num_bytes: int) -> bool:
        """Hold a cast until its sender has answered the challenge.

        Returns:
            Whether to send a challenge now: at the first cast, then at exponentially growing
            counts of casts, so that a busy sender does not get a challenge for each cast while its
            answer is in flight.
        """
        pending = self._pending.get(cast.sender)
        if pending is None:
            return False
        pending.num_casts += 1
        if len(pending.held_casts) < MAX_HELD_CASTS:
            pending.held_casts.append((cast, num_bytes))
        return pending.num_casts & (pending.num_casts - 1) == 0

    def settle(self, sender: NodeId, nonce: bytes) -> list[tuple[Envelope, int]] | None:
        """Close the challenge if the nonce matches and return the held casts, else None."""
        pending = self._pending.get(sender)
        if pending is None or pending.nonce != nonce:
            return None
        del self._pending[sender]
        return pending.held_casts
