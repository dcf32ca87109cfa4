"""Spreads the platform's state from a few nodes that read the store to all others.

Every call to the store has a price and a rate shared by all nodes. So a few nodes, chosen by hash
from the registered ones, follow the store; each other node asks one of them, several times a
second, for the changes that it lacks and for the age of the reader's proof that there are no more.

A reply proves what it says as of the time of the query less that age, however long either message
was on its way: the reader's proof was at most that old when it answered, and it answered after the
query. A node whose proof grows older than `PATIENCE_S` reads the store itself, as a reader does, so
a reader that is dead, frozen or cut off delays a change by no more than that.
"""

from collections.abc import Awaitable, Callable, Collection, Iterable
from random import Random

import anyio
import msgspec
import xxhash

from weirscale.domain.identifiers import RegionName
from weirscale.gateway.model.topology import ONE_PLACE, Places
from weirscale.gateway.peers.groups import Member, head_rank
from weirscale.gateway.peers.messages import (
    MAX_REPLY_BYTES,
    PeerMessage,
    StateQuery,
    StateReply,
    encode_message,
)
from weirscale.gateway.peers.open_queries import OpenQueries
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports import StateBatch
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import Knowledge
from weirscale.gateway.state.store_outages import NEVER_S
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.boot_clock import loop_deadline_s
from weirscale.ports.event_log import EventLog

MIN_READERS = 2
NODES_A_READER = 48
"""A reader answers so many nodes: 120 queries a second, some 0.01 of a core. Each reader makes a
call for each change and 2.5 a second besides: they were most of the calls of 195 nodes with half as
many nodes a reader."""

QUERY_INTERVAL_S = 0.4
PATIENCE_S = 1.1
"""An older proof makes a node read the store itself; changes must be in force within 2 s."""

AVOIDED_S = 3.0
"""How long a reader without proofs is not asked again."""

SUBSCRIBED_S = 1.5
"""How long after its last query a node is told changes unasked."""

MILLISECONDS_PER_S = 1000.0
MAX_TOLD_AGE_MS = 1_000_000_000

Send = Callable[[PeerMessage, Iterable[ListenAddress]], Awaitable[None]]
"""Sends a message to several nodes; any may miss it."""


