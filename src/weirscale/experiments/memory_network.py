"""An in-memory network between nodes, for whole fleets in one process in virtual time.

It delays, drops, duplicates, reorders and cuts, and freezes nodes as SIGSTOP would: what arrives
at a frozen node waits and comes in a burst when it wakes; `MemoryEndpoint.sleep` does not return
while the node is frozen. All chance comes from the `Random` handed in.
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
"""Datagrams that wait at most; more are dropped, as by a full socket buffer."""


class LinkQuality(msgspec.Struct, frozen=True):
    """How a link treats what is sent over it.

    Attributes:
        delay_s: One-way delay.
        jitter_s: Up to this much is added at random; reorders when above the sending gap.
        drop_rate: Share of datagrams lost; a call is lost (times out) at the same rate.
        duplicate_rate: Share of datagrams that arrive twice.
    """

    delay_s: float = 0.0015
    jitter_s: float = 0.0005
    drop_rate: float = 0.0
    duplicate_rate: float = 0.0


class MemoryEndpoint:
    """One node's access to the network; implements `PeerNetwork`."""

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
        """Sleep as a task of this node would: longer if the node is frozen meanwhile."""
        await anyio.sleep(duration_s)
        await self.wait_until_thawed()

    async def wait_until_thawed(self) -> None:
        """Return at once unless the node is frozen."""
        while self._thawed is not None:
            await self._thawed.wait()

    def freeze(self) -> None:
        """Stop the node as SIGSTOP would."""
        if self._thawed is None:
            self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Let the node go on."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def enqueue(self, datagram: Datagram) -> None:
        """Put an arriving datagram into the inbox."""
        try:
            self._send.send_nowait(datagram)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


class MemoryNetwork:
    """Carries datagrams and calls between endpoints.

    Args:
        tasks: Deliveries run in this task group.
        random: Source of all chance.
        default_quality: Of every link.
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
        """Connect a node, in place of any earlier one at the address."""
        endpoint = MemoryEndpoint(self, address, zone)
        self.endpoints[address] = endpoint
        return endpoint

    def detach(self, address: NodeAddress) -> None:
        """Take a node off the network, as a crash does."""
        self.endpoints.pop(address, None)

    def cut(self, sources: set[NodeAddress], destinations: set[NodeAddress]) -> None:
        """Lose everything from the sources to the destinations (one way)."""
        self._blocked.update((a, b) for a in sources for b in destinations)

    def cut_both_ways(self, first: set[NodeAddress], second: set[NodeAddress]) -> None:
        """Lose everything between two groups."""
        self.cut(first, second)
        self.cut(second, first)

    def heal(self) -> None:
        """End all cuts."""
        self._blocked.clear()

    def carry(self, source: MemoryEndpoint, destination: NodeAddress, payload: bytes) -> None:
        """Carry one datagram; it may be dropped, doubled or delayed."""
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
        """Carry one call there and back; a lost one never returns (the caller times out)."""
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
