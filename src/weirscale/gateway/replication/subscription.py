"""Keeps a node's cluster state current by asking a node that reads the store.

Every call to the store has a price and a rate shared by all nodes. So a few nodes, chosen by hash
from the registered ones, follow the store; each other node asks one of them, several times a
second, for the changes that it lacks and for the age of the reader's proof that there are no more.

A reply proves what it says as of the time of the query less that age, however long either message
was on its way: the reader's proof was at most that old when it answered, and it answered after the
query. A node whose proof grows older than `MAX_PROOF_AGE_S` reads the store itself, as a reader
does, so a reader that is dead, frozen or cut off delays a change by no more than that.
"""

from collections.abc import Callable, Collection
from random import Random

import anyio
import xxhash

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.topology import ONE_REGION, Topology
from weirscale.gateway.peers.groups import Member
from weirscale.gateway.peers.messages import (
    SendMessage,
    StateQuery,
    StateReply,
)
from weirscale.gateway.peers.open_queries import OpenQueries
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.ports.state_feed import StateBatch
from weirscale.gateway.replication.readers import choose_readers
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.store_outages import NEVER_S
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.boot_clock import loop_deadline_s
from weirscale.ports.event_log import EventLog

QUERY_INTERVAL_S = 0.4
"""Seconds between two queries: a reader answers 48 nodes, 120 queries a second
(docs/CAPACITY.md)."""

MAX_PROOF_AGE_S = 1.1
"""Seconds; with an older proof a node reads the store itself. Changes must be in force within 2 s,
and reading the store takes time as well. Not measured."""

READER_AVOIDED_S = 3.0
"""Seconds for which a reader that gave no proofs is not asked again. Not measured."""


class StateSubscription:
    """Asks a reader for what this node lacks; `run` must be running.

    Args:
        name: This node.
        cluster: What is kept current.
        peers: The registered nodes.
        send: Sends a message to several nodes.
        event_log: Where lost readers are logged.
        random: Spreads the queries.
        clock: Monotonic seconds.
        topology: Which zones are in which region.
    """

    def __init__(
        self,
        name: str,
        cluster: ClusterState,
        peers: PeerDirectory,
        send: SendMessage,
        event_log: EventLog,
        random: Random,
        clock: Callable[[], float],
        topology: Topology = ONE_REGION,
    ) -> None:
        self._topology = topology
        self._name = name
        self._cluster = cluster
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
        self._full_read_due = anyio.Event()
        self.on_full_read_due: Callable[[], None] = lambda: None
        """Called when a reader could not send all changes; the follower sets it."""

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await sleep_to_tick(QUERY_INTERVAL_S * (0.9 + 0.2 * self._random.random()))
            if self._cluster.has_read_all:
                await self._ask()

    def is_current(self) -> bool:
        """Whether a reader keeps this node current, so that it need not read the store."""
        return (
            not self._full_read_due.is_set() and self._clock() < self._proved_at_s + MAX_PROOF_AGE_S
        )

    async def wait_until_not_current(self) -> None:
        """Return once this node has to read the store itself."""
        while self.is_current():
            deadline_s = loop_deadline_s(self._proved_at_s + MAX_PROOF_AGE_S, self._clock)
            with anyio.CancelScope(deadline=deadline_s):
                await self._full_read_due.wait()

    def is_full_read_due(self) -> bool:
        """Whether a reader could not send all changes, so that everything must be read."""
        return self._full_read_due.is_set()

    def record_full_read(self) -> None:
        """Learn that everything has been read."""
        if self._full_read_due.is_set():
            self._full_read_due = anyio.Event()

    def receive(self, reply: StateReply) -> None:
        """Take over a reply, or changes that a reader sent unasked."""
        asked_at_s = self._queries.close(reply.number)
        if reply.are_changes_omitted or reply.after_revision > self._cluster.revision:
            # Changes sent unasked may follow on a message that got lost: the next query mends it.
            if asked_at_s is not None and reply.revision > self._cluster.revision:
                self._full_read_due.set()
                self.on_full_read_due()
            return
        # What is not newer is known, or was removed since: a late reply must not bring it back.
        newer = tuple(one for one in reply.changes if one.revision > self._cluster.revision)
        self._cluster.apply(StateBatch(reply.revision, newer), NEVER_S)
        if asked_at_s is None:
            return
        proved_at_s = asked_at_s - reply.proof_age_ms / MILLISECONDS_PER_S
        self._cluster.confirm(proved_at_s)
        self._proved_at_s = max(self._proved_at_s, proved_at_s)

    async def _ask(self) -> None:
        reader = self._choose_reader()
        if reader is None:
            return
        number = self._queries.open(self._clock())
        query = StateQuery(self._name, number, self._cluster.revision)
        await self._send(query, (self._peers.addresses()[reader],))

    def _choose_reader(self) -> str | None:
        """Return the reader to ask, the same while its proofs are fresh; None at a reader.

        A reader without access to the store asks another one like any other node.
        """
        now_s = self._clock()
        members = self._peers.members()
        readers = choose_readers(members, self._topology)
        if self._name in readers:
            if self._cluster.age_s() <= MAX_PROOF_AGE_S:
                self._reader = None
                return None
            readers.remove(self._name)
        if self._reader in readers and now_s - self._last_proof_s() <= MAX_PROOF_AGE_S:
            return self._reader
        if self._reader is not None:
            self._avoided_until_s[self._reader] = now_s + READER_AVOIDED_S
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
        return [one for one in readers if not self._topology.is_cross_region(own, zones[one])]

    def _last_proof_s(self) -> float:
        """Return when the reader last gave a proof, or was chosen."""
        return max(self._reader_since_s, self._proved_at_s)

    def _distance(self, reader: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name}|{reader}".encode())
