"""Interface to other nodes. Adapters: `peers_network` (UDP and HTTP) and the in-memory network."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import msgspec
from result import Result

from weirscale.domain.identifiers import NodeAddress

MAX_CAST_BYTES = 1200
"""Largest cast payload: stays below the common path MTU with IP, UDP and signature."""


class PeerFailure(msgspec.Struct, frozen=True):
    """A call to a peer that got no answer; `provably_not_sent` when no connection was made."""

    detail: str
    provably_not_sent: bool


class Datagram(msgspec.Struct, frozen=True):
    """A cast that arrived; `source` is the sender's peer address."""

    source: NodeAddress
    payload: bytes


CallHandler = Callable[[bytes], Awaitable[bytes]]
"""Answers a peer's call: encoded request in, encoded reply out."""


class PeerNetwork(Protocol):
    """What a node uses to reach other nodes. Payloads are opaque; authentication is on top."""

    async def cast(self, destination: NodeAddress, payload: bytes) -> None:
        """Send one datagram of at most MAX_CAST_BYTES; it may be lost, doubled or reordered."""
        ...

    def datagrams(self) -> AsyncIterator[Datagram]:
        """Iterate over arriving casts."""
        ...

    async def call(
        self, destination: NodeAddress, payload: bytes, timeout_s: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request of any size and await its reply."""
        ...

    def serve_calls(self, handler: CallHandler) -> None:
        """Set the handler of arriving calls; called once before the node joins."""
        ...
