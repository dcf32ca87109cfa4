"""Reads the configuration from the key-value service; only a few nodes of each zone watch it."""

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
"""One reader may fail or be suspended without a gap; more readers would only load the store."""
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
"""Maximum backoff, with full jitter: 36 readers make about 8 calls a second to a store that is
down, so the first of them detects its return well within a second."""
REREAD_AFTER_S = 60.0
"""The key is read again this often, since a watch can stop delivering without an error."""
ROLE_CHECK_S = 0.5
MIN_START_WAIT_S = 0.5
MAX_START_WAIT_S = 1.0
"""A starting node knows no other nodes yet and would consider itself a reader. It first waits this
long to join, so that many simultaneous starts do not all read the store."""
READER_KEY = rendezvous_key("configuration reader")
"""Makes the choice of readers independent of the choice of nodes for other duties."""

Offer = Callable[[ConfigurationRevision, Deployment, str], Awaitable[None]]
"""Passes a revision to `ConfigurationTask`: revision, content, source."""
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
        is_reader: Whether this node is a reader of its zone now.
        last_problem: Why the last read failed; empty if it succeeded.
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
        """Read and watch while this node is a reader of its zone, until cancelled."""
        await self._sleep(self._random.uniform(MIN_START_WAIT_S, MAX_START_WAIT_S))
        while True:
            self.is_reader = self._is_zone_reader()
            if not self.is_reader:
                self.last_problem = ""
                await self._sleep(ROLE_CHECK_S)
                continue
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_when_not_reader, tasks.cancel_scope)
                await self._read_and_watch()
                tasks.cancel_scope.cancel()

    def _is_zone_reader(self) -> bool:
        readers = zone_readers(self._membership.peers(), self._zone)
        return self._membership.self_id in readers

    async def _cancel_when_not_reader(self, scope: anyio.CancelScope) -> None:
        version = self._membership.version()
        while True:
            await self._sleep(ROLE_CHECK_S)
            if self._membership.version() == version:
                continue
            version = self._membership.version()
            if not self._is_zone_reader():
                scope.cancel()

    async def _read_and_watch(self) -> None:
        """Read the key, then watch it until the watch ends or the next read is due."""
        answer = await self._port.read(CONFIGURATION_KEY)
        if isinstance(answer, Err):
            await self._wait(answer.err_value)
            return
        self._backoff.reset()
        self.last_problem = ""
        entry = find_configuration(answer.ok_value.values)
        if entry is not None:
            await self._offer_value(entry)
        with anyio.move_on_after(REREAD_AFTER_S):
            failure = await self._follow(answer.ok_value.revision + 1)
            if failure.kind is not KeyValueFailureKind.COMPACTED:
                await self._wait(failure)

    async def _follow(self, start_revision: int) -> KeyValueFailure:
        """Offer the revisions that a watch delivers; return why it ended."""
        async with self._port.watch(CONFIGURATION_KEY, start_revision) as events:
            async for event in events:
                if isinstance(event, Err):
                    return event.err_value
                value = event.ok_value.value
                if value is not None and value.key == CONFIGURATION_KEY:
                    await self._offer_value(value)
        return KeyValueFailure(KeyValueFailureKind.UNREACHABLE, "the watch ended")

    async def _offer_value(self, entry: KeyValue) -> None:
        stored = decode_stored(entry.value)
        if isinstance(stored, Err):
            self.last_problem = f"revision {entry.mod_revision}: {stored.err_value.detail}"
            self._log.event("configuration_unreadable", problem=self.last_problem)
            return
        revision = ConfigurationRevision(entry.mod_revision)
        await self._offer(revision, stored.ok_value.deployment, "store")

    async def _wait(self, failure: KeyValueFailure) -> None:
        self.last_problem = f"store {failure.kind.value}: {failure.detail}"
        await self._sleep(self._backoff.next_s(failure.retry_after_s))
