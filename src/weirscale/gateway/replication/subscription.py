"""Keeps a node's cluster state current by querying a node that reads the store.

Every call to the store has a cost, and all nodes share a rate limit. So a few of the registered
nodes, chosen by hash, follow the store: the readers. Each other node queries a reader several times
a second for the changes it lacks. The reply also states the age of the reader's proof, which is the
last answer of the store that showed the reader's state to be complete.

The receiver's state is then proved complete as of the time of the query minus that age, however
long either message was delayed: the proof was at most that old when the reader replied, and the
reader replied after the query was sent. A node whose proof is older than `MAX_PROOF_AGE_S` reads
the store itself, so a reader that has failed, is suspended or is partitioned delays a change by no
more than that.
"""

from collections.abc import Callable, Collection
from random import Random

import anyio
import xxhash

from weirscale.gateway.durations import MILLISECONDS_PER_S
from weirscale.gateway.model.topology import ONE_REGION, Topology
from weirscale.gateway.peers.groups import Member
from weirscale.gateway.peers.messages import SendMessage, StateQuery, StateReply
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
"""Seconds between two queries. A reader of 48 nodes answers 120 queries a second
(docs/CAPACITY.md)."""

MAX_PROOF_AGE_S = 1.1
"""Seconds; with an older proof, a node reads the store itself. Changes must take effect within 2 s,
and reading the store takes time as well."""

READER_AVOIDED_S = 3.0
"""Seconds for which a reader that provided no fresh proof is not queried again."""


class StateSubscription:
    """Queries a reader for the changes that this node lacks; requires `run` to be running.

    Args:
        name: Name of this node.
        cluster: The state to keep current.
        peers: The registered nodes.
        send: Sends a message to several nodes.
        event_log: Logs lost readers.
        random: Provides the jitter of the queries.
        clock: Returns monotonic seconds.
        topology: Maps zones to regions.
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
        """Callback for a reader that could not send all changes; set by the follower."""

    async def run(self) -> None:
        """Send queries until cancelled."""
        while True:
            await sleep_to_tick(QUERY_INTERVAL_S * (0.9 + 0.2 * self._random.random()))
            if self._cluster.has_read_all:
                await self._send_query()

    def is_current(self) -> bool:
        """Return whether a reader keeps this node current, so that it need not read the store."""
        return (
            not self._full_read_due.is_set() and self._clock() < self._proved_at_s + MAX_PROOF_AGE_S
        )

    async def wait_until_not_current(self) -> None:
        """Wait until this node has to read the store itself."""
        while self.is_current():
            deadline_s = loop_deadline_s(self._proved_at_s + MAX_PROOF_AGE_S, self._clock)
            with anyio.CancelScope(deadline=deadline_s):
                await self._full_read_due.wait()

    def is_full_read_due(self) -> bool:
        """Return whether a reader could not send all changes, so that a full read is required."""
        return self._full_read_due.is_set()

    def record_full_read(self) -> None:
        """Record that a full read has been done."""
        if self._full_read_due.is_set():
            self._full_read_due = anyio.Event()

    def receive(self, reply: StateReply) -> None:
        """Process a reply, or changes that a reader sent without a query."""
        asked_at_s = self._queries.close(reply.number)
        if reply.are_changes_omitted or reply.after_revision > self._cluster.revision:
            # Changes sent without a query may follow a lost message; the next query covers the gap.
            if asked_at_s is not None and reply.revision > self._cluster.revision:
                self._full_read_due.set()
                self.on_full_read_due()
            return
        # Older changes are already applied or superseded. A late reply must not revert removals.
        newer = tuple(
            change for change in reply.changes if change.revision > self._cluster.revision
        )
        self._cluster.apply(StateBatch(reply.revision, newer), NEVER_S)
        if asked_at_s is None:
            return
        proved_at_s = asked_at_s - reply.proof_age_ms / MILLISECONDS_PER_S
        self._cluster.confirm(proved_at_s)
        self._proved_at_s = max(self._proved_at_s, proved_at_s)

    async def _send_query(self) -> None:
        reader = self._choose_reader()
        if reader is None:
            return
        number = self._queries.open(self._clock())
        query = StateQuery(self._name, number, self._cluster.revision)
        await self._send(query, (self._peers.addresses()[reader],))

    def _choose_reader(self) -> str | None:
        """Return the reader to query; None if this node is a reader with access to the store.

        The choice is kept while the reader's proofs are fresh. A reader that has lost the store
        queries another reader, like any other node.
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
        usable = [
            reader for reader in readers if self._avoided_until_s.get(reader, NEVER_S) <= now_s
        ]
        usable = self._in_own_region(usable, members) or usable
        self._reader = min(usable, key=self._hash_rank, default=None)
        self._reader_since_s = now_s
        return self._reader

    def _in_own_region(self, readers: Collection[str], members: Collection[Member]) -> list[str]:
        """Return the readers in this node's own region."""
        zones = {member.name: member.zone for member in members}
        own_zone = zones[self._name]
        return [
            reader
            for reader in readers
            if not self._topology.is_cross_region(own_zone, zones[reader])
        ]

    def _last_proof_s(self) -> float:
        """Return the time of the reader's last proof, or of its selection if that is later."""
        return max(self._reader_since_s, self._proved_at_s)

    def _hash_rank(self, reader: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._name}|{reader}".encode())
