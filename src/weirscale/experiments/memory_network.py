"""An in-memory network between nodes, for whole fleets in a single process in virtual time.

It can delay, drop, duplicate and reorder messages, partition the network, and freeze nodes as
SIGSTOP does. Messages to a frozen node are queued and delivered in a burst when it resumes, and
`MemoryEndpoint.sleep` does not return while the node is frozen. All random choices come from the
`Random` passed to `MemoryNetwork`.
"""

from collections.abc import AsyncIterator
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from result import Err, Ok, Result

from weirscale.domain.identifiers import NodeAddress, ZoneName
from weirscale.ports.peers import CallHandler, Datagram, PeerFailure

INBOX_SIZE = 8192
"""Maximum number of queued datagrams; further ones are dropped, as by a full socket buffer."""


class LinkQuality(msgspec.Struct, frozen=True):
    """Delay and losses of a link.

    Attributes:
        delay_s: One-way delay.
        jitter_s: Maximum random addition to the delay; datagrams are reordered if it exceeds the
            time between them.
        drop_rate: Share of datagrams that are lost. Requests and replies of calls are lost at the
            same rate; such a call times out.
        duplicate_rate: Share of datagrams that are delivered twice.
    """

    delay_s: float = 0.0015
    jitter_s: float = 0.0005
    drop_rate: float = 0.0
    duplicate_rate: float = 0.0


class MemoryEndpoint:
    """A node's access to the network; implements `PeerNetwork`."""

    def __init__(self, network: "MemoryNetwork", address: NodeAddress, zone: ZoneName) -> None:
        self.address = address
        self.zone = zone
        self.handler: CallHandler | None = None
        self._network = network
        streams = anyio.create_memory_object_stream[Datagram](INBOX_SIZE)
        self._send: MemoryObjectSendStream[Datagram] = streams[0]
        self._receive: MemoryObjectReceiveStream[Datagram] = streams[1]
        self._thawed: anyio.Event | None = None

    async def cast(self, destination: NodeAddress, payload: bytes) -> None:
        """Send one datagram."""
        await self.wait_until_thawed()
        self._network.carry(self, destination, payload)

    async def datagrams(self) -> AsyncIterator[Datagram]:
        """Iterate over arriving casts."""
        async for datagram in self._receive:
            await self.wait_until_thawed()
            yield datagram

    async def call(
        self, destination: NodeAddress, payload: bytes, timeout_s: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and await its reply."""
        await self.wait_until_thawed()
        with anyio.move_on_after(timeout_s):
            answer = await self._network.carry_call(self, destination, payload)
            await self.wait_until_thawed()
            return answer
        return Err(PeerFailure("timed out", provably_not_sent=False))

    def serve_calls(self, handler: CallHandler) -> None:
        """Set the handler of arriving calls."""
        self.handler = handler

    async def sleep(self, duration_s: float) -> None:
        """Sleep as a task of this node does: longer if the node is frozen meanwhile."""
        await anyio.sleep(duration_s)
        await self.wait_until_thawed()

    async def wait_until_thawed(self) -> None:
        """Wait while the node is frozen."""
        while self._thawed is not None:
            await self._thawed.wait()

    def freeze(self) -> None:
        """Suspend the node as SIGSTOP does."""
        if self._thawed is None:
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Resume the node."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def enqueue(self, datagram: Datagram) -> None:
        """Add an arriving datagram to the inbox; drop it if the inbox is full or closed."""
        try:
            self._send.send_nowait(datagram)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


class MemoryNetwork:
    """Carries datagrams and calls between endpoints.

    Args:
        tasks: Task group in which datagrams are delivered.
        random: Source of all random choices.
        default_quality: Quality of every link.
    """

    def __init__(
        self, tasks: TaskGroup, random: Random, default_quality: LinkQuality | None = None
    ) -> None:
        self._tasks = tasks
        self._random = random
        self.default_quality = default_quality or LinkQuality()
        self.endpoints: dict[NodeAddress, MemoryEndpoint] = {}
        self._blocked: set[tuple[NodeAddress, NodeAddress]] = set()

    def attach(self, address: NodeAddress, zone: ZoneName) -> MemoryEndpoint:
        """Connect a node; it replaces an earlier one at the same address."""
        endpoint = MemoryEndpoint(self, address, zone)
        self.endpoints[address] = endpoint
        return endpoint

    def detach(self, address: NodeAddress) -> None:
        """Disconnect a node from the network, as a crash does."""
        self.endpoints.pop(address, None)

    def cut(self, sources: set[NodeAddress], destinations: set[NodeAddress]) -> None:
        """Drop all messages from the sources to the destinations, in this direction only."""
        self._blocked.update((a, b) for a in sources for b in destinations)

    def cut_both_ways(self, first: set[NodeAddress], second: set[NodeAddress]) -> None:
        """Drop all messages between two groups, in both directions."""
        self.cut(first, second)
        self.cut(second, first)

    def heal(self) -> None:
        """End all cuts."""
        self._blocked.clear()

    def carry(self, source: MemoryEndpoint, destination: NodeAddress, payload: bytes) -> None:
        """Carry a datagram, which may be dropped, duplicated or delayed."""
        quality = self.quality_of(source, destination)
        if self._is_lost(source.address, destination, quality):
            return
        num_copies = 2 if self._random.random() < quality.duplicate_rate else 1
        for _ in range(num_copies):
            delay_s = self._delay_s(quality)
            datagram = Datagram(source.address, payload)
            self._tasks.start_soon(self._deliver, destination, datagram, delay_s)

    async def carry_call(
        self, source: MemoryEndpoint, destination: NodeAddress, payload: bytes
    ) -> Result[bytes, PeerFailure]:
        """Carry a call and its reply.

        If the request or the reply is lost, this never returns, so the caller must set a timeout.
        """
        quality = self.quality_of(source, destination)
        if self._is_lost(source.address, destination, quality):
            await anyio.sleep_forever()
        await anyio.sleep(self._delay_s(quality))
        endpoint = self.endpoints.get(destination)
        if endpoint is None or endpoint.handler is None:
            return Err(PeerFailure("connection refused", provably_not_sent=True))
        await endpoint.wait_until_thawed()
        answer = await endpoint.handler(payload)
        if self._is_lost(destination, source.address, quality):
            await anyio.sleep_forever()
        await anyio.sleep(self._delay_s(quality))
        return Ok(answer)

    async def _deliver(self, destination: NodeAddress, datagram: Datagram, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        endpoint = self.endpoints.get(destination)
        if endpoint is not None:
            endpoint.enqueue(datagram)

    def quality_of(self, source: MemoryEndpoint, destination: NodeAddress) -> LinkQuality:
        """Return the quality of the link between two nodes."""
        return self.default_quality

    def _is_lost(self, source: NodeAddress, destination: NodeAddress, quality: LinkQuality) -> bool:
        if (source, destination) in self._blocked:
            return True
        return self._random.random() < quality.drop_rate

    def _delay_s(self, quality: LinkQuality) -> float:
        return quality.delay_s + self._random.random() * quality.jitter_s
