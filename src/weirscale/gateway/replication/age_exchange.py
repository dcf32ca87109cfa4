"""Queries other nodes for ages that this node cannot determine alone.

A node that has just started has the target versions, but not the times at which they were set. A
node that was paused or lost the store cannot tell its own connection loss from an outage of the
store. Such a node queries some other nodes until the doubt is resolved. An age in a reply is
counted from the time of the query. So it is never underestimated, however long either message was
delayed on the network or at a paused node. The reasoning is in docs/design/0021-ages-by-proof.md.
"""

from collections.abc import Callable, Iterable
from random import Random

from weirscale.gateway.durations import MILLISECONDS_PER_S, age_ms
from weirscale.gateway.peers.gossip_entries import TargetVersionGossip
from weirscale.gateway.peers.messages import AgesQuery, AgesReply, SendMessage
from weirscale.gateway.peers.open_queries import OpenQueries
from weirscale.gateway.peers.registrations import PeerDirectory
from weirscale.gateway.settings import ListenAddress
from weirscale.gateway.state.cluster_state import ClusterState
from weirscale.gateway.state.store_outages import NEVER_S, AvailabilitySpan
from weirscale.gateway.ticks import sleep_to_tick
from weirscale.ports.event_log import EventLog

QUERY_INTERVAL_S = 0.4
"""Seconds between two rounds of queries."""

NUM_QUERIED_NODES = 5
"""Nodes queried in a round, drawn at random each time. Of 7 nodes, 3 may have been paused
together."""

QUERY_DURATION_S = 10.0
"""Seconds for which a node sends queries after its start or after a silence of the store. In about
25 rounds, later ones make up for lost replies and for replies without new information."""

TARGET_QUERY_DURATION_S = 1.0
"""Seconds for which a node sends queries after a new target version. Other nodes may have a later
proof that the version was not the target yet."""

MAX_REPORTED_AGE_S = 30.0
"""Seconds; older target versions are left out, since a node treats a version without an age as
old."""


class AgeExchange:
    """Sends and answers queries for ages; requires `run` to be running.

    Args:
        name: Name of this node.
        cluster: Provides the ages to send, and is updated from replies.
        peers: The registered nodes.
        send: Sends a message to several nodes.
        event_log: Logs silences of the store, and whether they were outages.
        random: Draws the nodes to query.
        clock: Returns monotonic seconds.
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
    ) -> None:
        self._name = name
        self._cluster = cluster
        self._peers = peers
        self._send = send
        self._event_log = event_log
        self._random = random
        self._clock = clock
        self._queries = OpenQueries(random)
        self._was_in_doubt = False
        self._outage_ended_s = NEVER_S
        """End of the last outage, as of the last time without doubt about a silence."""

    async def run(self) -> None:
        """Send queries whenever ages are in doubt, until cancelled."""
        await self._cluster.first_read.wait()
        started_at_s = self._clock()
        while True:
            now_s = self._clock()
            self._cluster.store_outages.update(now_s)
            self._cluster.store_outages.end_doubt(now_s - QUERY_DURATION_S)
            self._log_silence(now_s)
            if now_s <= started_at_s + QUERY_DURATION_S or self._must_query(now_s):
                await self._send_queries(now_s)
            await sleep_to_tick(QUERY_INTERVAL_S)

    def _must_query(self, now_s: float) -> bool:
        has_new_target = now_s <= self._cluster.target_changed_at_s + TARGET_QUERY_DURATION_S
        return has_new_target or self._cluster.store_outages.is_doubtful(now_s)

    def _log_silence(self, now_s: float) -> None:
        """Log a silence of the store, and later whether it was an outage or only seen here."""
        store_outages = self._cluster.store_outages
        was_in_doubt, self._was_in_doubt = self._was_in_doubt, store_outages.is_doubtful(now_s)
        if self._was_in_doubt:
            if not was_in_doubt:
                self._event_log.event("store_silent", age_ms=age_ms(self._cluster.age_s()))
            return
        ended_s = store_outages.outage_ended_s(now_s)
        if was_in_doubt:
            origin = "store" if ended_s > self._outage_ended_s else "own"
            self._event_log.event("store_silence_judged", whose=origin)
        self._outage_ended_s = ended_s

    async def _send_queries(self, now_s: float) -> None:
        addresses = list(self._peers.addresses().values())
        queried = self._random.sample(addresses, min(NUM_QUERIED_NODES, len(addresses)))
        await self._send(AgesQuery(self._name, self._queries.open(now_s)), queried)

    async def answer(self, query: AgesQuery, address: ListenAddress) -> None:
        """Answer a query, unless this node has no record of an answer from the store."""
        now_s = self._clock()
        self._cluster.store_outages.update(now_s)
        span = self._cluster.store_outages.own_span()
        if span is None:
            return
        reply = AgesReply(
            self._name,
            query.number,
            _ms_rounded_up(now_s - span.began_s),
            _ms_rounded_up(now_s - span.last_answer_s),
            None if span.silent_from_s is None else _ms_rounded_up(now_s - span.silent_from_s),
            tuple(self._recent_target_versions(now_s)),
        )
        await self._send(reply, (address,))

    def _recent_target_versions(self, now_s: float) -> Iterable[TargetVersionGossip]:
        for model, target in self._cluster.target_versions.all():
            age_s = now_s - target.set_after_s
            if age_s <= MAX_REPORTED_AGE_S:
                yield TargetVersionGossip(model, target.version, _ms_rounded_up(age_s))

    def receive(self, reply: AgesReply) -> None:
        """Process the reply to an open query."""
        asked_at_s = self._queries.asked_at_s(reply.number)
        if asked_at_s is None:
            return
        silent_age_ms = reply.silent_age_ms
        span = AvailabilitySpan(
            asked_at_s - reply.span_age_ms / MILLISECONDS_PER_S,
            asked_at_s - reply.proof_age_ms / MILLISECONDS_PER_S,
            None if silent_age_ms is None else asked_at_s - silent_age_ms / MILLISECONDS_PER_S,
        )
        self._cluster.store_outages.record_peer_span(reply.sender, span, asked_at_s, self._clock())
        for target in reply.target_versions:
            set_after_s = asked_at_s - target.age_ms / MILLISECONDS_PER_S
            self._cluster.target_versions.tighten_bound(target.model, target.version, set_after_s)


def _ms_rounded_up(age_s: float) -> int:
    """Return an age in milliseconds, rounded up so that it is never underestimated."""
    return int(age_s * MILLISECONDS_PER_S) + 1
