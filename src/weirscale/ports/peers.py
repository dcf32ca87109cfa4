"""Interface to other nodes. Adapters: `peers_network` (UDP and HTTP) and the in-memory network."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import msgspec
from result import Result

from weirscale.domain.identifiers import NodeAddress

MAX_CAST_BYTES = 1200
"""Maximum payload of a cast: with IP, UDP and signature it stays below the common path MTU."""


class PeerFailure(msgspec.Struct, frozen=True):
    """A call to a peer that got no reply; `provably_not_sent` if no connection was opened."""

    detail: str
    provably_not_sent: bool


class Datagram(msgspec.Struct, frozen=True):
    """A received cast; `source` is the sender's peer address."""

    source: NodeAddress
    payload: bytes


CallHandler = Callable[[bytes], Awaitable[bytes]]
"""Handles a peer's call: takes the encoded request and returns the encoded reply."""


class PeerNetwork(Protocol):
    """Network to other nodes. Payloads are opaque; callers authenticate them."""

    async def cast(self, destination: NodeAddress, payload: bytes) -> None:
        """Send one datagram of at most MAX_CAST_BYTES; it may be lost, duplicated or reordered."""
        ...

    def datagrams(self) -> AsyncIterator[Datagram]:
        """Iterate over received casts."""
        ...

    async def call(
        self, destination: NodeAddress, payload: bytes, timeout_s: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request of any size and return its reply."""
        ...

    def serve_calls(self, handler: CallHandler) -> None:
        """Set the handler of received calls; must be called once before the node joins."""
        ...