def choose_readers(members: Collection[Member], places: Places = ONE_PLACE) -> list[str]:
    """Return the nodes that read the store: the same on every node that knows the same members.

    Each region has a reader of its own, so that a change crosses the link between two regions once
    and not for each node.
    """
    regions: dict[RegionName, list[Member]] = {}
    for member in sorted(members, key=head_rank):
        regions.setdefault(places.region_of(member.zone), []).append(member)
    least = MIN_READERS if len(regions) < MIN_READERS else 1
    readers: list[str] = []
    for inhabitants in regions.values():
        num_readers = max(least, -(-len(inhabitants) // NODES_A_READER))
        readers += [member.name for member in inhabitants[:num_readers]]
    return readers


class _Subscriber(msgspec.Struct):
    address: ListenAddress
    asked_at_s: float


class ChangePublisher:
    """Answers other nodes' queries and tells them changes as they come.

    Args:
        name: This node.
        knowledge: What is told.
        send: Sends a message to several nodes.
        clock: Monotonic seconds.
    """

    def __init__(
        self, name: str, knowledge: Knowledge, send: Send, clock: Callable[[], float]
    ) -> None:
        self._name = name
        self._knowledge = knowledge
        self._send = send
        self._clock = clock
        self._subscribers: dict[str, _Subscriber] = {}
        self._published_revision = 0

    def has_subscribers(self) -> bool:
        """Whether other nodes rest on this one's proofs."""
        since_s = self._clock() - SUBSCRIBED_S
        for name in [one for one, sub in self._subscribers.items() if sub.asked_at_s < since_s]:
            del self._subscribers[name]
        return bool(self._subscribers)

    async def answer(self, query: StateQuery, address: ListenAddress) -> None:
        """Answer a query."""
        if not self._knowledge.has_read_all:
            return
        self._subscribers[query.sender] = _Subscriber(address, self._clock())
        await self._send(self._reply(query.number, query.after_revision), (address,))

    async def publish(self) -> None:
        """Tell all who asked lately what has changed since the last time."""
        after_revision, self._published_revision = (
            self._published_revision,
            self._knowledge.revision,
        )
        if not self.has_subscribers() or self._knowledge.revision <= after_revision:
            return
        reply = self._reply(0, after_revision)
        if not reply.changes:
            return
        await self._send(reply, [one.address for one in self._subscribers.values()])

    def _reply(self, number: int, after_revision: int) -> StateReply:
        knowledge = self._knowledge
        age_ms = min(knowledge.age_s() * MILLISECONDS_PER_S, MAX_TOLD_AGE_MS)
        told = StateReply(
            self._name, number, after_revision, knowledge.revision, int(age_ms) + 1,
            is_left_out=True,
        )  # fmt: skip
        changes = knowledge.log.since(after_revision)
        if changes is None:
            return told
        whole = msgspec.structs.replace(told, is_left_out=False, changes=changes)
        if changes and len(encode_message(whole)) > MAX_REPLY_BYTES:
            return told
        return whole


class StateSubscription:
    """Keeps this node's knowledge current by queries to a reader; `run` must be running.

    Args:
        name: This node.
        knowledge: What is kept current.
        peers: The registered nodes.
        send: Sends a message to several nodes.
        event_log: Where losses and returns of readers are told.
        random: Spreads the queries.
        clock: Monotonic seconds.
        places: Which zones are far from one another.
    """

    def __init__(
        self,
        name: str,
        knowledge: Knowledge,
        peers: PeerDirectory,
        send: Send,
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float],
        places: Places = ONE_PLACE,
    ) -> None:
        self._places = places
        self._name = name
        self._knowledge = knowledge
        self._peers = peers
        self._send = send
        self._event_log = event_log
        self._random = random
        self._clock = clock
        self._reader: str | None = None
        self._reader_since_s = NEVER_S
        self._avoided_until_s: dict[str, float] = {}
        self._queries = OpenQueries(random)
        self._proved_at_s = NEVER_S
        self._reading_due = anyio.Event()
        self.on_reading_due: Callable[[], None] = lambda: None
        """Called when a reader could not tell all changes; the follower sets it."""

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await sleep_to_tick(QUERY_INTERVAL_S * (0.9 + 0.2 * self._random.random()))
            if self._knowledge.has_read_all:
                await self._ask()

    def is_current(self) -> bool:
        """Whether a reader keeps this node current, so that it need not read the store."""
        return not self._reading_due.is_set() and self._clock() < self._proved_at_s + PATIENCE_S

    async def wait_until_not_current(self) -> None:
        """Return once this node has to read the store itself."""
        while self.is_current():
            deadline_s = loop_deadline_s(self._proved_at_s + PATIENCE_S, self._clock)
            with anyio.CancelScope(deadline=deadline_s):
                await self._reading_due.wait()

    def is_reading_due(self) -> bool:
        """Whether a reader could not tell all changes, so that everything must be read."""
        return self._reading_due.is_set()

    def has_read(self) -> None:
        """Learn that everything has been read."""
        if self._reading_due.is_set():
            self._reading_due = anyio.Event()

    def hear(self, reply: StateReply) -> None:
        """Take over a reply, or changes that were told unasked."""
        asked_at_s = self._queries.close(reply.number)
        if reply.is_left_out or reply.after_revision > self._knowledge.revision:
            # What was told unasked may follow on something that got lost: the next query mends it.
            if asked_at_s is not None and reply.revision > self._knowledge.revision:
                self._reading_due.set()
                self.on_reading_due()
            return
        # What is not newer is known already, or has ended since: a late reply must not revive it.
        newer = tuple(one for one in reply.changes if one.revision > self._knowledge.revision)
        self._knowledge.apply(StateBatch(reply.revision, newer), NEVER_S)
        if asked_at_s is None:
            return
        proved_at_s = asked_at_s - reply.proof_age_ms / MILLISECONDS_PER_S
        self._knowledge.confirm(proved_at_s)
        self._proved_at_s = max(self._proved_at_s, proved_at_s)

    async def _ask(self) -> None:
        reader = self._choose_reader()
        if reader is None:
            return
        number = self._queries.open(self._clock())
        query = StateQuery(self._name, number, self._knowledge.revision)
        await self._send(query, (self._peers.addresses()[reader],))

    def _choose_reader(self) -> str | None:
        """Return whom to ask: one reader as long as its proofs are fresh; None for a reader.

        A reader that the store turns away asks another one like any other node.
        """
        now_s = self._clock()
        members = self._peers.members()
        readers = choose_readers(members, self._places)
        if self._name in readers:
            if self._knowledge.age_s() <= PATIENCE_S:
                self._reader = None
                return None
            readers.remove(self._name)
        if self._reader in readers and now_s - self._last_proof_s() <= PATIENCE_S:
            return self._reader
        if self._reader is not None:
            self._avoided_until_s[self._reader] = now_s + AVOIDED_S
            self._event_log.event(
                "reader_lost", reader=self._reader, proof_age_s=now_s - self._proved_at_s
            )
        usable = [one for one in readers if self._avoided_until_s.get(one, NEVER_S) <= now_s]
        usable = self._near(usable, members) or usable
        self._reader = min(usable, key=self._distance, default=None)
        self._reader_since_s = now_s
        return self._reader

    def _near(self, readers: Collection[str], members: Collection[Member]) -> list[str]:
        """Return the readers of this node's own region."""
        zones = {member.name: member.zone for member in members}
        own = zones[self._name]
        return [one for one in readers if not self._places.is_far(own, zones[one])]

    def _last_proof_s(self) -> float:
        """Return when the reader last proved to be of use, or was chosen."""
        return max(self._reader_since_s, self._proved_at_s)

    def _distance(self, reader: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name}|{reader}".encode())
