"""Ports through which a virtual node reaches the key-value service and its peers."""

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
"""Size of the IP and UDP headers of a datagram."""
CALL_HEADER_BYTES = 300
"""Approximate size of the HTTP and TCP/IP headers of a request or reply."""

Watch = AsyncIterator[Result[WatchEvent, KeyValueFailure]]


class GatedKeyValue:
    """The `KeyValuePort` through which a virtual node reaches the key-value service."""

    def __init__(
        self, client: InProcessKeyValue, life: ProcessLife, links: Links, zone: ZoneName
    ) -> None:
        self._client = client
        self._life = life
        self._links = links
        self._zone = zone

    async def read(self, prefix: str) -> Result[ReadAnswer, KeyValueFailure]:
        """Read every key with a prefix."""
        return await self._life.guard(lambda: self._updated_client().read(prefix))

    async def compare_and_swap(
        self, key: str, expected_mod_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[SwapAnswer, KeyValueFailure]:
        """Write or delete a key if its revision equals the expected one."""
        return await self._life.guard(
            lambda: self._updated_client().compare_and_swap(
                key, expected_mod_revision, value, lease_id
            )
        )

    async def grant_lease(self, time_to_live_s: float) -> Result[int, KeyValueFailure]:
        """Grant a lease."""
        return await self._life.guard(lambda: self._updated_client().grant_lease(time_to_live_s))

    async def keep_lease_alive(self, lease_id: int) -> Result[float, KeyValueFailure]:
        """Renew a lease."""
        return await self._life.guard(lambda: self._updated_client().keep_lease_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, KeyValueFailure]:
        """Revoke a lease."""
        return await self._life.guard(lambda: self._updated_client().revoke_lease(lease_id))

    def watch(self, prefix: str, start_revision: int) -> AbstractAsyncContextManager[Watch]:
        """Watch changes of keys with a prefix, starting at a revision."""
        return self._watch(prefix, start_revision)

    @asynccontextmanager
    async def _watch(self, prefix: str, start_revision: int) -> AsyncIterator[Watch]:
        await self._life.wait_until_running()
        async with (
            self._updated_client().watch(prefix, start_revision) as events,
            aclosing(self._delayed_items(events)) as delayed_items,
            aclosing(self._life.guard_each(delayed_items)) as guarded_items,
        ):
            yield guarded_items

    async def _delayed_items(
        self, events: Watch
    ) -> AsyncGenerator[Result[WatchEvent, KeyValueFailure], None]:
        async for event in events:
            while not self._links.reaches_platform(self._zone):
                await self._links.wait_for_change()
            yield event

    def _updated_client(self) -> InProcessKeyValue:
        """Return the client, cut off if the zone cannot currently reach the platform."""
        self._client.is_cut_off = not self._links.reaches_platform(self._zone)
        return self._client


class GatedPeers:
    """The `PeerNetwork` through which a virtual node reaches its peers.

    Calls from peers are handled in the node's own task group, so that a peer that is killed in the
    meantime does not cancel the handler halfway.
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
        async with aclosing(
            self._life.guard_each(aiter(self._endpoint.datagrams()))
        ) as guarded_items:
            async for datagram in guarded_items:
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
        await self._life.wait_until_running()
        answer = await handler(payload)
        self._count_bytes(len(answer) + CALL_HEADER_BYTES)
        answers.append(answer)
        await self._life.wait_until_running()
        answered.set()
