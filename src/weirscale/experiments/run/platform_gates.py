"""Access of one virtual node to the key-value service and to its peers."""

from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, aclosing, asynccontextmanager

import anyio
from anyio.abc import TaskGroup
from result import Result

from weirscale.domain.identifiers import NodeAddress, ZoneName
from weirscale.experiments.memory_network import MemoryEndpoint
from weirscale.experiments.run.life import ProcessLife
from weirscale.experiments.run.links import Links
from weirscale.ports.key_value import KeyValueFailure, ReadAnswer, SwapAnswer, WatchEvent
from weirscale.ports.peers import CallHandler, Datagram, PeerFailure
from weirscale.standins.key_value.in_process import InProcessKeyValue

DATAGRAM_HEADER_BYTES = 28
"""IP and UDP headers."""
CALL_HEADER_BYTES = 300
"""About the HTTP and TCP/IP headers of one request or answer."""

Watch = AsyncIterator[Result[WatchEvent, KeyValueFailure]]


class GatedKeyValue:
    """A `KeyValuePort` as one node has it."""

    def __init__(
        self, client: InProcessKeyValue, life: ProcessLife, links: Links, zone: ZoneName
    ) -> None:
        self._client = client
        self._life = life
        self._links = links
        self._zone = zone

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read every key with a prefix."""
        return await self._life.guard(lambda: self._joined().read(prefix))

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write or delete a key if its revision is the expected one."""
        return await self._life.guard(
            lambda: self._joined().compare_and_swap(key, expected_mod_revision, value, lease_id)
        )

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Make a lease."""
        return await self._life.guard(lambda: self._joined().grant_lease(time_to_live_s))

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease."""
        return await self._life.guard(lambda: self._joined().keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """End a lease."""
        return await self._life.guard(lambda: self._joined().revoke_lease(lease_id))

    def watch(self, prefix: str, start_revision: int) -> AbstractAsyncContextManager[Watch]:
        """Follow changes from a revision on."""
        return self._watch(prefix, start_revision)

    @asynccontextmanager
    async def _watch(self, prefix: str, start_revision: int) -> AsyncIterator[Watch]:
        await self._life.go_on()
        async with (
            self._joined().watch(prefix, start_revision) as events,
            aclosing(self._arriving(events)) as arriving,
            aclosing(self._life.guard_each(arriving)) as seen,
        ):
            yield seen

    async def _arriving(
        self, events: Watch
    ) -> AsyncGenerator[Result[WatchEvent, KeyValueFailure], None]:
        async for event in events:
            while not self._links.reaches_platform(self._zone):
                await self._links.wait_for_change()
            yield event

    def _joined(self) -> InProcessKeyValue:
        """Return the client, cut off or not as the links are now."""
        self._client.is_cut_off = not self._links.reaches_platform(self._zone)
        return self._client


class GatedPeers:
    """A `PeerNetwork` as one node has it.

    Calls of others are answered in the node's own task group, so that a caller that is killed
    meanwhile does not stop them halfway.
    """

    def __init__(
        self,
        endpoint: MemoryEndpoint,
        life: ProcessLife,
        tasks: TaskGroup,
        count_bytes: Callable[[int], None],
    ) -> None:
        self._endpoint = endpoint
        self._life = life
        self._tasks = tasks
        self._count_bytes = count_bytes

    async def cast(self, destination: NodeAddress, payload: bytes) -> None:
        """Send one datagram."""
        self._count_bytes(len(payload) + DATAGRAM_HEADER_BYTES)
        await self._life.guard(lambda: self._endpoint.cast(destination, payload))

    async def datagrams(self) -> AsyncIterator[Datagram]:
        """Iterate over arriving casts."""
        async with aclosing(self._life.guard_each(aiter(self._endpoint.datagrams()))) as seen:
            async for datagram in seen:
                yield datagram

    async def call(
        self, destination: NodeAddress, payload: bytes, timeout_s: float
    ) -> Result[bytes, PeerFailure]:
        """Send a request and await its reply."""
        self._count_bytes(len(payload) + CALL_HEADER_BYTES)
        return await self._life.guard(lambda: self._endpoint.call(destination, payload, timeout_s))

    def serve_calls(self, handler: CallHandler) -> None:
        """Set the handler of arriving calls."""

        async def answer(payload: bytes) -> bytes:
            if self._life.is_killed:
                await anyio.sleep_forever()
            answered = anyio.Event()
            answers: list[bytes] = []
            self._tasks.start_soon(self._answer, handler, payload, answers, answered)
            await answered.wait()
            return answers[0]

        self._endpoint.serve_calls(answer)

    async def _answer(
        self, handler: CallHandler, payload: bytes, answers: list[bytes], answered: anyio.Event
    ) -> None:
        await self._life.go_on()
        answer = await handler(payload)
        self._count_bytes(len(answer) + CALL_HEADER_BYTES)
        answers.append(answer)
        await self._life.go_on()
        answered.set()
