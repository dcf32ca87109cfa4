"""Reads the key-value service for a zone: a few nodes of each zone watch, the others do not."""

from collections.abc import Awaitable, Callable, Iterable
from random import Random

import anyio
from result import Err

from weirscale.domain.configuration.encode import decode_stored
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import ConfigurationRevision, NodeId, ZoneName
from weirscale.domain.rendezvous import rendezvous_key, rendezvous_weight
from weirscale.node.configuration.apply import CONFIGURATION_KEY, find_configuration
from weirscale.node.configuration.backoff import Backoff
from weirscale.node.interfaces import MembershipView, Peer, PeerState
from weirscale.ports.event_log import EventLog
from weirscale.ports.key_value import (
    KeyValue,
    KeyValueFailure,
    KeyValueFailureKind,
    KeyValuePort,
)

NUM_READERS_PER_ZONE = 2
"""One may be lost or paused without a gap; more would only load the store."""
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
"""Full jitter over this: 36 readers make about 8 calls a second on a store that is down, and the
first of them finds it again well within a second."""
REREAD_AFTER_S = 60.0
"""A watch can go silent without an error, so the key is read again this often."""
DUTY_CHECK_S = 0.5
MIN_START_WAIT_S = 0.5
MAX_START_WAIT_S = 1.0
"""A node that starts knows no other yet and would take itself for a reader. It first waits this
long to join, so that a herd of starts does not meet the store."""
READER_KEY = rendezvous_key("configuration reader")
"""Keeps this duty's choice of nodes apart from that of other duties."""

Offer = Callable[[ConfigurationRevision, Deployment, str], Awaitable[None]]
"""Hands a revision to the owner: revision, content, where it came from."""
Sleep = Callable[[float], Awaitable[None]]


def zone_readers(
    peers: Iterable[Peer], zone: ZoneName, num_readers: int = NUM_READERS_PER_ZONE
) -> tuple[NodeId, ...]:
    """Choose a zone's readers by rendezvous hashing over its live nodes."""
    live = [peer for peer in peers if peer.zone == zone and peer.state is PeerState.ALIVE]
    live.sort(key=lambda peer: rendezvous_weight(peer.node.name, READER_KEY), reverse=True)
    return tuple(peer.node for peer in live[:num_readers])


class ConfigurationReader:
    """Watches the configuration key while this node is a reader of its zone.

    Attributes:
        is_reader: Whether it is one now.
        last_problem: Why the store could not be read; empty when it could.
    """

    def __init__(
        self,
        port: KeyValuePort,
        membership: MembershipView,
        zone: ZoneName,
        offer: Offer,
        random: Random,
        log: EventLog,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        self.is_reader = False
        self.last_problem = ""
        self._port = port
        self._membership = membership
        self._zone = zone
        self._offer = offer
        self._log = log
        self._sleep = sleep
        self._random = random
        self._backoff = Backoff(random, FIRST_BACKOFF_S, MAX_BACKOFF_S)

    async def run(self) -> None:
        """Read while on duty, until cancelled."""
        await self._sleep(self._random.uniform(MIN_START_WAIT_S, MAX_START_WAIT_S))
        while True:
            self.is_reader = self._is_on_duty()
            if not self.is_reader:
                self.last_problem = ""
                await self._sleep(DUTY_CHECK_S)
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_off_duty, tasks.cancel_scope)
                await self._read_and_watch()
                tasks.cancel_scope.cancel()

    def _is_on_duty(self) -> bool:
        readers = zone_readers(self._membership.peers(), self._zone)
        return self._membership.self_id in readers

    async def _cancel_off_duty(self, scope: anyio.CancelScope) -> None:
        version = self._membership.version()
        while True:
            await self._sleep(DUTY_CHECK_S)
            if self._membership.version() == version:
                continue
            version = self._membership.version()
            if not self._is_on_duty():
                scope.cancel()

    async def _read_and_watch(self) -> None:
        """Read once, then watch from there until the watch ends or a new read is due."""
        answer = await self._port.read(CONFIGURATION_KEY)
        if isinstance(answer, Err):
            await self._wait(answer.err_value)
            return
        self._backoff.reset()
        self.last_problem = ""
        found = find_configuration(answer.ok_value.values)
        if found is not None:
            await self._take(found)
        with anyio.move_on_after(REREAD_AFTER_S):
            failure = await self._follow(answer.ok_value.revision + 1)
            if failure.kind is not KeyValueFailureKind.COMPACTED:
                await self._wait(failure)

    async def _follow(self, start_revision: int) -> KeyValueFailure:
        """Take what the watch delivers; returns why it ended."""
        async with self._port.watch(CONFIGURATION_KEY, start_revision) as events:
            async for event in events:
                if isinstance(event, Err):
                    return event.err_value
                value = event.ok_value.value
                if value is not None and value.key == CONFIGURATION_KEY:
                    await self._take(value)
        return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, "the watch ended")

    async def _take(self, found: KeyValue) -> None:
        stored = decode_stored(found.value)
        if isinstance(stored, Err):
            self.last_problem = f"revision {found.mod_revision}: {stored.err_value.detail}"
            self._log.event("configuration_unreadable", problem=self.last_problem)
            return
        revision = ConfigurationRevision(found.mod_revision)
        await self._offer(revision, stored.ok_value.deployment, "store")

    async def _wait(self, failure: KeyValueFailure) -> None:
        self.last_problem = f"store {failure.kind.value}: {failure.detail}"
        await self._sleep(self._backoff.next_s(failure.retry_after_s))
