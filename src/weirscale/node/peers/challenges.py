"""Challenges to runs of nodes that this node has not met, and casts held until they answer."""

from collections import OrderedDict
from random import Random

import msgspec

from weirscale.domain.identifiers import NodeId
from weirscale.messages.envelope import NONCE_BYTES, Envelope

MAX_PENDING_CHALLENGES = 1024
"""Runs challenged at once; above the fleet's size, so that a herd of starts is met at once."""

MAX_HELD_CASTS = 4
"""Casts held for one run until it answers; more are lost, as casts may be."""


class _Pending(msgspec.Struct):
    nonce: bytes
    held: list[tuple[Envelope, int]]
    num_casts: int = 0


class PendingChallenges:
    """Nonces given out, oldest dropped first when too many."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: OrderedDict[NodeId, _Pending] = OrderedDict()

    def open(self, sender: NodeId) -> bytes:
        """Return the nonce that a run must answer with."""
        pending = self._pending.get(sender)
        if pending is None:
            pending = _Pending(self._random.randbytes(NONCE_BYTES), [])
            self._pending[sender] = pending
        while len(self._pending) > MAX_PENDING_CHALLENGES:
            self._pending.popitem(last=False)
        return pending.nonce

    def hold(self, cast: Envelope, num_bytes: int) -> bool:
        """Keep a cast until its sender has answered.

        Returns:
            Whether to challenge now: at the first cast and then ever more rarely, so that a busy
            sender is not challenged once more with each cast while its answer is on the way.
        """
        pending = self._pending.get(cast.sender)
        if pending is None:
            return False
        pending.num_casts += 1
        if len(pending.held) < MAX_HELD_CASTS:
            pending.held.append((cast, num_bytes))
        return pending.num_casts & (pending.num_casts - 1) == 0

    def settle(self, sender: NodeId, nonce: bytes) -> list[tuple[Envelope, int]] | None:
        """Return the casts held if the nonce is the one given out, else None."""
        pending = self._pending.get(sender)
        if pending is None or pending.nonce != nonce:
            return None
        del self._pending[sender]
        return pending.held
