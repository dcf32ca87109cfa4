"""Tells other nodes of streams that begin here, and asks them about streams of other nodes."""

from collections.abc import Callable, Iterable, Mapping

import anyio

from weirscale.domain.identifiers import ServiceName, SoftwareVersion
from weirscale.gateway.peers.messages import OriginQuery, OriginReply, SendMessage, StreamBegan
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.streams.keepers import OriginKeepers
from weirscale.gateway.streams.origin_store import (
    OriginConflict,
    OriginStore,
    StoredOrigin,
    StreamOrigin,
)

ROUND_S = 0.1
"""Seconds after which nodes that have not replied are asked again. A reply takes up to two ticks of
the nodes."""

NUM_ROUNDS = 3

LAST_WAIT_S = 0.05
"""Seconds to wait for replies beyond the last round."""

MAX_LOOKUPS = 256
"""Maximum number of lookups at the same time. Beyond it an origin counts as unknown, so that
callers with invented ids cause a bounded number of datagrams."""


class _Lookup:
    """A search for one origin at other nodes.

    Args:
        names: The nodes that are asked.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.waiting = set(names)
        self.found: StoredOrigin | None = None
        self.has_ended = anyio.Event()
        if not self.waiting:
            self.has_ended.set()

    def receive(self, sender: str, origin: StoredOrigin | None) -> None:
        """Record a reply; the search ends with the first origin, or when no reply is missing."""
        self.waiting.discard(sender)
        self.found = self.found or origin
        if self.found is not None or not self.waiting:
            self.has_ended.set()


class OriginExchange:
    """Sends and answers messages about the origins of streams.

    Args:
        name: Name of this node.
        store: Origins that this node knows.
        keepers: Selects the nodes that store an origin.
        addresses: Returns the other nodes' addresses, by name.
        send: Sends a message to several nodes.
    """

    def __init__(
        self,
        name: str,
        store: OriginStore,
        keepers: OriginKeepers,
        addresses: Callable[[], Mapping[str, ListenAddress]],
        send: SendMessage,
    ) -> None:
        self._name = name
        self._store = store
        self._keepers = keepers
        self._addresses = addresses
        self._send = send
        self._lookups: dict[int, list[_Lookup]] = {}
        self._num_lookups = 0

    async def announce(self, key: int, origin: StreamOrigin) -> None:
        """Store the origin of a stream that begins here, and tell its keepers."""
        self._store.put(key, origin)
        message = StreamBegan(key, origin.service, origin.version)
        await self._send_to(self._keepers.told(key), message)

    async def find(self, key: int) -> StoredOrigin | None:
        """Return what other nodes know about a stream; None if none of them replies that it knows.

        What this node has stored itself is not looked up here.
        """
        if self._num_lookups >= MAX_LOOKUPS:
            return None
        lookup = _Lookup(self._keepers.asked(key))
        self._lookups.setdefault(key, []).append(lookup)
        self._num_lookups += 1
        try:
            await self._ask(key, lookup)
        finally:
            self._num_lookups -= 1
            self._lookups[key].remove(lookup)
            if not self._lookups[key]:
                del self._lookups[key]
        if lookup.found is not None:
            self._store.put(key, lookup.found)
        return lookup.found

    async def _ask(self, key: int, lookup: _Lookup) -> None:
        query = OriginQuery(self._name, key)
        for _ in range(NUM_ROUNDS):
            await self._send_to(tuple(lookup.waiting), query)
            with anyio.move_on_after(ROUND_S):
                await lookup.has_ended.wait()
                return
        with anyio.move_on_after(LAST_WAIT_S):
            await lookup.has_ended.wait()

    async def _send_to(self, names: Iterable[str], message: StreamBegan | OriginQuery) -> None:
        addresses = self._addresses()
        await self._send(message, [addresses[name] for name in names if name in addresses])

    def receive_began(self, message: StreamBegan) -> None:
        """Store an origin that another node tells."""
        origin = StreamOrigin(ServiceName(message.service), SoftwareVersion(message.version))
        self._store.put(message.key, origin)

    async def answer(self, query: OriginQuery, address: ListenAddress) -> None:
        """Answer a query with what this node has stored."""
        stored = self._store.get(query.key)
        match stored:
            case StreamOrigin():
                reply = OriginReply(self._name, query.key, stored.service, stored.version)
            case OriginConflict():
                reply = OriginReply(self._name, query.key, is_conflict=True)
            case None:
                reply = OriginReply(self._name, query.key)
        await self._send(reply, (address,))

    def receive(self, reply: OriginReply) -> None:
        """Record a reply."""
        origin: StoredOrigin | None = None
        if reply.is_conflict:
            origin = OriginConflict()
        elif reply.service:
            origin = StreamOrigin(ServiceName(reply.service), SoftwareVersion(reply.version))
        for lookup in tuple(self._lookups.get(reply.key, ())):
            lookup.receive(reply.sender, origin)
